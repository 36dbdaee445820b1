/** @file client_heads_test.cc Tests an entry's memory beside clients whose
 * heads or chunk headers do not end. */
#define BOOST_TEST_MODULE client_heads
#include <boost/test/unit_test.hpp>

#include "client_rig_test.h"

namespace sapphire::deploy::soak::testing {

namespace {

constexpr int kClients = 1000;

void Check(const std::string& text) {
  ClientRig rig({});
  CheckMemory(rig, {kClients, kCallerPort,
                    [&](const ClientSocket& socket) { socket.Send(text); }});
}

}  // namespace

/** Guards against a read buffer of each connection beyond the largest head. */
BOOST_AUTO_TEST_CASE(ChunkExtensionsWithoutEnd) {
  constexpr std::size_t kExtensionBytes = 60'000;
  Check(ChunkedHead() + "1;" + std::string(kExtensionBytes, 'a'));
}

/** Guards against trailers in place of heads. */
BOOST_AUTO_TEST_CASE(TrailersWithoutEnd) {
  constexpr std::size_t kTrailerBytes = 60'000;
  Check(ChunkedHead() + "0\r\nA: " + std::string(kTrailerBytes, 'a'));
}

/** Guards against heads just within the limit, all of them unfinished. */
BOOST_AUTO_TEST_CASE(HeadsWithoutEnd) {
  constexpr std::size_t kFieldBytes = 15'000;
  Check("GET /safe/1 HTTP/1.1\r\nX-Fill: " + std::string(kFieldBytes, 'a'));
}

}  // namespace sapphire::deploy::soak::testing

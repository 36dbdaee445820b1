/** @file client_bodies_test.cc Tests an entry's memory beside clients whose
 * bodies stop short of their end, or exceed the limit. */
#define BOOST_TEST_MODULE client_bodies
#include <boost/test/unit_test.hpp>

#include "client_rig_test.h"

namespace sapphire::deploy::soak::testing {

namespace {

constexpr int kClients = 100;
constexpr std::size_t kPart = std::size_t{64} * 1024;

void Check(const std::function<void(const ClientSocket&)>& send) {
  ClientRig rig({});
  CheckMemory(rig, {kClients, kCallerPort, send});
}

}  // namespace

/** Guards against memory that grows with the number of chunked bodies. */
BOOST_AUTO_TEST_CASE(ChunkedBodiesShortOfTheirLastChunk) {
  const std::string chunk = Chunk(kPart);
  Check([&](const ClientSocket& socket) {
    socket.Send(ChunkedHead());
    for (std::size_t n = kPart; n < kMaxBodyBytes; n += kPart) {
      socket.Send(chunk);
    }
  });
}

/** Guards against a body that grows while its former copy is still held. */
BOOST_AUTO_TEST_CASE(OneChunkShortOfItsLastByte) {
  const std::string chunk = fmt::format("{:x}\r\n", kMaxBodyBytes) +
                            std::string(kMaxBodyBytes - 1, 'a');
  Check([&](const ClientSocket& socket) {
    socket.Send(ChunkedHead());
    socket.Send(chunk);
  });
}

/** Guards against memory that grows with what lengths announce. */
BOOST_AUTO_TEST_CASE(SizedBodiesShortOfTheirLastByte) {
  const std::string most(kMaxBodyBytes - 1, 'a');
  Check([&](const ClientSocket& socket) {
    socket.Send(SizedHead("/safe/1", kMaxBodyBytes));
    socket.Send(most);
  });
}

/** Guards against memory for chunks in place of bytes. */
BOOST_AUTO_TEST_CASE(VerySmallChunksWithoutEnd) {
  std::string chunks;
  while (chunks.size() < 6 * (kMaxBodyBytes / 8)) chunks += Chunk(1);
  Check([&](const ClientSocket& socket) {
    socket.Send(ChunkedHead());
    socket.Send(chunks);
  });
}

/** Guards against bodies far over the limit, announced or just sent. */
BOOST_AUTO_TEST_CASE(BodiesFarOverTheLimit) {
  constexpr int kParts = 30;
  const std::string part(kPart, 'a');
  const std::string chunk = Chunk(kPart);
  bool chunked = false;
  Check([&](const ClientSocket& socket) {
    chunked = !chunked;
    socket.Send(chunked ? ChunkedHead()
                        : SizedHead("/safe/1", 100 * kMaxBodyBytes));
    for (int i = 0; i < kParts && socket.Send(chunked ? chunk : part); ++i) {
    }
  });
}

}  // namespace sapphire::deploy::soak::testing

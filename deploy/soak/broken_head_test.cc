/** @file broken_head_test.cc Tests that an entry process relays no answer whose
 * head is no valid HTTP. */
#define BOOST_TEST_MODULE broken_head_process
#include <boost/test/unit_test.hpp>

#include "client_rig_test.h"

namespace sapphire::deploy::soak::testing {

/** Guards against an engine in trouble whose broken answer reaches the caller
 * of a running entry. */
BOOST_AUTO_TEST_CASE(EntryAnswersInPlaceOfABrokenHead) {
  constexpr std::size_t kMostReceived = 4096;
  ClientRig rig({});
  for (const std::string_view path :
       {ClientRig::kBadStatusPath, ClientRig::kBadFieldPath}) {
    const ClientSocket socket = rig.Connect(kCallerPort);
    socket.Send(OpenHead(path) + "Connection: close\r\n\r\n");
    const std::string received = socket.Receive(kMostReceived);
    BOOST_TEST(received.starts_with("HTTP/1.1 502 "), received);
    BOOST_TEST(received.find(platform::kResponseStamp) == std::string::npos);
    BOOST_TEST(received.find("Trouble") == std::string::npos);
    BOOST_TEST(rig.IsServing());
  }
}

}  // namespace sapphire::deploy::soak::testing

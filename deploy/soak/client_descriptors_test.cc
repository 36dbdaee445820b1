/** @file client_descriptors_test.cc Tests that clients do not use up the
 * programs' descriptors. */
#define BOOST_TEST_MODULE client_descriptors
#include <boost/test/unit_test.hpp>

#include "client_rig_test.h"

namespace sapphire::deploy::soak::testing {

namespace {

constexpr int kClients = 400;

void Check(std::string_view program, std::uint16_t port,
           const std::string& text) {
  ClientRigOptions options;
  options.program = program;
  options.few_descriptors = true;
  options.read_timeout = milliseconds(600'000);
  ClientRig rig(options);
  CheckDescriptors(rig, {kClients, port, [&](const ClientSocket& socket) {
                           socket.Send(text);
                         }});
}

}  // namespace

/** Guards against connections in the middle of a head that keep all others
 * out. */
BOOST_AUTO_TEST_CASE(HalfHeadsOfCallers) {
  Check(kEntryProgram, kCallerPort, "GET /safe/1 HT");
}

/** Guards against connections without a request that keep all others out. */
BOOST_AUTO_TEST_CASE(SilentCallers) { Check(kEntryProgram, kCallerPort, ""); }

BOOST_AUTO_TEST_CASE(HalfHeadsAtTheReadinessAddress) {
  Check(kEntryProgram, kReadyPort, "GET /safe/1 HT");
}

BOOST_AUTO_TEST_CASE(HalfHeadsAtTheMetricsAddress) {
  Check(kEntryProgram, kMetricsPort, "GET /safe/1 HT");
  Check(kEndpointProgram, kMetricsPort, "GET /safe/1 HT");
}

/** Guards against strangers that keep peers and callers out. */
BOOST_AUTO_TEST_CASE(SilentLinks) {
  Check(kEntryProgram, kLinkPort, "");
  Check(kEndpointProgram, kLinkPort, "");
}

}  // namespace sapphire::deploy::soak::testing

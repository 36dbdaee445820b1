/** @file client_monitoring_test.cc Tests the programs' memory beside clients of
 * the readiness and metrics addresses. */
#define BOOST_TEST_MODULE client_monitoring
#include <boost/test/unit_test.hpp>

#include "client_rig_test.h"

namespace sapphire::deploy::soak::testing {

namespace {

constexpr int kClients = 100;

void Check(std::string_view program, std::uint16_t port) {
  ClientRigOptions options;
  options.program = program;
  ClientRig rig(options);
  const std::string most(kMaxBodyBytes - 1, 'a');
  CheckMemory(rig, {kClients, port, [&](const ClientSocket& socket) {
                      socket.Send(SizedHead("/metrics", kMaxBodyBytes));
                      socket.Send(most);
                    }});
}

}  // namespace

/** Guards against bodies that the readiness address never needs. */
BOOST_AUTO_TEST_CASE(BodiesAtTheReadinessAddress) {
  Check(kEntryProgram, kReadyPort);
}

/** Guards against bodies that the metrics address never needs. */
BOOST_AUTO_TEST_CASE(BodiesAtTheMetricsAddress) {
  Check(kEntryProgram, kMetricsPort);
}

BOOST_AUTO_TEST_CASE(BodiesAtTheMetricsAddressOfAnEndpoint) {
  Check(kEndpointProgram, kMetricsPort);
}

}  // namespace sapphire::deploy::soak::testing

/** @file client_unread_test.cc Tests an entry's memory beside clients that
 * never read their answers. */
#define BOOST_TEST_MODULE client_unread
#include <boost/test/unit_test.hpp>

#include "client_rig_test.h"

namespace sapphire::deploy::soak::testing {

/** Guards against answers that are held for clients which do not read. */
BOOST_AUTO_TEST_CASE(LargeAnswersThatNobodyReads) {
  constexpr int kClients = 60;
  ClientRig rig({});
  const std::string request = SizedHead(ClientRig::kLargePath, 1) + "x";
  CheckMemory(rig, {kClients, kCallerPort,
                    [&](const ClientSocket& socket) { socket.Send(request); }});
}

/** Guards against metrics that are held for clients which do not read. */
BOOST_AUTO_TEST_CASE(MetricsThatNobodyReads) {
  constexpr int kClients = 100;
  constexpr int kRequests = 200;
  ClientRig rig({});
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
  }
  CheckMemory(rig, {kClients, kMetricsPort, [&](const ClientSocket& socket) {
                      socket.Send(requests);
                    }});
}

}  // namespace sapphire::deploy::soak::testing

/** @file client_waiting_test.cc Tests an entry's memory beside whole requests
 * that wait for an engine. */
#define BOOST_TEST_MODULE client_waiting
#include <boost/test/unit_test.hpp>

#include "client_rig_test.h"

namespace sapphire::deploy::soak::testing {

namespace {

void Check(int clients, const std::string& request) {
  ClientRigOptions options;
  options.route_timeout = milliseconds(60'000);
  ClientRig rig(options);
  CheckMemory(rig, {clients, kCallerPort,
                    [&](const ClientSocket& socket) { socket.Send(request); }});
}

}  // namespace

/** Guards against several copies of each body until its answer is complete. */
BOOST_AUTO_TEST_CASE(LargeBodiesThatWaitForTheEngine) {
  constexpr int kClients = 40;
  Check(kClients, SizedHead(ClientRig::kWaitPath, kMaxBodyBytes) +
                      std::string(kMaxBodyBytes, 'a'));
}

/** Guards against header fields that take many times their bytes. */
BOOST_AUTO_TEST_CASE(ManyHeaderFieldsThatWaitForTheEngine) {
  constexpr int kClients = 200;
  std::string head = OpenHead(ClientRig::kWaitPath);
  while (head.size() + 100 < kMaxHeaderBytes) head += "a:b\r\n";
  Check(kClients, head + "\r\n");
}

}  // namespace sapphire::deploy::soak::testing

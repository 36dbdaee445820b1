/** @file client_pipelines_test.cc Tests what an entry has received and not read
 * from clients that go on sending behind a request. */
#define BOOST_TEST_MODULE client_pipelines
#include <boost/test/unit_test.hpp>

#include "client_rig_test.h"

namespace sapphire::deploy::soak::testing {

/** Guards against bytes in the kernel that count on the VM as memory. */
BOOST_AUTO_TEST_CASE(BytesBehindRequestsThatWait) {
  constexpr int kClients = 600;
  constexpr std::size_t kMaxBehind = std::size_t{4} << 20;
  ClientRigOptions options;
  options.route_timeout = milliseconds(60'000);
  ClientRig rig(options);
  const std::string request = SizedHead(ClientRig::kWaitPath, 1) + "x";
  const std::string behind(std::size_t{64} * 1024, 'a');
  CheckMemory(rig, {kClients, kCallerPort, [&](const ClientSocket& socket) {
                      socket.Send(request);
                      std::this_thread::sleep_for(milliseconds(10));
                      socket.SendWithoutWaiting(behind, kMaxBehind);
                    }});
}

}  // namespace sapphire::deploy::soak::testing

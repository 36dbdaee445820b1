/** @file queue_wait_test.cc Tests queue waits against a simulation in steps of
 * a millisecond. */
#define BOOST_TEST_MODULE queue_wait
#include <boost/test/unit_test.hpp>
#include <random>

#include "policy/queue_wait_func.h"

namespace sapphire::policy {
namespace {

/** Simulates the servers millisecond by millisecond until the request
 * starts. */
Millis NaiveWait(const std::vector<QueueServer>& servers, int service,
                 int ahead) {
  int started = 0;
  for (int now = 0;; ++now) {
    for (const QueueServer& server : servers) {
      const int since = now - static_cast<int>(server.ready_in.count());
      if (server.loading && since >= 0 && since % service == 0) {
        started += server.slots;
      }
      if (server.loading || now == 0) continue;
      started +=
          server.slots * now / service - server.slots * (now - 1) / service;
    }
    if (started > ahead) return Millis(now);
  }
}

BOOST_AUTO_TEST_CASE(MatchesTheSimulation) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<QueueServer> servers(1 + seed % 4);
    for (QueueServer& server : servers) {
      server.loading = random() % 2 == 0;
      server.ready_in = Millis(server.loading ? random() % 5000 : 0);
      server.slots = 1 + static_cast<int>(random() % 8);
    }
    const int service = 1 + static_cast<int>(random() % 2000);
    const int ahead = static_cast<int>(random() % 20);
    const auto wait = QueueWait(servers, Millis(service), ahead);
    BOOST_TEST_REQUIRE(wait.has_value());
    const Millis naive = NaiveWait(servers, service, ahead);
    BOOST_TEST(wait->count() == naive.count(), "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(NoWaitWithoutServers) {
  BOOST_TEST(!QueueWait({}, Millis(1), 0).has_value());
}

}  // namespace
}  // namespace sapphire::policy

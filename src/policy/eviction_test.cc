/** @file eviction_test.cc Tests evictions against a search of all subsets. */
#define BOOST_TEST_MODULE eviction
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <random>

#include "policy/eviction_func.h"

namespace sapphire::policy {
namespace {

constexpr double kInfeasible = std::numeric_limits<double>::infinity();

EndpointView RandomEndpoint(std::mt19937_64& random, int replicas) {
  EndpointView endpoint;
  for (int i = 0; i < replicas; ++i) {
    ReplicaView replica;
    replica.model = core::ModelId("m" + std::to_string(i));
    replica.state = static_cast<ReplicaState>(random() % 8 == 0 ? 2 : 1);
    replica.running = random() % 4 == 0 ? 1 : 0;
    replica.bytes = 1 + static_cast<std::int64_t>(random() % 30);
    replica.idle = Millis(random() % 100'000);
    replica.service = core::ServiceId(random() % 2 == 0 ? "a" : "b");
    if (random() % 2 == 0) {
      replica.reload_cost = 1.0 + static_cast<double>(random() % 50);
    }
    endpoint.reserved_bytes += replica.bytes;
    endpoint.replicas.push_back(replica);
  }
  endpoint.memory_bytes =
      endpoint.reserved_bytes + static_cast<std::int64_t>(random() % 20);
  return endpoint;
}

/** @return The lowest cost, found by trying each replica both ways in turn. */
double NaiveCost(const EndpointView& endpoint, const EvictionNeed& need,
                 std::size_t next, std::int64_t free, bool place) {
  if (free >= need.free_bytes && place) return 0;
  if (next == endpoint.replicas.size()) return kInfeasible;
  const ReplicaView& replica = endpoint.replicas[next];
  const double kept = NaiveCost(endpoint, need, next + 1, free, place);
  const bool idle = replica.state == ReplicaState::kReady &&
                    replica.running == 0 && replica.model != need.keep;
  if (!idle) return kept;
  const double lost = EvictionCost(replica) +
                      NaiveCost(endpoint, need, next + 1, free + replica.bytes,
                                place || replica.service == need.service);
  return std::min(kept, lost);
}

double NaiveCost(const EndpointView& endpoint, const EvictionNeed& need) {
  return NaiveCost(endpoint, need, 0,
                   endpoint.memory_bytes - endpoint.reserved_bytes,
                   need.service.empty());
}

EvictionNeed RandomNeed(std::mt19937_64& random) {
  EvictionNeed need;
  need.free_bytes = static_cast<std::int64_t>(random() % 120);
  if (random() % 3 == 0) need.service = core::ServiceId("a");
  if (random() % 3 == 0) need.keep = core::ModelId("m1");
  return need;
}

BOOST_AUTO_TEST_CASE(MatchesTheCheapestSubset) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    const auto endpoint = RandomEndpoint(random, static_cast<int>(seed % 10));
    const auto need = RandomNeed(random);
    const auto chosen = ChooseEvictions(endpoint, need);
    const double naive = NaiveCost(endpoint, need);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(chosen.has_value() == (naive < kInfeasible));
      if (chosen.has_value()) BOOST_TEST(chosen->cost - naive < 1e-9);
    }
  }
}

BOOST_AUTO_TEST_CASE(MeetsTheNeedWithManyReplicas) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    const auto endpoint = RandomEndpoint(random, 18);
    const auto need = RandomNeed(random);
    const auto chosen = ChooseEvictions(endpoint, need);
    const double naive = NaiveCost(endpoint, need);
    BOOST_TEST_REQUIRE(chosen.has_value() == (naive < kInfeasible));
    if (!chosen.has_value()) continue;
    std::int64_t free = endpoint.memory_bytes - endpoint.reserved_bytes;
    for (const ReplicaView& replica : endpoint.replicas) {
      const auto hits = std::ranges::count(chosen->models, replica.model);
      BOOST_TEST(hits <= 1);
      if (hits == 0) continue;
      free += replica.bytes;
      BOOST_TEST(replica.running == 0);
    }
    BOOST_TEST(free >= need.free_bytes);
    BOOST_TEST(chosen->cost >= naive - 1e-9);
  }
}

}  // namespace
}  // namespace sapphire::policy

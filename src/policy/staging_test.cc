/** @file staging_test.cc Tests staging against an exhaustive search. */
#define BOOST_TEST_MODULE staging
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "policy/staging_func.h"

namespace sapphire::policy {
namespace {

core::ModelId Model(std::uint64_t n) {
  return core::ModelId("model-" + std::to_string(n));
}

EndpointView RandomEndpoint(std::mt19937_64& random, std::uint64_t index) {
  EndpointView endpoint;
  endpoint.id = core::EndpointId("engine-" + std::to_string(index));
  endpoint.memory_bytes = 30;
  endpoint.leaving = random() % 6 == 0;
  endpoint.engine_up = random() % 6 != 0;
  if (random() % 2 == 0) endpoint.disk_tier.insert(Model(random() % 8));
  if (random() % 4 == 0) endpoint.memory_tier.insert(Model(random() % 8));
  for (std::uint64_t i = random() % 3; i > 0; --i) {
    ReplicaView replica;
    replica.model = Model(random() % 8);
    replica.state = static_cast<ReplicaState>(random() % 2);
    replica.bytes = 1 + static_cast<std::int64_t>(random() % 14);
    endpoint.reserved_bytes += replica.bytes;
    endpoint.replicas.push_back(replica);
  }
  return endpoint;
}

bool IsUsable(const EndpointView& endpoint) {
  return endpoint.engine_up && !endpoint.leaving;
}

bool HasCopy(const EndpointView& endpoint, const core::ModelId& model) {
  const bool loaded =
      std::ranges::count(endpoint.replicas, model, &ReplicaView::model) > 0;
  return IsUsable(endpoint) && (loaded || endpoint.disk_tier.contains(model) ||
                                endpoint.memory_tier.contains(model));
}

bool CanStage(const EndpointView& endpoint, std::int64_t bytes) {
  const auto loading = std::ranges::count(
      endpoint.replicas, ReplicaState::kLoading, &ReplicaView::state);
  return IsUsable(endpoint) && loading == 0 &&
         endpoint.memory_bytes - endpoint.reserved_bytes >= bytes;
}

BOOST_AUTO_TEST_CASE(StagesTheModelWithTheHighestDemandInFreeMemory) {
  int staged = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<EndpointView> fleet;
    for (std::uint64_t i = 0; i < 1 + seed % 4; ++i) {
      fleet.push_back(RandomEndpoint(random, i));
    }
    std::vector<StagingCandidate> candidates;
    const StagingCandidate* expected = nullptr;
    for (std::uint64_t i = 0; i < 8; ++i) {
      candidates.push_back({.model = Model(i),
                            .replica_bytes = 12,
                            .demand = static_cast<double>(random() % 1000)});
    }
    for (const StagingCandidate& it : candidates) {
      const bool near = std::ranges::any_of(fleet, [&](const auto& endpoint) {
        return HasCopy(endpoint, it.model);
      });
      if (near) continue;
      if (expected == nullptr || it.demand > expected->demand) expected = &it;
    }
    const bool room = std::ranges::any_of(
        fleet, [](const auto& endpoint) { return CanStage(endpoint, 12); });
    const auto decision = ChooseStaging(candidates, fleet);
    BOOST_TEST_REQUIRE(decision.has_value() == (expected != nullptr && room));
    if (!decision.has_value()) continue;
    ++staged;
    BOOST_TEST((decision->model == expected->model), "seed " << seed);
    const auto at =
        std::ranges::find(fleet, decision->endpoint, &EndpointView::id);
    BOOST_TEST(CanStage(*at, 12));
  }
  BOOST_TEST(staged > 300);
}

}  // namespace
}  // namespace sapphire::policy

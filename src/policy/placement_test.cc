/** @file placement_test.cc Tests placement decisions against an exhaustive
 * search. */
#define BOOST_TEST_MODULE placement
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "policy/placement_func.h"

namespace sapphire::policy {
namespace {

std::string Numbered(const char* name, std::uint64_t n) {
  return name + std::to_string(n);
}

core::ModelId Model(std::uint64_t n) {
  return core::ModelId(Numbered("model-", n));
}

ReplicaView RandomReplica(std::mt19937_64& random, core::ModelId model) {
  ReplicaView replica;
  replica.model = std::move(model);
  replica.state = static_cast<ReplicaState>(
      random() % 3 == 0 ? random() % 4 : 1);  // Mostly ready.
  const bool ready = replica.state == ReplicaState::kReady;
  replica.running = ready ? static_cast<int>(random() % 4) : 0;
  replica.bytes = 5 + static_cast<std::int64_t>(random() % 20);
  replica.service = core::ServiceId(random() % 4 == 0 ? "other" : "llm");
  const bool loading = replica.state == ReplicaState::kLoading;
  replica.ready_in = Millis(loading ? random() % 9000 : 0);
  replica.idle = Millis(random() % 60'000);
  if (random() % 2 == 0) replica.adapters.insert(core::AdapterId("tuned"));
  if (random() % 3 == 0) replica.prefixes.insert(42);
  return replica;
}

EndpointView RandomEndpoint(std::mt19937_64& random, std::uint64_t index,
                            std::uint64_t models) {
  EndpointView endpoint;
  endpoint.id = core::EndpointId(Numbered("engine-", index));
  endpoint.zone = core::ZoneId(Numbered("zone-", random() % 3));
  endpoint.leaving = random() % 10 == 0;
  endpoint.engine_up = random() % 10 != 0;
  endpoint.max_running = random() % 3 == 0 ? 4 : 0;
  for (std::uint64_t i = 0; i < models; ++i) {
    if (random() % models > 2) continue;
    endpoint.replicas.push_back(RandomReplica(random, Model(i)));
    endpoint.reserved_bytes += endpoint.replicas.back().bytes;
  }
  endpoint.memory_bytes =
      endpoint.reserved_bytes + static_cast<std::int64_t>(random() % 20);
  if (random() % 2 == 0) endpoint.disk_tier.insert(Model(random() % models));
  if (random() % 4 == 0) endpoint.memory_tier.insert(Model(random() % models));
  return endpoint;
}

std::vector<EndpointView> RandomFleet(std::mt19937_64& random,
                                      std::uint64_t size,
                                      std::uint64_t models) {
  std::vector<EndpointView> fleet;
  for (std::uint64_t i = 0; i < size; ++i) {
    fleet.push_back(RandomEndpoint(random, i, models));
  }
  return fleet;
}

PlacementRequest RandomRequest(std::mt19937_64& random,
                               const std::vector<EndpointView>& fleet,
                               std::uint64_t models) {
  PlacementRequest request;
  request.model = Model(random() % models);
  if (random() % 3 == 0) {
    request.adapter = core::AdapterId("tuned");
    request.adapter_bytes = 1 + static_cast<std::int64_t>(random() % 6);
  }
  request.replica_bytes = 5 + static_cast<std::int64_t>(random() % 20);
  request.max_replicas = 1 + static_cast<int>(random() % 3);
  request.max_concurrent = 1 + static_cast<int>(random() % 4);
  request.service = core::ServiceId("llm");
  for (const EndpointView& endpoint : fleet) {
    request.service_replicas += static_cast<int>(std::ranges::count(
        endpoint.replicas, request.service, &ReplicaView::service));
  }
  request.service_max_replicas =
      request.service_replicas + static_cast<int>(random() % 3);
  request.remaining = Millis(random() % 15'000);
  request.service_time = Millis(1 + random() % 3000);
  request.zone = core::ZoneId(Numbered("zone-", random() % 3));
  request.prefix_hash = random() % 2 == 0 ? 42 : 0;
  if (random() % 5 == 0) request.avoid.insert(fleet[0].id);
  return request;
}

bool Usable(const EndpointView& endpoint, const PlacementRequest& request) {
  return endpoint.engine_up && !endpoint.leaving &&
         !request.avoid.contains(endpoint.id);
}

std::int64_t FreeAfter(const EndpointView& endpoint,
                       const std::vector<core::ModelId>& evicted) {
  std::int64_t free = endpoint.memory_bytes - endpoint.reserved_bytes;
  for (const ReplicaView& replica : endpoint.replicas) {
    if (std::ranges::count(evicted, replica.model) > 0) free += replica.bytes;
  }
  return free;
}

int Running(const EndpointView& endpoint) {
  int running = 0;
  for (const ReplicaView& replica : endpoint.replicas) {
    running += replica.running;
  }
  return running;
}

bool HasSlot(const EndpointView& endpoint, const ReplicaView& replica,
             const PlacementRequest& request) {
  return Usable(endpoint, request) && replica.model == request.model &&
         replica.state == ReplicaState::kReady &&
         replica.running < request.max_concurrent &&
         (endpoint.max_running == 0 ||
          Running(endpoint) < endpoint.max_running);
}

bool CanRun(const EndpointView& endpoint, const ReplicaView& replica,
            const PlacementRequest& request) {
  const bool adapter = request.adapter.empty() ||
                       replica.adapters.contains(request.adapter) ||
                       FreeAfter(endpoint, {}) >= request.adapter_bytes;
  return HasSlot(endpoint, replica, request) && adapter;
}

const EndpointView& FindEndpoint(const std::vector<EndpointView>& fleet,
                                 const core::EndpointId& id) {
  return *std::ranges::find(fleet, id, &EndpointView::id);
}

const ReplicaView* FindReplica(const EndpointView& endpoint,
                               const core::ModelId& model) {
  const auto it =
      std::ranges::find(endpoint.replicas, model, &ReplicaView::model);
  return it == endpoint.replicas.end() ? nullptr : &*it;
}

/** Checks the conditions that every load has to meet. */
void CheckLoad(const PlacementRequest& request,
               const std::vector<EndpointView>& fleet,
               const PlacementDecision& decision) {
  const EndpointView& endpoint = FindEndpoint(fleet, decision.endpoint);
  BOOST_TEST(Usable(endpoint, request));
  int freed_places = 0;
  for (const core::ModelId& model : decision.evict) {
    const ReplicaView* replica = FindReplica(endpoint, model);
    BOOST_TEST_REQUIRE(replica != nullptr);
    BOOST_TEST((replica->state == ReplicaState::kReady));
    BOOST_TEST(replica->running == 0);
    if (replica->service == request.service) ++freed_places;
  }
  const std::int64_t free = FreeAfter(endpoint, decision.evict);
  if (FindReplica(endpoint, request.model) != nullptr) {
    BOOST_TEST(free >= request.adapter_bytes);
    return;
  }
  BOOST_TEST(free >= request.replica_bytes + request.adapter_bytes);
  std::ptrdiff_t held = 0;
  for (const EndpointView& it : fleet) {
    held += std::ranges::count(it.replicas, request.model, &ReplicaView::model);
  }
  BOOST_TEST(held + 1 <= request.max_replicas);
  BOOST_TEST(request.service_replicas - freed_places + 1 <=
             request.service_max_replicas);
}

void CheckDecision(const PlacementRequest& request,
                   const std::vector<EndpointView>& fleet,
                   const PlacementDecision& decision) {
  bool can_run = false;
  for (const EndpointView& endpoint : fleet) {
    for (const ReplicaView& replica : endpoint.replicas) {
      can_run = can_run || CanRun(endpoint, replica, request);
    }
  }
  BOOST_TEST((decision.action == PlacementAction::kRun) == can_run);
  if (can_run) {
    const EndpointView& endpoint = FindEndpoint(fleet, decision.endpoint);
    BOOST_TEST(
        CanRun(endpoint, *FindReplica(endpoint, request.model), request));
  }
  const bool loads = decision.action == PlacementAction::kLoad;
  if (loads || decision.load_for_retry) CheckLoad(request, fleet, decision);
  if (loads || decision.action == PlacementAction::kWait) {
    BOOST_TEST(
        (decision.expected_wait + request.service_time <= request.remaining));
  }
  if (decision.action == PlacementAction::kRefuse) {
    BOOST_TEST(decision.retry_after.count() > 0);
  }
}

/** @return True if some set of idle replicas at the endpoint makes enough room
 * for the load. */
bool SomeEvictionFits(const PlacementRequest& request,
                      const EndpointView& endpoint) {
  const std::size_t count = endpoint.replicas.size();
  for (std::size_t mask = 0; mask < (std::size_t{1} << count); ++mask) {
    std::vector<core::ModelId> evicted;
    int places = request.service_max_replicas - request.service_replicas;
    bool all_idle = true;
    for (std::size_t i = 0; i < count; ++i) {
      if ((mask >> i & 1) == 0) continue;
      const ReplicaView& replica = endpoint.replicas[i];
      all_idle = all_idle && replica.running == 0 &&
                 replica.state == ReplicaState::kReady;
      evicted.push_back(replica.model);
      if (replica.service == request.service) ++places;
    }
    const bool fits = FreeAfter(endpoint, evicted) >=
                      request.replica_bytes + request.adapter_bytes;
    if (all_idle && fits && places > 0) return true;
  }
  return false;
}

/** @return True if a load at some endpoint would serve the request in time. */
bool SomeLoadInTime(const PlacementRequest& request,
                    const std::vector<EndpointView>& fleet,
                    const LoadTimes& loads) {
  std::ptrdiff_t held = 0;
  for (const EndpointView& it : fleet) {
    held += std::ranges::count(it.replicas, request.model, &ReplicaView::model);
  }
  if (held >= request.max_replicas) return false;
  return std::ranges::any_of(fleet, [&](const EndpointView& endpoint) {
    if (!Usable(endpoint, request)) return false;
    if (FindReplica(endpoint, request.model) != nullptr) return false;
    Millis ready = LoadTimeFrom(loads, TierAt(endpoint, request.model));
    Millis busy{0};
    for (const ReplicaView& replica : endpoint.replicas) {
      busy = std::max(busy, replica.ready_in);
    }
    ready += busy + request.service_time;
    return ready <= request.remaining && SomeEvictionFits(request, endpoint);
  });
}

BOOST_AUTO_TEST_CASE(RefusesOnlyRequestsThatNoLoadCouldServe) {
  int refused = 0;
  int loaded = 0;
  for (std::uint64_t seed = 1; seed <= 8000; ++seed) {
    std::mt19937_64 random(seed);
    const auto fleet = RandomFleet(random, 1 + seed % 6, 6);
    const auto request = RandomRequest(random, fleet, 6);
    const LoadTimes loads;
    const auto decision = DecidePlacement(request, fleet, loads);
    BOOST_TEST_CONTEXT("seed " << seed) {
      CheckDecision(request, fleet, decision);
      if (decision.action == PlacementAction::kLoad) ++loaded;
      if (decision.action != PlacementAction::kRefuse) continue;
      ++refused;
      BOOST_TEST(!SomeLoadInTime(request, fleet, loads));
    }
  }
  // Checks that both outcomes occurred often enough for the test to be
  // meaningful.
  BOOST_TEST(refused > 200);
  BOOST_TEST(loaded > 200);
}

BOOST_AUTO_TEST_CASE(KeepsLimitsOnALargeFleet) {
  std::mt19937_64 random(1);
  auto fleet = RandomFleet(random, 6000, 1500);
  for (int i = 0; i < 300; ++i) {
    auto request = RandomRequest(random, fleet, 1500);
    request.max_replicas = static_cast<int>(random() % 40);
    CheckDecision(request, fleet, DecidePlacement(request, fleet, LoadTimes{}));
  }
}

BOOST_AUTO_TEST_CASE(PrefersAdapterThenPrefixThenZone) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    const auto fleet = RandomFleet(random, 5, 3);
    const auto request = RandomRequest(random, fleet, 3);
    const auto decision = DecidePlacement(request, fleet, LoadTimes{});
    if (decision.action != PlacementAction::kRun) continue;
    const auto worth = [&](const EndpointView& endpoint) {
      const ReplicaView& replica = *FindReplica(endpoint, request.model);
      int points = 0;
      if (request.adapter.empty() ||
          replica.adapters.contains(request.adapter)) {
        points += 4;
      }
      const bool prefix = replica.prefixes.contains(request.prefix_hash);
      if (request.prefix_hash != 0 && prefix) points += 2;
      if (endpoint.zone == request.zone) points += 1;
      return points;
    };
    const int chosen = worth(FindEndpoint(fleet, decision.endpoint));
    for (const EndpointView& endpoint : fleet) {
      const ReplicaView* replica = FindReplica(endpoint, request.model);
      if (replica == nullptr || !CanRun(endpoint, *replica, request)) continue;
      BOOST_TEST(worth(endpoint) <= chosen, "seed " << seed);
    }
  }
}

// A model takes 8 s to load and its callers wait 5 s, so each of them is
// refused. If the refusal didn't start the load, every retry would be refused
// too.
BOOST_AUTO_TEST_CASE(RefusalStartsTheLoadForTheRetry) {
  EndpointView endpoint;
  endpoint.id = core::EndpointId("engine-0");
  endpoint.memory_bytes = 10;
  PlacementRequest request;
  request.model = Model(1);
  request.replica_bytes = 10;
  request.service_max_replicas = 1;
  request.remaining = std::chrono::seconds(5);
  const auto decision = DecidePlacement(request, {&endpoint, 1}, LoadTimes{});
  BOOST_TEST((decision.action == PlacementAction::kRefuse));
  BOOST_TEST(decision.load_for_retry);
  BOOST_TEST((decision.endpoint == endpoint.id));
  BOOST_TEST((decision.retry_after == LoadTimes{}.remote));
}

// A request suspected of crashing engines has to run alone: a harmless request
// on the same engine would become a suspect too.
BOOST_AUTO_TEST_CASE(SuspectRunsWithoutOtherRequests) {
  EndpointView endpoint;
  endpoint.id = core::EndpointId("engine-0");
  endpoint.replicas.push_back(
      {.model = Model(1), .state = ReplicaState::kReady, .running = 1});
  PlacementRequest request;
  request.model = Model(1);
  request.remaining = std::chrono::seconds(5);
  request.alone = true;
  const auto suspect = DecidePlacement(request, {&endpoint, 1}, LoadTimes{});
  BOOST_TEST((suspect.action == PlacementAction::kWait));
  BOOST_TEST((suspect.endpoint == endpoint.id));
  endpoint.reserved_for_suspect = true;
  request.alone = false;
  const auto other = DecidePlacement(request, {&endpoint, 1}, LoadTimes{});
  BOOST_TEST((other.action == PlacementAction::kRefuse));
}

BOOST_AUTO_TEST_CASE(RemovingAnEntryMovesOnlyItsKeys) {
  std::vector<core::VmId> entries;
  for (std::uint64_t i = 0; i < 20; ++i) {
    entries.emplace_back(Numbered("entry-", i));
  }
  std::map<core::VmId, int> homes;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    const auto key = Numbered("model-", i);
    const auto ranked = RankByRendezvousHash(key, entries);
    ++homes[ranked.front()];
    auto fewer = entries;
    std::erase(fewer, entries[i % entries.size()]);
    const auto expected = ranked.front() == entries[i % entries.size()]
                              ? ranked[1]
                              : ranked.front();
    BOOST_TEST((RankByRendezvousHash(key, fewer).front() == expected));
  }
  for (const auto& [entry, count] : homes) {
    BOOST_TEST(count > 50);
    BOOST_TEST(count < 170);
  }
}

}  // namespace
}  // namespace sapphire::policy

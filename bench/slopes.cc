/** @file slopes.cc Measures the time of policy decisions by fleet size. */
#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <iterator>
#include <random>
#include <span>
#include <vector>

#include "bench/slopes_func.h"
#include "policy/admission_func.h"
#include "policy/crash_func.h"
#include "policy/keep_alive_func.h"
#include "policy/placement_func.h"
#include "policy/staging_func.h"
#include "policy/store_lane_func.h"

namespace sapphire::bench {

namespace {

using Clock = std::chrono::steady_clock;

/** Minimum duration of each measurement. */
constexpr std::chrono::milliseconds kMeasureFor{200};
constexpr int kEndpointSizes[] = {12, 100, 1000, 3000, 6000};
constexpr int kEntrySizes[] = {4, 40, 120, 370};
constexpr int kQueueSizes[] = {8, 64, 256, 512};
constexpr int kModels = 1500;
constexpr int kReplicasPerEndpoint = 3;
constexpr std::int64_t kReplicaBytes = 20'000'000'000;
constexpr std::int64_t kEngineBytes = 80'000'000'000;

core::ModelId ModelNamed(int index) {
  return core::ModelId(fmt::format("model-{:04}", index));
}

policy::EndpointView MakeEndpoint(std::mt19937_64& random, int index) {
  policy::EndpointView endpoint;
  endpoint.id = core::EndpointId(fmt::format("engine-{:04}", index));
  endpoint.zone = core::ZoneId(fmt::format("zone-{}", index % 9));
  endpoint.memory_bytes = kEngineBytes;
  for (int i = 0; i < kReplicasPerEndpoint; ++i) {
    policy::ReplicaView replica;
    replica.model = ModelNamed(static_cast<int>(random() % kModels));
    replica.bytes = kReplicaBytes;
    replica.running = static_cast<int>(random() % 8);
    endpoint.reserved_bytes += replica.bytes;
    endpoint.disk_tier.insert(replica.model);
    endpoint.replicas.push_back(std::move(replica));
  }
  return endpoint;
}

std::vector<policy::EndpointView> MakeEndpoints(int size) {
  std::mt19937_64 random(1);
  std::vector<policy::EndpointView> endpoints;
  endpoints.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) endpoints.push_back(MakeEndpoint(random, i));
  return endpoints;
}

policy::PlacementRequest RequestFor(const core::ModelId& model) {
  policy::PlacementRequest request;
  request.model = model;
  request.replica_bytes = kReplicaBytes;
  request.max_replicas = kModels;
  request.service_max_replicas = kModels * kReplicasPerEndpoint;
  request.remaining = std::chrono::seconds(20);
  request.service_time = std::chrono::seconds(1);
  return request;
}

/** Runs `call` for at least kMeasureFor. @return Nanoseconds per call. */
double NanosPerCall(const std::function<void()>& call) {
  call();
  std::int64_t calls = 0;
  const auto start = Clock::now();
  auto passed = Clock::duration::zero();
  while (passed < kMeasureFor) {
    call();
    ++calls;
    passed = Clock::now() - start;
  }
  return std::chrono::duration<double, std::nano>(passed).count() /
         static_cast<double>(calls);
}

/** Measures one decision at each size. @return A row of the table. */
std::string MeasureRow(
    const std::string& name, std::span<const int> sizes,
    const std::function<std::function<void()>(int)>& prepare) {
  std::vector<double> nanos;
  std::string cells;
  for (const int size : sizes) {
    nanos.push_back(NanosPerCall(prepare(size)));
    fmt::format_to(std::back_inserter(cells), " {}: {:.0f} ns;", size,
                   nanos.back());
  }
  const double slope = (nanos.back() - nanos.front()) /
                       static_cast<double>(sizes.back() - sizes.front());
  return fmt::format("| {} |{} | {:.1f} |\n", name, cells, slope);
}

std::function<void()> PlaceCall(int size, const core::ModelId& model) {
  return [endpoints = MakeEndpoints(size), request = RequestFor(model)] {
    policy::DecidePlacement(request, endpoints, policy::LoadTimes{});
  };
}

std::function<void()> RankCall(int size) {
  std::vector<core::VmId> entries;
  entries.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    entries.emplace_back(fmt::format("entry-{:03}", i));
  }
  return [entries] { policy::RankByRendezvousHash("model-0001", entries); };
}

std::function<void()> PickCall(int size) {
  std::vector<policy::QueuedRequest> queue(static_cast<std::size_t>(size));
  std::map<core::OwnerId, policy::OwnerUse> owners;
  for (int i = 0; i < size; ++i) {
    auto& request = queue[static_cast<std::size_t>(i)];
    request.owner = core::OwnerId(fmt::format("owner-{}", i % 3));
    owners[request.owner].running = i % 5;
  }
  return [queue, owners] { policy::PickNext(queue, owners); };
}

std::function<void()> LaneCall(int size) {
  std::vector<policy::LoadBid> bids(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    bids[static_cast<std::size_t>(i)].deadline =
        core::SteadyTime(std::chrono::seconds(i * 7 % size));
  }
  return [bids] {
    policy::GrantLanes(bids, {}, {}, core::SteadyTime(std::chrono::hours(1)));
  };
}

std::function<void()> StageCall(int size) {
  std::vector<policy::StagingCandidate> candidates;
  candidates.reserve(kModels);
  for (int i = 0; i < kModels; ++i) {
    candidates.push_back(
        {.model = ModelNamed(i), .replica_bytes = kReplicaBytes, .demand = 1});
  }
  return [candidates, endpoints = MakeEndpoints(size)] {
    policy::ChooseStaging(candidates, endpoints);
  };
}

std::function<void()> KeepAliveCall() {
  policy::ArrivalHistory history;
  for (int i = 0; i < 100; ++i) {
    policy::RecordArrival(history,
                          core::SteadyTime(std::chrono::seconds(i * i)));
  }
  return [history] {
    policy::KeepAliveTime(history, {}, std::chrono::seconds(5));
  };
}

std::function<void()> DispatchCall(int size) {
  policy::CrashTracker tracker;
  for (int i = 0; i < size; ++i) {
    policy::RecordDispatch(tracker, i, core::AttemptId(fmt::format("{}", i)),
                           core::EndpointId("engine-1"));
  }
  return [tracker] { policy::DecideDispatch(tracker, 1); };
}

}  // namespace

std::string ReportSlopes() {
  std::string report =
      "| decision | time per call at size | ns per unit of size |\n"
      "|---|---|---|\n";
  report +=
      MeasureRow("DecidePlacement, ready replica (endpoints)", kEndpointSizes,
                 [](int n) { return PlaceCall(n, ModelNamed(0)); });
  report +=
      MeasureRow("DecidePlacement, cold start (endpoints)", kEndpointSizes,
                 [](int n) { return PlaceCall(n, ModelNamed(kModels)); });
  report += MeasureRow("ChooseStaging (endpoints; 1,500 models)",
                       kEndpointSizes, StageCall);
  report += MeasureRow("RankByRendezvousHash (entries)", kEntrySizes, RankCall);
  report += MeasureRow("PickNext (queued requests)", kQueueSizes, PickCall);
  report += MeasureRow("GrantLanes (bids)", kQueueSizes, LaneCall);
  report += MeasureRow("DecideDispatch (fingerprints tracked)", kQueueSizes,
                       DispatchCall);
  fmt::format_to(std::back_inserter(report),
                 "| KeepAliveTime | {:.0f} ns | - |\n",
                 NanosPerCall(KeepAliveCall()));
  fmt::format_to(std::back_inserter(report),
                 "| ArrivalHistory | {} bytes for each model | - |\n",
                 sizeof(policy::ArrivalHistory));
  return report;
}

}  // namespace sapphire::bench

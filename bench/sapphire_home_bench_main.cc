/** @file sapphire_home_bench_main.cc Measures processor time and memory of the
 * home's decisions by fleet size, for docs/CAPACITY.md. */
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "entry/fleet_view_base.h"

namespace sapphire::bench {

namespace {

using entry::FleetView;
using entry::KnownEndpoint;
using entry::LoadOrder;
using entry::Slot;

/** Up to the capacity target of 6,000 engines and 1,500 models. */
constexpr int kSizes[] = {12, 100, 1000, 3000, 6000};
constexpr int kEnginesPerModel = 4;
constexpr int kModelsPerEngine = 3;
constexpr int kCachedPerEngine = 20;
constexpr std::int64_t kReplicaBytes = 100;
constexpr std::int64_t kEngineBytes = 400;
constexpr int kRounds = 200;

core::ModelId ModelNamed(int i) {
  return core::ModelId(fmt::format("model-{:05}", i));
}

core::EndpointId EndpointNamed(int i) {
  return core::EndpointId(fmt::format("endpoint-{:05}", i));
}

/** The last model isn't loaded on any engine. */
KnownEndpoint MakeEndpoint(int i, int models) {
  KnownEndpoint known;
  known.id = EndpointNamed(i);
  known.address = "127.0.0.1:1";
  known.connected = true;
  gen::EndpointReport& report = known.report;
  report.endpoint = known.id.value();
  report.zone = fmt::format("zone-{}", i % 9);
  report.kind = "model";
  report.engine_up = true;
  report.memory_bytes = kEngineBytes;
  for (int k = 0; k < kModelsPerEngine; ++k) {
    gen::ReplicaReport replica;
    replica.model = ModelNamed((i + k * 7) % (models - 1)).value();
    replica.state = gen::ReplicaState::READY;
    replica.bytes = kReplicaBytes;
    replica.idle_ms = 1000 * k;
    report.replicas.push_back(replica);
    report.reserved_bytes += replica.bytes;
  }
  for (int k = 0; k < kCachedPerEngine; ++k) {
    report.disk_tier.push_back(ModelNamed((i * 3 + k) % models).value());
  }
  return known;
}

policy::PlacementRequest MakeRequest(int model, int max_replicas) {
  policy::PlacementRequest request;
  request.model = ModelNamed(model);
  request.replica_bytes = kReplicaBytes;
  request.max_replicas = max_replicas;
  request.max_concurrent = 8;
  request.service_max_replicas = 1000000;
  request.remaining = std::chrono::seconds(30);
  request.zone = core::ZoneId("zone-1");
  return request;
}

double NanosEach(int rounds, const std::function<void(int)>& work) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < rounds; ++i) work(i);
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  return took.count() / rounds;
}

std::int64_t ResidentKilobytes() {
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) return std::stoll(line.substr(6));
  }
  return 0;
}

/** Measures and prints one row of the table. */
void Measure(int engines) {
  const int models = std::max(engines / kEnginesPerModel, 8);
  const core::SystemClock clock;
  const std::int64_t before = ResidentKilobytes();
  FleetView fleet(clock);
  const core::ServiceId service("service");
  std::map<core::ModelId, core::ServiceId> service_of;
  for (int i = 0; i < models; ++i) service_of[ModelNamed(i)] = service;
  fleet.SetServices(std::move(service_of));
  for (int i = 0; i < engines; ++i) fleet.Update(MakeEndpoint(i, models));
  const std::int64_t kilobytes = ResidentKilobytes() - before;

  std::vector<KnownEndpoint> reports;
  reports.reserve(kRounds);
  for (int i = 0; i < kRounds; ++i) {
    reports.push_back(MakeEndpoint(i % engines, models));
  }
  const policy::LoadTimes loads;
  const double report =
      NanosEach(kRounds, [&](int i) { fleet.Update(reports[i]); });
  const double warm = NanosEach(kRounds, [&](int i) {
    const auto decision = fleet.Decide(
        MakeRequest(i % (models - 1), kEnginesPerModel), service, loads);
    const Slot slot{.endpoint = decision.endpoint,
                    .model = ModelNamed(i % (models - 1))};
    fleet.AddSlot(slot);
    fleet.RemoveSlot(slot);
  });
  const double sleeping = NanosEach(kRounds, [&](int) {
    fleet.Decide(MakeRequest(models - 1, 1), service, loads);
  });
  LoadOrder order;
  order.endpoint = EndpointNamed(0);
  order.model = ModelNamed(models - 1);
  order.bytes = kReplicaBytes;
  order.expected = std::chrono::seconds(3);
  fleet.BeginLoad(order);
  const double burst = NanosEach(kRounds, [&](int) {
    fleet.Decide(MakeRequest(models - 1, 1), service, loads);
  });
  // Model 0's replicas are full and its replica limit isn't reached, so that
  // decisions consider whether its queue justifies another replica.
  for (int i = 0; i < engines; ++i) {
    const Slot slot{.endpoint = EndpointNamed(i), .model = ModelNamed(0)};
    const bool holds = fleet.HasReplica(slot.endpoint, slot.model);
    for (int k = 0; holds && k < 8; ++k) fleet.AddSlot(slot);
  }
  const double busy = NanosEach(kRounds, [&](int) {
    fleet.Decide(MakeRequest(0, 1000), service, loads);
  });
  fmt::print(
      "{:>8} {:>8} {:>12.0f} {:>12.0f} {:>12.0f} {:>12.0f} {:>12.0f} {:>10}\n",
      engines, models, report, warm, sleeping, burst, busy, kilobytes);
}

}  // namespace

}  // namespace sapphire::bench

int main() {
  fmt::print("{:>8} {:>8} {:>12} {:>12} {:>12} {:>12} {:>12} {:>10}\n",
             "engines", "models", "report ns", "warm ns", "sleeping ns",
             "burst ns", "busy ns", "KB");
  for (const int engines : sapphire::bench::kSizes) {
    sapphire::bench::Measure(engines);
  }
  return 0;
}

/** @file workload.cc Generates one day of a deployment's load from a seed. */
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

#include "bench/workload_func.h"

namespace sapphire::bench {

namespace {

using Random = std::mt19937_64;

constexpr std::int64_t kGigabyte = 1'000'000'000;
constexpr std::int64_t kEngineBytes = 80 * kGigabyte;
constexpr Millis kDay = std::chrono::hours(24);
/** Transfer speeds of the three tiers, in bytes per millisecond. */
constexpr std::int64_t kMemorySpeed = 16'000'000;
constexpr std::int64_t kDiskSpeed = 5'000'000;
constexpr std::int64_t kRemoteSpeed = 2'500'000;
/** Time to start a model, in addition to the transfer. */
constexpr Millis kEngineStart{600};

/** Parameters that differ between the two deployments. */
struct Profile {
  std::string name;
  int engines;
  int models;
  int adapters;
  int owners;
  int service_max_replicas;
  policy::StoreLimits store;
  policy::CostWeights weights;
  /** Sessions per hour over all models, outside of bursts. */
  double sessions_per_hour;
  Millis limit;
  /** Start times of bursts, in minutes of the day. */
  std::vector<double> burst_minutes;
  double burst_jitter_minutes;
  /** Models drawn per burst, and about the mean number of sessions of each. */
  int burst_models;
  int burst_sessions;
  Millis burst_spread;
};

Profile ProfileOf(Deployment deployment) {
  if (deployment == Deployment::kMeander) {
    return {.name = "meander",
            .engines = 12,
            .models = 65,
            .adapters = 75,
            .owners = 1,
            .service_max_replicas = 40,
            .store = {.loads_per_second = 3.0, .loads_at_once = 4},
            .weights = {.cold_start = 40, .idle = 1},
            .sessions_per_hour = 150,
            .limit = std::chrono::seconds(20),
            .burst_minutes = {420, 510, 570, 720, 840, 960, 1080, 1140},
            .burst_jitter_minutes = 15,
            .burst_models = 12,
            .burst_sessions = 20,
            .burst_spread = std::chrono::seconds(90)};
  }
  return {
      .name = "hanbit",
      .engines = 9,
      .models = 50,
      .adapters = 40,
      .owners = 3,
      .service_max_replicas = 30,
      .store = {.loads_per_second = 2.0, .loads_at_once = 4},
      .weights = {.cold_start = 10, .idle = 1},
      .sessions_per_hour = 80,
      .limit = std::chrono::seconds(30),
      .burst_minutes = {1020, 1050, 1080, 1110, 1140, 1170, 1200, 1230, 1260},
      .burst_jitter_minutes = 4,
      .burst_models = 10,
      .burst_sessions = 15,
      .burst_spread = std::chrono::seconds(180)};
}

void MakeHeavy(Profile& profile) {
  profile.limit = std::chrono::seconds(6);
  profile.burst_sessions *= 4;
}

double Uniform(Random& random, double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random);
}

int RandomBelow(Random& random, int n) {
  return std::uniform_int_distribution<int>(0, n - 1)(random);
}

Millis Exponential(Random& random, Millis mean) {
  const double rate = 1.0 / static_cast<double>(mean.count());
  return Millis(static_cast<std::int64_t>(
      std::exponential_distribution<double>(rate)(random)));
}

policy::LoadTimes LoadsOf(std::int64_t bytes) {
  policy::LoadTimes loads;
  loads.memory = kEngineStart + Millis(bytes / kMemorySpeed);
  loads.disk = kEngineStart + Millis(bytes / kDiskSpeed);
  loads.remote = kEngineStart + Millis(bytes / kRemoteSpeed);
  return loads;
}

/** How callers use a model: conversations, drafts in a few steps, single calls.
 */
struct UsagePattern {
  double calls;
  Millis think_time;
};

constexpr std::array kUsagePatterns = {
    UsagePattern{.calls = 6, .think_time = std::chrono::seconds(25)},
    UsagePattern{.calls = 3, .think_time = std::chrono::seconds(90)},
    UsagePattern{.calls = 1, .think_time = std::chrono::seconds(1)},
};

ModelSpec MakeModel(Random& random, const Profile& profile, int index,
                    double rate_scale) {
  ModelSpec model;
  model.id = core::ModelId(fmt::format("model-{}", index));
  model.bytes = kGigabyte * (8 + RandomBelow(random, 20));
  model.loads = LoadsOf(model.bytes);
  model.service_time = Millis(1000 + RandomBelow(random, 2500));
  model.max_replicas = index < 6 ? 2 : 1;
  model.owner = core::OwnerId(fmt::format("owner-{}", index % profile.owners));
  // Popularity follows Zipf's law: most models are called a few times a day.
  model.session_rate = rate_scale / (index + 1);
  const UsagePattern& use = kUsagePatterns[static_cast<std::size_t>(
      RandomBelow(random, static_cast<int>(kUsagePatterns.size())))];
  model.session_calls = use.calls;
  model.think_time = use.think_time;
  const int copies = RandomBelow(random, 3);
  for (int i = 0; i < copies; ++i) {
    model.on_disk.push_back(RandomBelow(random, profile.engines));
  }
  return model;
}

std::vector<ModelSpec> MakeModels(Random& random, const Profile& profile) {
  double harmonic = 0;
  for (int i = 0; i < profile.models; ++i) harmonic += 1.0 / (i + 1);
  const double scale = profile.sessions_per_hour / 3600.0 / harmonic;
  std::vector<ModelSpec> models;
  models.reserve(static_cast<std::size_t>(profile.models));
  for (int i = 0; i < profile.models; ++i) {
    models.push_back(MakeModel(random, profile, i, scale));
  }
  for (int i = 0; i < profile.adapters; ++i) {
    auto& model =
        models[static_cast<std::size_t>(RandomBelow(random, profile.models))];
    model.adapters.emplace_back(fmt::format("adapter-{}", i));
  }
  return models;
}

/** Adds the calls of one session, the first at `start`. */
void AddSession(Random& random, const Profile& profile, Workload& workload,
                int index, Millis start) {
  const ModelSpec& model = workload.models[static_cast<std::size_t>(index)];
  const int adapters = static_cast<int>(model.adapters.size());
  Arrival arrival;
  arrival.model = index;
  arrival.adapter = RandomBelow(random, adapters + 1) - 1;
  arrival.zone = RandomBelow(random, workload.zones);
  arrival.limit = profile.limit;
  arrival.at = start;
  const double more = 1.0 - 1.0 / model.session_calls;
  while (arrival.at < workload.length) {
    workload.arrivals.push_back(arrival);
    if (Uniform(random, 0, 1) >= more) break;
    arrival.at += model.service_time + Exponential(random, model.think_time);
  }
}

void AddBackground(Random& random, const Profile& profile, Workload& workload) {
  for (std::size_t i = 0; i < workload.models.size(); ++i) {
    const double rate = workload.models[i].session_rate;
    const Millis mean(static_cast<std::int64_t>(1000 / rate));
    Millis at = Exponential(random, mean);
    while (at < workload.length) {
      AddSession(random, profile, workload, static_cast<int>(i), at);
      at += Exponential(random, mean);
    }
  }
}

/** Adds sessions of several models at about the same time, as when a ship docks
 * or booths open. */
void AddBurst(Random& random, const Profile& profile, Workload& workload,
              Millis start) {
  for (int i = 0; i < profile.burst_models; ++i) {
    const int index = RandomBelow(random, profile.models);
    const int sessions = 1 + RandomBelow(random, 2 * profile.burst_sessions);
    for (int j = 0; j < sessions; ++j) {
      AddSession(random, profile, workload, index,
                 start + Exponential(random, profile.burst_spread));
    }
  }
}

}  // namespace

Workload MakeWorkload(Deployment deployment, LoadLevel load_level,
                      std::uint64_t seed) {
  Profile profile = ProfileOf(deployment);
  if (load_level == LoadLevel::kHeavy) MakeHeavy(profile);
  Random random(seed);
  Workload workload;
  workload.name = profile.name;
  workload.engines = profile.engines;
  workload.engine_bytes = kEngineBytes;
  workload.service_max_replicas = profile.service_max_replicas;
  workload.store = profile.store;
  workload.weights = profile.weights;
  workload.length = kDay;
  workload.models = MakeModels(random, profile);
  AddBackground(random, profile, workload);
  for (const double minute : profile.burst_minutes) {
    const double jitter = profile.burst_jitter_minutes;
    const double at = minute + Uniform(random, -jitter, jitter);
    AddBurst(random, profile, workload,
             Millis(static_cast<std::int64_t>(at * 60'000)));
  }
  std::ranges::stable_sort(workload.arrivals, std::ranges::less{},
                           &Arrival::at);
  return workload;
}

}  // namespace sapphire::bench

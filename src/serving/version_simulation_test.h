/** @file version_simulation_test.h Releases, kills and faults of the store, and
 * callers who take streams up, in a seeded random order. */
#ifndef SAPPHIRE_SERVING_VERSION_SIMULATION_TEST_H_
#define SAPPHIRE_SERVING_VERSION_SIMULATION_TEST_H_

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iterator>
#include <random>
#include <thread>
#include <type_traits>

#include "fleet/entry_message_func.h"
#include "serving/version_rig_test.h"

namespace sapphire::serving::testing {

using std::chrono::seconds;

/** Streams may be taken up for this time. */
inline constexpr seconds kMaxAge{10};
inline constexpr milliseconds kRound{200};
inline constexpr int kRounds = 200;

struct Counts {
  int went_on = 0;
  int refused = 0;
  /** Taken up at another version than the one that began it, which the store's
   * key named at that time. */
  int wrong = 0;
  /** The same, if the key did not name it yet. */
  int wrong_unnamed = 0;
};

/** Up to five entries, engines of three versions, and callers. */
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {
    fleet_.PutEngine("i-0", "v1");
    vms_.resize(1 + Below(5));
    for (const char* vm : vms_) Start(vm);
    // Some days are calm, so that one version serves all along.
    release_odds_ = 10 + Below(200);
  }

  Counts Run() {
    for (int i = 0; i < kRounds; ++i) {
      ChangeEngines();
      ChangeStore();
      ChangeEntries();
      fleet_.Pass(kRound);
      if (!fleet_.entries.empty()) Serve();
    }
    return counts_;
  }

 private:
  struct Stream {
    core::RequestId attempt;
    std::string version;
    core::SteadyTime at;
    /** True if the store's key named the version as the stream began. */
    bool named = false;
  };

  std::size_t Below(std::size_t bound) { return random_() % bound; }
  bool OneIn(std::size_t n) { return Below(n) == 0; }

  void Start(const std::string& vm) {
    VersionEntry& entry = fleet_.Start(vm);
    entry.history.SetMaxAge(kMaxAge);
    entry.behind = fleet_.store.state == StoreState::kAway;
  }

  /** @return A key of the map; empty if it has none. */
  template <typename Map>
  std::string AnyOf(const Map& map) {
    if (map.empty()) return "";
    const auto it = std::next(map.begin(), static_cast<int>(Below(map.size())));
    if constexpr (std::is_same_v<typename Map::key_type, std::string>) {
      return it->first;
    } else {
      return it->first.value();
    }
  }

  void PutEngine() {
    fleet_.PutEngine("i-" + std::to_string(++engines_),
                     "v" + std::to_string(1 + Below(3)));
  }

  void ChangeEngines() {
    if (fleet_.store.state == StoreState::kAway) return;
    if (OneIn(release_odds_)) PutEngine();
    if (fleet_.engines.size() > 1 && OneIn(release_odds_ / 2)) {
      fleet_.RemoveEngine(AnyOf(fleet_.engines));
    }
  }

  void ChangeStore() {
    StoreState& state = fleet_.store.state;
    if (state == StoreState::kWorks) {
      constexpr StoreState kFaults[] = {StoreState::kRefusesWrites,
                                        StoreState::kLosesAnswers,
                                        StoreState::kAway};
      if (OneIn(50)) state = kFaults[Below(std::size(kFaults))];
      if (state != StoreState::kAway) return;
      for (const auto& [vm, it] : fleet_.entries) it->behind = true;
    } else if (OneIn(10)) {
      const bool was_away = state == StoreState::kAway;
      state = StoreState::kWorks;
      if (!was_away) return;
      for (const auto& [vm, it] : fleet_.entries) CatchUp(*it, true);
    }
  }

  void CatchUp(VersionEntry& entry, bool has_gap) {
    entry.behind = false;
    if (has_gap) fleet_.List(entry);
  }

  void ChangeEntries() {
    const bool away = fleet_.store.state == StoreState::kAway;
    if (OneIn(100)) KillAll();
    if (!fleet_.entries.empty() && OneIn(50)) Kill(AnyOf(fleet_.entries));
    for (const char* vm : vms_) {
      const auto it = fleet_.entries.find(vm);
      if (it == fleet_.entries.end()) {
        if (OneIn(10)) Start(vm);
      } else if (it->second->behind) {
        if (!away && OneIn(10)) CatchUp(*it->second, OneIn(2));
      } else if (OneIn(100)) {
        it->second->behind = true;
      }
      if (OneIn(100)) fleet_.cut_off.insert(vm);
      if (OneIn(10)) fleet_.cut_off.erase(vm);
    }
  }

  void Kill(const std::string& vm) { fleet_.Kill(vm); }

  /** Often the engines are replaced meanwhile. */
  void KillAll() {
    while (!fleet_.entries.empty()) Kill(fleet_.entries.begin()->first);
    if (fleet_.store.state == StoreState::kAway || !OneIn(3)) return;
    while (!fleet_.engines.empty()) {
      fleet_.RemoveEngine(fleet_.engines.begin()->first);
    }
    PutEngine();
  }

  /** A stream begins at an engine that its entry sees and that is still there,
   * and callers take others up at any entry. */
  void Serve() {
    VersionEntry& entry = *fleet_.entries.at(AnyOf(fleet_.entries));
    const std::string id = AnyOf(entry.registry.engines());
    if (fleet_.engines.contains(id)) {
      const fleet::SoftwareVersion version =
          fleet_.engines.at(id).software_version;
      const core::RequestId attempt("r-" + std::to_string(++attempts_));
      entry.directory.Record(attempt, kService, version);
      streams_.push_back({attempt, version.value(), fleet_.clock.Now(),
                          IsNamed(version.value())});
    }
    std::erase_if(streams_, [this](const Stream& it) {
      return fleet_.clock.Now() - it.at >= kMaxAge;
    });
    if (!streams_.empty()) TakeUp(streams_[Below(streams_.size())]);
  }

  [[nodiscard]] bool IsNamed(const std::string& version) const {
    if (!fleet_.store.entry) return false;
    const gen::ServiceVersions named =
        fleet::DecodeServiceVersions(fleet_.store.entry->value);
    return named.only_version == version ||
           std::ranges::find(named.versions, version) != named.versions.end();
  }

  void TakeUp(const Stream& stream) {
    const std::string found =
        fleet_.TakeUp(AnyOf(fleet_.entries), stream.attempt);
    if (found.empty()) {
      ++counts_.refused;
    } else if (found == stream.version) {
      ++counts_.went_on;
    } else {
      ++(stream.named ? counts_.wrong : counts_.wrong_unnamed);
    }
  }

  std::mt19937_64 random_;
  VersionFleet fleet_;
  std::vector<const char*> vms_{"a", "b", "c", "d", "e"};
  std::size_t release_odds_ = 1;
  std::vector<Stream> streams_;
  Counts counts_;
  int engines_ = 0;
  int attempts_ = 0;
};

/** @return The counts of each seed, from 1 to `seeds` unless VERSION_SEEDS sets
 * another number. */
inline std::vector<Counts> RunSimulations(int seeds) {
  const char* text = std::getenv("VERSION_SEEDS");
  std::vector<Counts> all(text == nullptr ? seeds : std::atoi(text));
  std::atomic<std::size_t> next{0};
  // Mostly they wait for entries that do not answer.
  std::vector<std::jthread> threads(8);
  for (std::jthread& it : threads) {
    it = std::jthread([&all, &next] {
      for (std::size_t i = next++; i < all.size(); i = next++) {
        all[i] = Simulation(i + 1).Run();
      }
    });
  }
  threads.clear();
  return all;
}

}  // namespace sapphire::serving::testing

#endif  // SAPPHIRE_SERVING_VERSION_SIMULATION_TEST_H_

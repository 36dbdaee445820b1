/** @file evidence.cc Finds what the requests that crash engines have in common.
 */
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <utility>

#include "crash/evidence_func.h"

namespace sapphire::crash {

namespace {

/** Crashes at shorter intervals count as one wave: they may have one common
 * cause outside the requests, and they tell nothing of the trials between them.
 */
constexpr milliseconds kWaveGap{1000};
/** A trait that has survived is doubted only after this many waves of crashes
 * without a further survival. */
constexpr int kWavesToDoubt = 3;
/** Level from which on a trait is refused between its trials. */
constexpr int kRefusedLevel = 3;
/** Crashes from which on a repeated request is refused. A prompt part needs
 * more, as refusing it affects other callers. */
constexpr int kCrashesToRefuseRequest = 2;

/** Entries begin their first trials at this interval: in this time a request
 * begins to run, and a crash becomes known to all. */
constexpr milliseconds kTrialStep{200};
/** Entries share this many turns, so that the last one does not wait long. */
constexpr int kTrialTurns = 4;
/** After more than one crash the steps are longer by this factor, as the trait
 * is more likely the cause. */
constexpr int kLaterTrialSteps = 2;
/** Pauses before the trials of a refused trait, by level. Each failed trial
 * costs an engine and all that it is running. */
constexpr std::array<milliseconds, 5> kTrialPauses = {
    std::chrono::seconds(10), std::chrono::minutes(1), std::chrono::minutes(10),
    std::chrono::hours(1), std::chrono::hours(6)};

/** The crashes that count against a trait, in order of time. */
struct Charges {
  std::vector<core::SteadyTime> times;
  std::vector<const Crash*> crashes;
};

/** @return Number of waves that the crashes come in. */
int CountWaves(const std::vector<core::SteadyTime>& times) {
  int waves = 0;
  for (std::size_t i = 0; i < times.size(); ++i) {
    if (i == 0 || times[i] - times[i - 1] >= kWaveGap) ++waves;
  }
  return waves;
}

Charges ChargesAgainst(const CrashEvidence& evidence, const Trait& trait) {
  Charges charges;
  const auto instances = evidence.crashes_of.find(trait);
  if (instances == evidence.crashes_of.end()) return charges;
  const auto survived = LastSurvival(evidence, trait);
  for (const fleet::InstanceId& it : instances->second) {
    const Crash& crash = evidence.crashes.at(it);
    if (!survived || crash.at > *survived) charges.crashes.push_back(&crash);
  }
  std::ranges::sort(charges.crashes, {}, &Crash::at);
  for (const Crash* it : charges.crashes) charges.times.push_back(it->at);
  if (survived && CountWaves(charges.times) < kWavesToDoubt) return {};
  return charges;
}

/** @return True if a trait that is not among `traits` was in all of the crashes
 * and may be their cause. */
bool IsExplained(const CrashEvidence& evidence, const Charges& charges,
                 const std::vector<Trait>& traits) {
  const auto explains = [&](const Trait& other) {
    if (std::ranges::find(traits, other) != traits.end()) return false;
    // Cheap, and true of few traits after more than one crash.
    const bool was_there = std::ranges::all_of(
        charges.crashes,
        [&](const Crash* it) { return it->traits.contains(other); });
    if (!was_there) return false;
    const Charges others = ChargesAgainst(evidence, other);
    return std::ranges::all_of(charges.crashes, [&](const Crash* it) {
      return std::ranges::find(others.crashes, it) != others.crashes.end();
    });
  };
  return std::ranges::any_of(charges.crashes.front()->traits, explains);
}

/** @return The number of crashes up to kRefusedLevel, and one more for each
 * trial that failed after that. */
int LevelOf(const Trait& trait, const Charges& charges) {
  const int needed = trait.kind == TraitKind::kRequest ? kCrashesToRefuseRequest
                                                       : kRefusedLevel;
  const auto n = static_cast<int>(charges.times.size());
  if (n < needed) return n;
  const std::vector<core::SteadyTime> refused(
      charges.times.begin() + needed - 1, charges.times.end());
  return kRefusedLevel + CountWaves(refused) - 1;
}

/** @return Time from the latest crash to this entry's next trial. */
milliseconds PauseOf(int level, bool is_explained, int rank) {
  const int turn = rank % kTrialTurns;
  if (level == 1) return turn * kTrialStep;
  if (is_explained || level < kRefusedLevel) {
    return kLaterTrialSteps * (1 + turn) * kTrialStep;
  }
  const auto step = static_cast<std::size_t>(level - kRefusedLevel);
  return (1 + rank) * kTrialPauses[std::min(step, kTrialPauses.size() - 1)];
}

/** Assesses one trait of a request with all of these traits. */
Assessment AssessTrait(const CrashEvidence& evidence, const Trait& trait,
                       const std::vector<Trait>& traits, core::SteadyTime now,
                       const RankFunction& rank_of) {
  Assessment result;
  const Charges charges = ChargesAgainst(evidence, trait);
  if (charges.crashes.empty()) return result;
  const core::SteadyTime last = charges.times.back();
  result.is_suspect = true;
  result.trait = trait;
  result.crashes = static_cast<int>(charges.crashes.size());
  result.age = std::chrono::duration_cast<milliseconds>(now - last);
  // A repeated request is refused all the same: only its caller waits, and a
  // trial that its engine does not survive may go unnoticed.
  result.is_explained = trait.kind == TraitKind::kPromptPart &&
                        IsExplained(evidence, charges, traits);
  const milliseconds pause =
      PauseOf(LevelOf(trait, charges), result.is_explained, rank_of(trait));
  result.wait = std::max(std::chrono::ceil<milliseconds>(last + pause - now),
                         milliseconds(0));
  return result;
}

/** Removes a crash. */
void Erase(CrashEvidence& evidence, const fleet::InstanceId& instance) {
  const auto it = evidence.crashes.find(instance);
  for (const Trait& trait : it->second.traits) {
    const auto of = evidence.crashes_of.find(trait);
    of->second.erase(instance);
    if (of->second.empty()) evidence.crashes_of.erase(of);
  }
  evidence.crashes.erase(it);
}

void DropOlderHalf(std::map<Trait, core::SteadyTime>& survivals) {
  std::vector<core::SteadyTime> times;
  times.reserve(survivals.size());
  for (const auto& [trait, at] : survivals) times.push_back(at);
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  std::erase_if(survivals,
                [at = *middle](const auto& it) { return it.second <= at; });
}

constexpr std::string_view kPartPrefix = "part-";
constexpr std::string_view kRequestPrefix = "request-";
constexpr int kHexBase = 16;

}  // namespace

bool AddCrash(CrashEvidence& evidence, const CrashReport& report) {
  if (report.traits.empty()) return false;
  const auto [it, is_new] =
      evidence.crashes.try_emplace(report.instance, Crash{report.at, {}});
  const std::size_t before = it->second.traits.size();
  for (const Trait& trait : report.traits) {
    it->second.traits.insert(trait);
    evidence.crashes_of[trait].insert(report.instance);
  }
  return is_new || it->second.traits.size() > before;
}

bool AddSurvival(CrashEvidence& evidence, const Survival& survival) {
  const auto [it, is_new] =
      evidence.survivals.try_emplace(survival.trait, survival.at);
  if (!is_new && it->second >= survival.at) return false;
  it->second = survival.at;
  if (evidence.survivals.size() > kMaxSurvivals) {
    DropOlderHalf(evidence.survivals);
  }
  return true;
}

void Expire(CrashEvidence& evidence, core::SteadyTime now) {
  std::vector<std::pair<core::SteadyTime, fleet::InstanceId>> by_age;
  for (const auto& [instance, crash] : evidence.crashes) {
    by_age.emplace_back(crash.at, instance);
  }
  std::ranges::sort(by_age);
  std::size_t left = by_age.size();
  for (const auto& [at, instance] : by_age) {
    if (left <= kMaxCrashes && now - at < kEvidenceLifetime) break;
    Erase(evidence, instance);
    --left;
  }
  std::erase_if(evidence.survivals, [now](const auto& it) {
    return now - it.second >= kEvidenceLifetime;
  });
}

std::optional<core::SteadyTime> LastSurvival(const CrashEvidence& evidence,
                                             const Trait& trait) {
  const auto it = evidence.survivals.find(trait);
  if (it == evidence.survivals.end()) return std::nullopt;
  return it->second;
}

Assessment Assess(const CrashEvidence& evidence,
                  const std::vector<Trait>& traits, core::SteadyTime now,
                  const RankFunction& rank_of) {
  Assessment worst;
  for (const Trait& trait : traits) {
    const Assessment next = AssessTrait(evidence, trait, traits, now, rank_of);
    if (!next.is_suspect) continue;
    if (!worst.is_suspect || std::pair(next.wait, next.crashes) >
                                 std::pair(worst.wait, worst.crashes)) {
      worst = next;
    }
  }
  return worst;
}

std::vector<Trait> SuspectsAmong(const CrashEvidence& evidence,
                                 const std::vector<Trait>& traits) {
  std::vector<Trait> suspects;
  std::ranges::copy_if(traits, std::back_inserter(suspects),
                       [&evidence](const Trait& it) {
                         return !ChargesAgainst(evidence, it).crashes.empty();
                       });
  return suspects;
}

std::vector<Assessment> ListSuspects(const CrashEvidence& evidence,
                                     core::SteadyTime now) {
  std::vector<Assessment> suspects;
  const auto first = [](const Trait&) { return 0; };
  for (const auto& [trait, instances] : evidence.crashes_of) {
    const Assessment next = AssessTrait(evidence, trait, {trait}, now, first);
    if (next.is_suspect) suspects.push_back(next);
  }
  return suspects;
}

std::string NameOf(const Trait& trait) {
  const std::string_view prefix =
      trait.kind == TraitKind::kPromptPart ? kPartPrefix : kRequestPrefix;
  return fmt::format("{}{:x}", prefix, trait.hash);
}

std::optional<Trait> TraitNamed(std::string_view name) {
  Trait trait;
  if (name.starts_with(kPartPrefix)) {
    name.remove_prefix(kPartPrefix.size());
  } else if (name.starts_with(kRequestPrefix)) {
    trait.kind = TraitKind::kRequest;
    name.remove_prefix(kRequestPrefix.size());
  } else {
    return std::nullopt;
  }
  const char* const end = name.data() + name.size();
  const auto read = std::from_chars(name.data(), end, trait.hash, kHexBase);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return trait;
}

}  // namespace sapphire::crash

/** @file crash_watch.cc Refuses requests that crash engines. */
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "http/probe_func.h"
#include "serving/crash_watch_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;

namespace {

/** A crashed engine's port is closed within this. */
constexpr milliseconds kPortCloseTime{50};
/** Connect timeout of a probe; an engine on a near VM accepts or refuses a
 * connection in milliseconds. */
constexpr milliseconds kProbeTimeout{400};
/** Requests that crash engines do so as they begin to run: one whose answer has
 * been arriving for longer than this is not the cause. */
constexpr milliseconds kMaxTimeToCrash{1000};
/** A trait that this entry has seen survive within this time is not reported:
 * a prompt part that many requests share would be in every report. */
constexpr milliseconds kRecentSurvival{10'000};
/** Longest wait of a request for a trial to end. A trial takes a request's time
 * to its first event and kMaxTimeToCrash at most. */
constexpr milliseconds kMaxTrialWait{1500};
/** Bounds of what refused callers are told: a trial may clear the request
 * soon, and callers should ask again within their own time. */
constexpr milliseconds kMinRetryAfter{500};
constexpr milliseconds kMaxRetryAfter{60'000};
/** Traits that a log line names. */
constexpr std::size_t kMaxLoggedTraits = 8;

std::string NamesOf(const std::vector<crash::Trait>& traits) {
  std::vector<std::string> names;
  for (const crash::Trait& it : traits) {
    if (names.size() < kMaxLoggedTraits) names.push_back(crash::NameOf(it));
  }
  return fmt::format("{}", fmt::join(names, ","));
}

std::uint64_t FingerprintOf(const http::Request& request) {
  std::uint64_t hash = core::HashOf(request.method);
  hash = core::HashOf(request.target, hash);
  return core::HashOf(request.body.text(), hash);
}

}  // namespace

std::vector<crash::Trait> TraitsOf(const CallerRequest& request) {
  std::vector<crash::Trait> traits;
  for (const PromptPart& part : request.prompt_parts) {
    traits.push_back({crash::TraitKind::kPromptPart, part.hash});
  }
  if (!traits.empty()) traits.pop_back();
  traits.push_back(
      {crash::TraitKind::kRequest, FingerprintOf(request.forward)});
  return traits;
}

CrashWatch::CrashWatch(const std::string& entry,
                       const crash::SharingDependencies& parts,
                       fleet::EngineLoads& loads)
    : sharing_(entry, parts),
      loads_(loads),
      executor_(parts.executor),
      clock_(parts.clock),
      log_(parts.log) {}

void CrashWatch::Start() { sharing_.Start(); }

routing::FollowHooks CrashWatch::Hooks() {
  routing::FollowHooks hooks;
  hooks.prefix = crash::kEvidencePrefix;
  hooks.listed = [this](std::vector<external::KvEntry> entries,
                        routing::LapseGraceEnd) {
    sharing_.ApplyListing(entries);
  };
  hooks.changed = [this](external::KvEvent event, routing::LapseGraceEnd) {
    sharing_.ApplyChange(event);
  };
  return hooks;
}

bool CrashWatch::IsHeld(const crash::Trait& trait) const {
  if (!held_.contains(trait)) return false;
  const bool is_cleared =
      crash::LastSurvival(sharing_.evidence(), trait) &&
      crash::SuspectsAmong(sharing_.evidence(), {trait}).empty();
  return !is_cleared;
}

std::optional<CrashWatch::Obstacle> CrashWatch::FindObstacle(
    const CandidateSend& candidate) const {
  Obstacle obstacle;
  obstacle.is_in_trial =
      probed_.contains(candidate.request) ||
      std::ranges::any_of(candidate.traits,
                          [this](const auto& it) { return IsHeld(it); });
  obstacle.assessment = crash::Assess(
      sharing_.evidence(), candidate.traits, clock_.Now(),
      [this](const crash::Trait& it) { return sharing_.RankOf(it); });
  const bool must_wait = obstacle.assessment.wait > milliseconds(0);
  if (!obstacle.is_in_trial && !must_wait) return std::nullopt;
  return obstacle;
}

void CrashWatch::Refuse(const CandidateSend& candidate,
                        const Obstacle& obstacle) const {
  const crash::Assessment& found = obstacle.assessment;
  std::string detail = "its engine is being probed";
  if (found.is_suspect) {
    detail = fmt::format("{}: {} crashes, the last {} ms ago{}",
                         crash::NameOf(found.trait), found.crashes,
                         found.age.count(),
                         obstacle.is_in_trial ? ", being tried" : "");
  }
  if (candidate.may_have_run) {
    throw core::Error(core::ErrorCode::kOutcomeUnknown, detail);
  }
  throw core::Error(core::ErrorCode::kQuarantined, detail,
                    std::clamp(found.wait, kMinRetryAfter, kMaxRetryAfter));
}

void CrashWatch::Check(const CandidateSend& candidate) const {
  const auto obstacle = FindObstacle(candidate);
  if (obstacle && obstacle->assessment.wait > kMaxTrialWait) {
    Refuse(candidate, *obstacle);
  }
}

core::Task<> CrashWatch::AwaitTurn(CandidateSend candidate,
                                   milliseconds max_wait) {
  const core::SteadyTime end = clock_.Now() + std::min(max_wait, kMaxTrialWait);
  while (true) {
    const std::uint64_t seen = sharing_.changed().epoch();
    const auto obstacle = FindObstacle(candidate);
    if (!obstacle) co_return;
    const milliseconds wait = obstacle->assessment.wait;
    const auto left = std::chrono::ceil<milliseconds>(end - clock_.Now());
    if (left <= milliseconds(0) || wait > left) Refuse(candidate, *obstacle);
    const bool ends_by_time = wait > milliseconds(0);
    co_await sharing_.changed().Wait(seen, ends_by_time ? wait : left);
  }
}

bool CrashWatch::MaySend(const CandidateSend& candidate) const {
  return !FindObstacle(candidate);
}

bool CrashWatch::IsSuspect(const CandidateSend& candidate) const {
  return !crash::SuspectsAmong(sharing_.evidence(), candidate.traits).empty();
}

void CrashWatch::Hold(std::vector<crash::Trait> traits, WatchedSend& send) {
  for (const crash::Trait& it : traits) ++held_[it];
  send.held = std::move(traits);
}

void CrashWatch::Release(WatchedSend& send) {
  if (send.held.empty()) return;
  for (const crash::Trait& trait : std::exchange(send.held, {})) {
    const auto it = held_.find(trait);
    if (--it->second == 0) held_.erase(it);
  }
  sharing_.changed().Notify();
}

void CrashWatch::Begin(WatchedSend& send) {
  Hold(crash::SuspectsAmong(sharing_.evidence(), send.traits), send);
  if (send.held.empty()) return;
  const crash::Assessment found =
      crash::Assess(sharing_.evidence(), send.traits, clock_.Now(),
                    [](const crash::Trait&) { return 0; });
  log_.Event(LogLevel::kInfo, LogCategory::kRequest, "trial_sent",
             {{"request", send.request},
              {"instance", send.instance},
              {"trait", crash::NameOf(found.trait)},
              {"crashes", found.crashes},
              {"age_ms", found.age},
              {"explained", found.is_explained}});
}

bool CrashWatch::HasOutlivedCrash(const WatchedSend& send) const {
  return send.first_byte && clock_.Now() - *send.first_byte >= kMaxTimeToCrash;
}

void CrashWatch::RecordAnswerPart(WatchedSend& send) {
  if (!send.first_byte) send.first_byte = clock_.Now();
  if (send.held.empty() || !HasOutlivedCrash(send)) return;
  RecordSurvival(send);
  Release(send);
}

void CrashWatch::End(WatchedSend& send, const ExchangeResult& result) {
  Release(send);
  if (IsSuspicious(send, result)) {
    // Other requests with an unproven part wait for the probe.
    std::vector<crash::Trait> unknown;
    for (const crash::Trait& it : send.traits) {
      const bool is_part = it.kind == crash::TraitKind::kPromptPart;
      if (is_part && !crash::LastSurvival(sharing_.evidence(), it)) {
        unknown.push_back(it);
      }
    }
    Hold(std::move(unknown), send);
    ++probed_[send.request];
    core::Spawn(executor_, log_, "inspect_engine",
                [this, send] { return ProbeEngine(send); });
    send.held.clear();
    return;
  }
  if (result.end == ExchangeEnd::kServed || HasOutlivedCrash(send)) {
    RecordSurvival(send);
  }
}

bool CrashWatch::IsSuspicious(const WatchedSend& send,
                              const ExchangeResult& result) const {
  const bool broken =
      result.end == ExchangeEnd::kLost || result.end == ExchangeEnd::kCutMidway;
  // An engine that is silent has not crashed: its connections would have ended.
  // Neither has one whose answer goes on.
  if (!broken || result.timed_out || result.oversized) return false;
  return !HasOutlivedCrash(send);
}

core::Task<> CrashWatch::ProbeEngine(WatchedSend send) {
  co_await core::SleepFor(kPortCloseTime);
  const auto probe = co_await http::Probe(send.address, kProbeTimeout);
  if (probe == http::ProbeResult::kRefused) {
    loads_.MarkUnreachable(send.instance);
    RecordCrash(send);
  }
  const auto it = probed_.find(send.request);
  if (--it->second == 0) probed_.erase(it);
  Release(send);
  sharing_.changed().Notify();
}

void CrashWatch::RecordCrash(const WatchedSend& send) {
  const core::SteadyTime now = clock_.Now();
  crash::CrashReport report{send.instance, now, {}};
  for (const crash::Trait& it : send.traits) {
    const auto survived = crash::LastSurvival(sharing_.evidence(), it);
    const bool is_sound = survived && now - *survived < kRecentSurvival;
    if (!is_sound) report.traits.insert(it);
  }
  sharing_.ReportCrash(report);
  const crash::Assessment found =
      crash::Assess(sharing_.evidence(), send.traits, now,
                    [](const crash::Trait&) { return 0; });
  log_.Event(LogLevel::kWarning, LogCategory::kRequest, "engine_crashed",
             {{"request", send.request},
              {"instance", send.instance},
              {"model", send.model},
              {"traits", NamesOf(send.traits)},
              {"reported", report.traits.size()},
              {"trait", crash::NameOf(found.trait)},
              {"crashes", found.crashes},
              {"explained", found.is_explained},
              {"wait_ms", found.wait}});
}

void CrashWatch::RecordSurvival(const WatchedSend& send) {
  const core::SteadyTime now = clock_.Now();
  for (const crash::Trait& it : send.traits) {
    // Requests without shared parts may be alike; others rarely are.
    const bool is_worth_keeping = it.kind == crash::TraitKind::kPromptPart ||
                                  send.traits.size() == 1 ||
                                  sharing_.evidence().crashes_of.contains(it);
    if (!is_worth_keeping || !sharing_.ReportSurvival({it, now})) continue;
    log_.Event(LogLevel::kInfo, LogCategory::kRequest, "trait_cleared",
               {{"request", send.request},
                {"instance", send.instance},
                {"trait", crash::NameOf(it)}});
  }
}

std::string CrashWatch::Describe() const {
  std::string text;
  for (const crash::Assessment& it :
       crash::ListSuspects(sharing_.evidence(), clock_.Now())) {
    text += fmt::format("{} crashes={} age_ms={} wait_ms={}\n",
                        crash::NameOf(it.trait), it.crashes, it.age.count(),
                        it.wait.count());
  }
  return text;
}

}  // namespace sapphire::serving

/** @file crash_watch.cc Refuses requests that crash engines. */
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "http/probe_func.h"
#include "serving/crash_watch_base.h"

namespace sapphire::serving {

namespace {

/** A crashed engine's port is closed within this. */
constexpr milliseconds kPortCloseTime{50};
/** Connect timeout of a probe; an engine on a near VM accepts or refuses a
 * connection in milliseconds. */
constexpr milliseconds kProbeTimeout{400};
/** Requests that crash engines do so as they begin to run: one whose answer has
 * been arriving for longer than this is not the cause. */
constexpr milliseconds kMaxTimeToCrash{1000};
/** Time after which a refused caller may retry; earlier retries are pointless.
 */
constexpr milliseconds kRetryAfter{60'000};
/** Shift that keeps the sign bit of a hash clear. */
constexpr int kSignBit = 1;
/** Parts of a prompt that a log line names. */
constexpr std::size_t kMaxLoggedParts = 8;

std::string DescribeParts(const std::vector<std::uint64_t>& parts) {
  const std::size_t n = std::min(parts.size(), kMaxLoggedParts);
  return fmt::format(
      "{:x}", fmt::join(parts.begin(),
                        parts.begin() + static_cast<std::ptrdiff_t>(n), ","));
}

}  // namespace

std::int64_t FingerprintOf(const CallerRequest& request) {
  std::uint64_t hash = core::HashOf(request.forward.method);
  hash = core::HashOf(request.forward.target, hash);
  hash = core::HashOf(request.forward.body, hash);
  return static_cast<std::int64_t>(hash >> kSignBit);
}

std::vector<std::uint64_t> SharedPartsOf(const CallerRequest& request) {
  std::vector<std::uint64_t> shared;
  for (const PromptPart& part : request.prompt_parts) {
    shared.push_back(part.hash);
  }
  if (!shared.empty()) shared.pop_back();
  return shared;
}

CrashWatch::CrashWatch(external::KeyValueStore& store,
                       fleet::EngineLoads& loads,
                       const core::Executor& executor, const core::Clock& clock,
                       const core::Logger& log)
    : loads_(loads),
      executor_(executor),
      clock_(clock),
      log_(log),
      quarantine_(std::make_shared<crash::Quarantine>(clock)),
      quarantine_store_(std::make_shared<crash::QuarantineStore>(
          executor, quarantine_, crash::QuarantineTiming(), store, clock,
          log)) {}

void CrashWatch::Start() { quarantine_store_->StartWriting(); }

routing::FollowHooks CrashWatch::Hooks() {
  routing::FollowHooks hooks;
  hooks.prefix = crash::kQuarantinePrefix;
  hooks.listed = [this](std::vector<external::KvEntry> entries,
                        routing::LapseGraceEnd) {
    quarantine_store_->ApplyListing(entries);
  };
  hooks.changed = [this](external::KvEvent event, routing::LapseGraceEnd) {
    quarantine_store_->ApplyEvent(event);
  };
  return hooks;
}

void CrashWatch::Check(std::int64_t fingerprint) const {
  if (!quarantine_->StatusOf(fingerprint).IsQuarantined()) return;
  throw core::Error(core::ErrorCode::kQuarantined,
                    "this request has crashed two engines", kRetryAfter);
}

void CrashWatch::Begin(WatchedSend& send) {
  send.number = next_number_++;
  quarantine_->RecordDispatch(send.fingerprint, send.number,
                              core::EndpointId(send.instance.value()));
}

void CrashWatch::End(const WatchedSend& send, const ExchangeResult& result) {
  if (!IsSuspicious(send, result)) {
    RecordSendEnd(send, result.end == ExchangeEnd::kServed);
    return;
  }
  core::Spawn(executor_, log_, "inspect_engine",
              [this, send] { return ProbeEngine(send); });
}

bool CrashWatch::IsSuspicious(const WatchedSend& send,
                              const ExchangeResult& result) const {
  const bool broken =
      result.end == ExchangeEnd::kLost || result.end == ExchangeEnd::kCutMidway;
  // An engine that is silent has not crashed: its connections would have ended.
  if (!broken || result.timed_out) return false;
  return !send.first_byte || clock_.Now() - *send.first_byte < kMaxTimeToCrash;
}

core::Task<> CrashWatch::ProbeEngine(WatchedSend send) {
  co_await core::SleepFor(kPortCloseTime);
  const auto probe = co_await http::Probe(send.address, kProbeTimeout);
  if (probe != http::ProbeResult::kRefused) {
    RecordSendEnd(send, false);
    co_return;
  }
  loads_.MarkUnreachable(send.instance);
  RecordSendCrash(send);
}

void CrashWatch::RecordSendEnd(const WatchedSend& send, bool completed) {
  const bool cleared =
      quarantine_->RecordEnd(send.fingerprint, send.number, completed);
  if (cleared) quarantine_store_->MarkDirty(send.fingerprint);
}

void CrashWatch::RecordSendCrash(const WatchedSend& send) {
  const bool counted =
      quarantine_->RecordCrash(send.fingerprint, send.number, send.model);
  if (counted) quarantine_store_->MarkDirty(send.fingerprint);
  log_.Event(core::LogLevel::kWarning, core::LogCategory::kRequest,
             "engine_crashed",
             {{"request", send.request},
              {"instance", send.instance},
              {"model", send.model},
              {"shared_parts", DescribeParts(send.shared_parts)},
              {"fingerprint", send.fingerprint},
              {"crashes", quarantine_->StatusOf(send.fingerprint).crashes}});
}

}  // namespace sapphire::serving

/** @file engine_notice_recorder.cc Records what engines say of themselves in
 * answers. */
#include <algorithm>
#include <utility>

#include "core/random_func.h"
#include "fleet/instance_func.h"
#include "serving/engine_notice_recorder_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;

namespace {

/** Entries that were turned away together return within this share of the
 * rest, and within this time. */
constexpr int kSpreadDivisor = 10;
constexpr milliseconds kMaxSpread{200};

std::string_view NameOf(EngineCall call) {
  return call == EngineCall::kRequest ? "request" : "state";
}

bool IsEmpty(const fleet::EngineNotice& notice) {
  return !notice.leaving && !notice.rest && !notice.unreadable;
}

}  // namespace

EngineNoticeRecorder::EngineNoticeRecorder(
    std::string entry, fleet::EngineLoads& loads,
    const fleet::EngineRegistry& registry, std::function<void()> on_change,
    FrontMetrics& metrics, const core::Logger& log)
    : entry_(std::move(entry)),
      loads_(loads),
      registry_(registry),
      on_change_(std::move(on_change)),
      metrics_(metrics),
      log_(log) {}

void EngineNoticeRecorder::Record(const NoticeSource& source,
                                  const EngineAnswer& answer) {
  // An engine that reports its load, or refuses a request, may still be unable
  // to take any.
  const bool ends_rest = source.call == EngineCall::kRequest && !answer.not_run;
  if (IsEmpty(answer.notice) && !ends_rest) return;
  const fleet::InstanceId speaker = SpeakerOf(source, answer);
  if (speaker.empty()) return;
  const milliseconds rest = answer.notice.rest.value_or(milliseconds(0));
  const fleet::NoticeChange change =
      loads_.notices().Apply(speaker, answer.notice, SpreadOf(speaker, rest));
  if (change.leaving) {
    metrics_.EngineNoticed("leaving");
    Log(LogLevel::kInfo, LogCategory::kReplica, "engine_leave_announced",
        speaker, source, answer);
  }
  if (change.rest) {
    metrics_.EngineNoticed("rest");
    Log(LogLevel::kInfo, LogCategory::kReplica, "engine_rest_requested",
        speaker, source, answer);
  }
  if (change.rest_ended) {
    Log(LogLevel::kInfo, LogCategory::kReplica, "engine_rest_ended", speaker,
        source, answer);
  }
  if (change.unreadable) {
    metrics_.EngineNoticed("unreadable");
    Log(LogLevel::kWarning, LogCategory::kReplica, "engine_notice_unreadable",
        speaker, source, answer);
  }
  if (change.leaving || change.rest_ended) on_change_();
}

/** @return The instance that answered; empty if it is not registered. Another
 * engine may use the address of the one that was addressed. */
fleet::InstanceId EngineNoticeRecorder::SpeakerOf(
    const NoticeSource& source, const EngineAnswer& answer) const {
  const bool is_addressed = answer.engine.empty() ||
                            answer.engine == fleet::EngineOf(source.addressed);
  return is_addressed ? source.addressed
                      : registry_.KnownInstance(answer.engine);
}

milliseconds EngineNoticeRecorder::SpreadOf(const fleet::InstanceId& instance,
                                            milliseconds rest) const {
  const milliseconds range = std::min(rest / kSpreadDivisor, kMaxSpread);
  if (range <= milliseconds(0)) return milliseconds(0);
  const auto steps = static_cast<std::uint64_t>(range.count());
  return milliseconds(core::HashOf(entry_ + instance.value()) % steps);
}

void EngineNoticeRecorder::Log(core::LogLevel level, core::LogCategory category,
                               std::string_view event,
                               const fleet::InstanceId& instance,
                               const NoticeSource& source,
                               const EngineAnswer& answer) const {
  log_.Event(level, category, event,
             {{"instance", instance},
              {"call", NameOf(source.call)},
              {"request", source.request},
              {"status", answer.status},
              {"rest_ms", answer.notice.rest.value_or(milliseconds(0))},
              {"left_ms", loads_.notices().RestLeft(instance)}});
}

}  // namespace sapphire::serving

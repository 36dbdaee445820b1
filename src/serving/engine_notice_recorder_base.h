/** @file engine_notice_recorder_base.h Records what engines say of themselves
 * in answers. */
#ifndef SAPPHIRE_SERVING_ENGINE_NOTICE_RECORDER_BASE_H_
#define SAPPHIRE_SERVING_ENGINE_NOTICE_RECORDER_BASE_H_

#include <functional>
#include <string>
#include <string_view>

#include "core/log_base.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_registry_base.h"
#include "serving/caller_type.h"
#include "serving/front_metrics_base.h"

namespace sapphire::serving {

enum class EngineCall {
  kRequest,
  kState,  ///< A query for the engine's load.
};

/** The call whose answer brings a notice. */
struct NoticeSource {
  /** The instance that was addressed. */
  fleet::InstanceId addressed;
  EngineCall call = EngineCall::kRequest;
  /** Empty if the call was not for a request. */
  core::RequestId request;
};

/** Applies the notices in the heads of all answers of engines, and logs what
 * they change. Not thread-safe. */
class EngineNoticeRecorder {
 public:
  /**
   * @param entry Unique to this entry.
   * @param on_change Called after a notice has changed which engines accept
   *   requests.
   * @pre All references outlive the recorder.
   */
  EngineNoticeRecorder(std::string entry, fleet::EngineLoads& loads,
                       const fleet::EngineRegistry& registry,
                       std::function<void()> on_change, FrontMetrics& metrics,
                       const core::Logger& log);

  /** Records the notice in an answer that has just been received. */
  void Record(const NoticeSource& source, const EngineAnswer& answer);

 private:
  [[nodiscard]] fleet::InstanceId SpeakerOf(const NoticeSource& source,
                                            const EngineAnswer& answer) const;
  [[nodiscard]] milliseconds SpreadOf(const fleet::InstanceId& instance,
                                      milliseconds rest) const;
  void Log(core::LogLevel level, core::LogCategory category,
           std::string_view event, const fleet::InstanceId& instance,
           const NoticeSource& source, const EngineAnswer& answer) const;

  const std::string entry_;
  fleet::EngineLoads& loads_;
  const fleet::EngineRegistry& registry_;
  const std::function<void()> on_change_;
  FrontMetrics& metrics_;
  const core::Logger& log_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENGINE_NOTICE_RECORDER_BASE_H_

/** @file link_type.cc Converts core::Error to gen::Refusal and back, and names
 * the kinds of messages. */
#include <array>
#include <string_view>

#include "link/link_base.h"

namespace sapphire::link {

LinkOptions WithSmallLimits(LinkOptions options) {
  options.max_frame_bytes = 64 * 1024;
  options.max_incomplete_bytes = 4 * 1024 * 1024;
  options.max_outgoing_bytes = 1024 * 1024;
  options.max_accepted_calls = 256;
  return options;
}

gen::Refusal ToRefusal(const core::Error& error) {
  gen::Refusal refusal;
  refusal.code = core::InfoOf(error.code()).name;
  refusal.detail = error.detail();
  refusal.retry_after_ms =
      error.retry_after() ? error.retry_after()->count() : -1;
  refusal.not_run = error.outcome() == core::Outcome::kNotRun;
  return refusal;
}

core::Error FromRefusal(const gen::Refusal& refusal) {
  std::optional<std::chrono::milliseconds> retry_after;
  if (refusal.retry_after_ms >= 0) {
    retry_after = std::chrono::milliseconds(refusal.retry_after_ms);
  }
  const core::Error error(core::CodeNamed(refusal.code), refusal.detail,
                          retry_after);
  return error.WithOutcome(refusal.not_run ? core::Outcome::kNotRun
                                           : core::Outcome::kUnknown);
}

std::string KindOf(const gen::Message& message) {
  const auto& set = message.__isset;
  struct Row {
    bool is_set;
    std::string_view name;
  };
  const std::array rows = {
      Row{set.hello, "hello"},
      Row{set.heartbeat, "heartbeat"},
      Row{set.credit, "credit"},
      Row{set.cancel, "cancel"},
      Row{set.refusal, "refusal"},
      Row{set.place, "place"},
      Row{set.placed, "placed"},
      Row{set.place_done, "place_done"},
      Row{set.run, "run"},
      Row{set.run_head, "run_head"},
      Row{set.chunk, "chunk"},
      Row{set.run_end, "run_end"},
      Row{set.void_attempt, "void_attempt"},
      Row{set.attempt_state, "attempt_state"},
      Row{set.ensure_model, "ensure_model"},
      Row{set.model_ready, "model_ready"},
      Row{set.subscribe, "subscribe"},
      Row{set.endpoint_report, "endpoint_report"},
      Row{set.drain, "drain"},
      Row{set.drain_state, "drain_state"},
      Row{set.config_pull, "config_pull"},
      Row{set.config_parts, "config_parts"},
      Row{set.release_engine, "release_engine"},
      Row{set.engine_released, "engine_released"},
  };
  for (const Row& row : rows) {
    if (row.is_set) return std::string(row.name);
  }
  return "empty";
}

VersionHooks NoVersions() {
  VersionHooks hooks;
  hooks.current = [] { return std::int64_t{0}; };
  hooks.on_newer_version = [](const std::shared_ptr<Link>&, std::int64_t) {};
  return hooks;
}

}  // namespace sapphire::link

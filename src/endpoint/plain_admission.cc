/** @file plain_admission.cc Admits requests at a plain service. */
#include <chrono>
#include <utility>

#include "core/error_type.h"
#include "endpoint/plain_admission_base.h"

namespace sapphire::endpoint {

using core::Error;
using core::ErrorCode;

namespace {
constexpr std::chrono::milliseconds kBusyRetryAfter{500};
constexpr std::chrono::milliseconds kStartRetryAfter{1000};
}  // namespace

PlainAdmission::PlainAdmission(core::ServiceId service,
                               contract::ConfigHolder& config,
                               std::shared_ptr<core::Signal> changed)
    : service_(std::move(service)),
      config_(config),
      changed_(std::move(changed)) {}

int PlainAdmission::MaxConcurrent() const {
  const auto config = config_.Current();
  if (!config) return 0;
  const auto it = config->intent.services.find(service_);
  return it == config->intent.services.end() ? 0 : it->second.max_concurrent;
}

core::Task<RunSlot> PlainAdmission::Admit(const gen::Run& run,
                                          core::SteadyTime /*deadline*/) {
  if (!config_.Current()) {
    throw Error(ErrorCode::kNotConfigured, "", kStartRetryAfter);
  }
  // A link address may be reassigned to another VM, so a request for another
  // service can arrive here and must be refused.
  if (run.service_id != service_.value()) {
    throw Error(
        ErrorCode::kNoEndpoint,
        "this endpoint serves " + service_.value() + ", not " + run.service_id);
  }
  const int most = MaxConcurrent();
  {
    const std::lock_guard lock(state_->mutex);
    if (state_->leaving) throw Error(ErrorCode::kLeaving);
    if (state_->running >= most) {
      throw Error(ErrorCode::kQueueFull, service_.value(), kBusyRetryAfter);
    }
    ++state_->running;
  }
  changed_->Notify();
  co_return RunSlot(nullptr, [state = state_, changed = changed_](void*) {
    {
      const std::lock_guard lock(state->mutex);
      --state->running;
    }
    changed->Notify();
  });
}

void PlainAdmission::Leave() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->leaving = true;
  }
  changed_->Notify();
}

void PlainAdmission::Describe(gen::EndpointReport& report) const {
  report.max_running = MaxConcurrent();
  report.engine_up = true;
  const std::lock_guard lock(state_->mutex);
  report.running = state_->running;
}

}  // namespace sapphire::endpoint

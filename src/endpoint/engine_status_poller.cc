/** @file engine_status_poller.cc Polls the engine's status. */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "endpoint/engine_status_poller_base.h"

namespace sapphire::endpoint {

using core::LogCategory;
using core::LogLevel;
using core::Task;

namespace {
/** Shortest pause between two reads, even if a caller waits for one. */
constexpr std::chrono::milliseconds kShortestPause{10};
}  // namespace

EngineFollower::EngineFollower(external::Engine& engine,
                               std::chrono::milliseconds interval,
                               const core::Logger& log)
    : engine_(engine), interval_(interval), log_(log) {}

void EngineFollower::Listen(Marker marker, Listener listener) {
  marker_ = std::move(marker);
  listener_ = std::move(listener);
}

void EngineFollower::Start(const core::Executor& executor) {
  core::Spawn(executor, log_, "engine_follower", [this] { return Follow(); });
}

void EngineFollower::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  asked_.Notify();
}

EngineFollower::StatusPtr EngineFollower::Latest() const {
  const std::lock_guard lock(mutex_);
  return latest_;
}

bool EngineFollower::up() const {
  const std::lock_guard lock(mutex_);
  return up_;
}

Task<> EngineFollower::Follow() {
  while (true) {
    const auto asked = asked_.epoch();
    co_await ReadOnce();
    {
      const std::lock_guard lock(mutex_);
      if (stopped_) co_return;
    }
    co_await core::SleepFor(std::min(kShortestPause, interval_));
    co_await asked_.Wait(asked, interval_);
  }
}

Task<> EngineFollower::ReadOnce() {
  std::uint64_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    number = ++begun_;
  }
  const std::uint64_t mark = marker_ ? marker_() : 0;
  StatusPtr status;
  try {
    status = std::make_shared<const external::EngineStatus>(
        co_await engine_.Status());
  } catch (const core::Error&) {
    // Note below logs it.
  }
  Note(status, number);
  if (status && listener_) listener_(*status, mark);
  answered_.Notify();
}

void EngineFollower::Note(StatusPtr status, std::uint64_t number) {
  bool turned = false;
  bool restarted = false;
  {
    const std::lock_guard lock(mutex_);
    turned = up_ != (status != nullptr);
    up_ = status != nullptr;
    if (status) {
      restarted = latest_ && latest_->incarnation != status->incarnation;
      latest_ = status;
      seen_ = number;
    }
  }
  if (turned) {
    log_.Event(LogLevel::kInfo, LogCategory::kPlatform,
               status ? "engine_up" : "engine_down");
  }
  if (restarted) {
    log_.Event(LogLevel::kWarning, LogCategory::kFault, "engine_restarted",
               {{"incarnation", status->incarnation}});
  }
  if (turned || restarted) changed_.Notify();
}

Task<EngineFollower::StatusPtr> EngineFollower::Fresh(
    std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  std::uint64_t before = 0;
  {
    const std::lock_guard lock(mutex_);
    before = begun_;
  }
  asked_.Notify();
  while (true) {
    const auto epoch = answered_.epoch();
    {
      const std::lock_guard lock(mutex_);
      if (seen_ > before) co_return latest_;
      if (stopped_) co_return nullptr;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    if (left.count() <= 0) co_return nullptr;
    co_await answered_.Wait(epoch, left);
  }
}

}  // namespace sapphire::endpoint

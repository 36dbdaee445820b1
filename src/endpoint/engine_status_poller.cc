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
constexpr std::chrono::milliseconds kMinPause{10};
}  // namespace

EngineStatusPoller::EngineStatusPoller(external::Engine& engine,
                                       std::chrono::milliseconds interval,
                                       const core::Logger& log)
    : engine_(engine), interval_(interval), log_(log) {}

void EngineStatusPoller::Listen(SequenceSource sequence_source,
                                Listener listener) {
  sequence_source_ = std::move(sequence_source);
  listener_ = std::move(listener);
}

void EngineStatusPoller::Start(const core::Executor& executor) {
  core::Spawn(executor, log_, "engine_follower",
              [this] { return PollStatus(); });
}

void EngineStatusPoller::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  read_requested_.Notify();
}

EngineStatusPoller::StatusPtr EngineStatusPoller::Latest() const {
  const std::lock_guard lock(mutex_);
  return latest_;
}

bool EngineStatusPoller::up() const {
  const std::lock_guard lock(mutex_);
  return up_;
}

Task<> EngineStatusPoller::PollStatus() {
  while (true) {
    const auto request_epoch = read_requested_.epoch();
    co_await ReadOnce();
    {
      const std::lock_guard lock(mutex_);
      if (stopped_) co_return;
    }
    co_await core::SleepFor(std::min(kMinPause, interval_));
    co_await read_requested_.Wait(request_epoch, interval_);
  }
}

Task<> EngineStatusPoller::ReadOnce() {
  std::uint64_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    number = ++reads_started_;
  }
  const std::uint64_t sequence = sequence_source_ ? sequence_source_() : 0;
  StatusPtr status;
  try {
    status = std::make_shared<const external::EngineStatus>(
        co_await engine_.Status());
  } catch (const core::Error&) {
    // StoreStatus below logs it.
  }
  StoreStatus(status, number);
  if (status && listener_) listener_(*status, sequence);
  read_done_.Notify();
}

void EngineStatusPoller::StoreStatus(StatusPtr status, std::uint64_t number) {
  bool up_changed = false;
  bool restarted = false;
  {
    const std::lock_guard lock(mutex_);
    up_changed = up_ != (status != nullptr);
    up_ = status != nullptr;
    if (status) {
      restarted = latest_ && latest_->incarnation != status->incarnation;
      latest_ = status;
      latest_read_ = number;
    }
  }
  if (up_changed) {
    log_.Event(LogLevel::kInfo, LogCategory::kPlatform,
               status ? "engine_up" : "engine_down");
  }
  if (restarted) {
    log_.Event(LogLevel::kWarning, LogCategory::kFault, "engine_restarted",
               {{"incarnation", status->incarnation}});
  }
  if (up_changed || restarted) changed_.Notify();
}

Task<EngineStatusPoller::StatusPtr> EngineStatusPoller::WaitForNewStatus(
    std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  std::uint64_t before = 0;
  {
    const std::lock_guard lock(mutex_);
    before = reads_started_;
  }
  read_requested_.Notify();
  while (true) {
    const auto epoch = read_done_.epoch();
    {
      const std::lock_guard lock(mutex_);
      if (latest_read_ > before) co_return latest_;
      if (stopped_) co_return nullptr;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    if (left.count() <= 0) co_return nullptr;
    co_await read_done_.Wait(epoch, left);
  }
}

}  // namespace sapphire::endpoint

/** @file recording.cc Records an answer and replays it to its followers. */
#include <utility>

#include "entry/attempt_func.h"
#include "entry/recording_base.h"

namespace sapphire::entry {

using core::Task;

Task<> Recording::Head(gen::RunHead head) {
  {
    const std::lock_guard lock(mutex_);
    head_ = std::move(head);
  }
  changed_.Notify();
  co_return;
}

Task<> Recording::Part(std::string data) {
  {
    const std::lock_guard lock(mutex_);
    parts_.push_back(std::move(data));
  }
  changed_.Notify();
  co_return;
}

Task<> Recording::End() {
  {
    const std::lock_guard lock(mutex_);
    complete_ = true;
  }
  changed_.Notify();
  co_return;
}

bool Recording::started() const {
  const std::lock_guard lock(mutex_);
  return head_.has_value();
}

void Recording::Fail(core::Error error) {
  {
    const std::lock_guard lock(mutex_);
    if (complete_ || error_) return;
    error_ = std::move(error);
  }
  changed_.Notify();
}

Task<> Recording::Follow(AnswerSink& sink, core::SteadyTime deadline,
                         const core::Clock& clock) {
  bool head_passed = false;
  std::size_t passed = 0;
  while (true) {
    const std::uint64_t seen = changed_.epoch();
    std::optional<gen::RunHead> head;
    std::optional<std::string> part;
    bool whole = false;
    std::optional<core::Error> error;
    {
      const std::lock_guard lock(mutex_);
      if (!head_passed) head = head_;
      const bool more = passed < parts_.size();
      if (!head && more) part = parts_[passed];
      whole = !head && !more && complete_;
      if (!head && !more) error = error_;
    }
    if (head) {
      head_passed = true;
      co_await sink.Head(std::move(*head));
    } else if (part) {
      ++passed;
      co_await sink.Part(std::move(*part));
    } else if (whole) {
      co_await sink.End();
      co_return;
    } else if (error) {
      throw core::Error(*error);
    } else if (Remaining(clock, deadline) == core::Millis::zero()) {
      throw core::Error(core::ErrorCode::kTimedOut, "its time passed");
    } else {
      co_await changed_.Wait(seen, Remaining(clock, deadline));
    }
  }
}

std::optional<StoredAnswer> Recording::answer() const {
  const std::lock_guard lock(mutex_);
  if (!complete_ || !head_) return std::nullopt;
  StoredAnswer answer{*head_, {}};
  for (const std::string& part : parts_) answer.body += part;
  return answer;
}

bool Recording::ended_not_run() const {
  const std::lock_guard lock(mutex_);
  return error_ && error_->outcome() == core::Outcome::kNotRun;
}

}  // namespace sapphire::entry

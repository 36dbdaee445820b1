/** @file call.cc State and flow control of one call on a link. */
#include <utility>

#include "core/clock_base.h"
#include "link/call_base.h"

namespace sapphire::link {

using core::Error;
using core::ErrorCode;
using core::Task;

namespace {

/** Upper bound of one wait for credit; credit or a failure ends it earlier. */
constexpr std::chrono::milliseconds kSendRecheck{60'000};

gen::Message CancelMessage() {
  gen::Message message;
  message.__set_cancel(gen::Cancel());
  return message;
}

gen::Message CreditMessage(int messages) {
  gen::Credit credit;
  credit.messages = messages;
  gen::Message message;
  message.__set_credit(credit);
  return message;
}

}  // namespace

CallState::CallState(CallKey key, std::shared_ptr<FrameSink> sink, int window)
    : key_(key), sink_(std::move(sink)), window_(window), credit_(window) {}

Task<> CallState::Send(gen::Message message) {
  while (true) {
    const std::uint64_t seen = changed_.epoch();
    {
      const std::lock_guard lock(mutex_);
      if (failure_) throw Error(*failure_);
      if (credit_ > 0) {
        --credit_;
        break;
      }
    }
    co_await changed_.Wait(seen, kSendRecheck);
  }
  sink_->Push(key_, std::move(message));
}

Task<gen::Message> CallState::Receive(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (true) {
    const std::uint64_t seen = changed_.epoch();
    std::optional<gen::Message> next;
    int grant = 0;
    {
      const std::lock_guard lock(mutex_);
      if (!inbox_.empty()) {
        next = std::move(inbox_.front());
        inbox_.pop_front();
        grant = failure_ ? 0 : CountConsumed();
      } else if (failure_) {
        throw Error(*failure_);
      }
    }
    if (grant > 0) sink_->Push(key_, CreditMessage(grant));
    if (next && next->__isset.refusal) throw FromRefusal(next->refusal);
    if (next) co_return std::move(*next);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    if (left <= std::chrono::milliseconds::zero()) {
      throw Error(ErrorCode::kTimedOut, "no answer on the link in time");
    }
    co_await changed_.Wait(seen, left);
  }
}

int CallState::CountConsumed() {
  ++consumed_;
  if (consumed_ < window_ / 2) return 0;
  return std::exchange(consumed_, 0);
}

void CallState::End() {
  {
    const std::lock_guard lock(mutex_);
    if (failure_) return;
    failure_.emplace(ErrorCode::kCancelled, "call ended here");
  }
  sink_->Push(key_, CancelMessage());
  sink_->RemoveCall(key_);
  changed_.Notify();
}

void CallState::EndWith(gen::Message message) {
  {
    const std::lock_guard lock(mutex_);
    if (failure_) return;
  }
  sink_->Push(key_, std::move(message));
  End();
}

bool CallState::ended() const {
  const std::lock_guard lock(mutex_);
  return failure_.has_value();
}

void CallState::Deliver(gen::Message message) {
  if (message.__isset.cancel) {
    Fail(Error(ErrorCode::kCancelled, "the peer ended the call"));
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    if (failure_) return;
    if (message.__isset.credit) {
      credit_ += message.credit.messages;
    } else {
      inbox_.push_back(std::move(message));
    }
  }
  changed_.Notify();
}

void CallState::Fail(const Error& error) {
  {
    const std::lock_guard lock(mutex_);
    if (failure_) return;
    failure_ = error;
  }
  sink_->RemoveCall(key_);
  changed_.Notify();
}

}  // namespace sapphire::link

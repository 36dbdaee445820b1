/** @file call_base.h The inside of one call on one link. */
#ifndef SAPPHIRE_LINK_CALL_BASE_H_
#define SAPPHIRE_LINK_CALL_BASE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <tuple>

#include "core/signal_base.h"
#include "link/link_base.h"

namespace sapphire::link {

/** Names a call on its link: both sides count their own calls from 1. */
struct CallKey {
  std::int64_t id = 0;
  /** True if this side opened it. */
  bool opened_here = false;

  friend bool operator<(const CallKey& a, const CallKey& b) {
    return std::tie(a.id, a.opened_here) < std::tie(b.id, b.opened_here);
  }
};

/** What a call needs of its link. */
class FrameSink {
 public:
  virtual ~FrameSink() = default;
  /** Queues a frame for sending; lost if the link is. Never blocks. */
  virtual void Push(const CallKey& key, gen::Message message) = 0;
  /** Forgets a call: later frames of it are dropped. */
  virtual void Forget(const CallKey& key) = 0;
  [[nodiscard]] virtual PeerInfo peer() const = 0;
};

/**
 * State both the user's side (CallHandle) and the link's reader share.
 * Guard against a peer that floods: a sender may have `window` messages
 * outstanding; the receiver grants more as its user consumes them, so the
 * inbox never holds more than the window.
 */
class CallState {
 public:
  CallState(CallKey key, std::shared_ptr<FrameSink> sink, int window);

  /** User's side; see Call. */
  core::Task<> Send(gen::Message message);
  core::Task<gen::Message> Receive(std::chrono::milliseconds timeout);
  /** Ends the call and tells the peer, once. */
  void End();
  /** Sends a last message past the window, then ends. */
  void EndWith(gen::Message message);
  [[nodiscard]] bool ended() const;
  [[nodiscard]] PeerInfo peer() const { return sink_->peer(); }

  /** Link's side: a frame of this call has come. */
  void Deliver(gen::Message message);
  /** Link's side: nothing will come any more. */
  void Fail(const core::Error& error);

 private:
  /** @return The credit to grant after one more message was consumed, or 0. */
  int CountConsumed();

  const CallKey key_;
  const std::shared_ptr<FrameSink> sink_;
  const int window_;
  mutable std::mutex mutex_;
  core::Signal changed_;
  std::deque<gen::Message> inbox_;
  int credit_;
  int consumed_ = 0;
  /** Set once nothing can be sent or will come. */
  std::optional<core::Error> failure_;
};

/** What users hold: dropping the last one ends the call. */
class CallHandle final : public Call {
 public:
  explicit CallHandle(std::shared_ptr<CallState> state)
      : state_(std::move(state)) {}
  ~CallHandle() override { state_->End(); }

  CallHandle(const CallHandle&) = delete;
  CallHandle& operator=(const CallHandle&) = delete;

  core::Task<> Send(gen::Message message) override {
    return state_->Send(std::move(message));
  }
  core::Task<gen::Message> Receive(std::chrono::milliseconds timeout) override {
    return state_->Receive(timeout);
  }
  void Cancel() override { state_->End(); }
  [[nodiscard]] bool ended() const override { return state_->ended(); }
  [[nodiscard]] PeerInfo peer() const override { return state_->peer(); }

 private:
  const std::shared_ptr<CallState> state_;
};

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_CALL_BASE_H_

/** @file call_base.h State and flow control of one call on a link. */
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

/** Identifies a call on its link: each side numbers the calls it opens from 1.
 */
struct CallKey {
  std::int64_t id = 0;
  /** True if this side opened it. */
  bool opened_here = false;

  friend bool operator<(const CallKey& a, const CallKey& b) {
    return std::tie(a.id, a.opened_here) < std::tie(b.id, b.opened_here);
  }
};

/** The part of a link that a call uses. */
class FrameSink {
 public:
  virtual ~FrameSink() = default;
  /** Queues a frame for sending; drops it if the link is lost. Never blocks. */
  virtual void Push(const CallKey& key, gen::Message message) = 0;
  /** Removes a call; frames that arrive for it later are dropped. */
  virtual void RemoveCall(const CallKey& key) = 0;
  [[nodiscard]] virtual PeerInfo peer() const = 0;
};

/**
 * State of a call, shared by its user (through CallHandle) and the link's
 * reader. Flow control protects against a peer that sends too fast: a sender
 * may have `window` messages outstanding, and the receiver grants more as its
 * user consumes them, so the inbox never holds more than the window.
 */
class CallState {
 public:
  CallState(CallKey key, std::shared_ptr<FrameSink> sink, int window);

  /** For the user of the call; see Call. */
  core::Task<> Send(gen::Message message);
  core::Task<gen::Message> Receive(std::chrono::milliseconds timeout);
  /** Ends the call and sends Cancel to the peer; further calls do nothing. */
  void End();
  /** Sends a last message regardless of credit, then ends the call. */
  void EndWith(gen::Message message);
  [[nodiscard]] bool ended() const;
  [[nodiscard]] PeerInfo peer() const { return sink_->peer(); }

  /** For the link: handles a message that arrived for this call. */
  void Deliver(gen::Message message);
  /** For the link: ends the call with `error`. */
  void Fail(const core::Error& error);

 private:
  /** Counts one consumed message. @return The credit to grant now, or 0. */
  int CountConsumed();

  const CallKey key_;
  const std::shared_ptr<FrameSink> sink_;
  const int window_;
  mutable std::mutex mutex_;
  core::Signal changed_;
  std::deque<gen::Message> inbox_;
  int credit_;
  int consumed_ = 0;
  /** Why the call has ended; unset while it is open. */
  std::optional<core::Error> failure_;
};

/** The Call that users get; destroying it ends the call. */
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

/** @file notifier.cc Wakes coroutines that wait for a change. */
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <utility>
#include <vector>

#include "standin/notifier_base.h"

namespace sapphire::standin {

namespace asio = boost::asio;

using TimerPtr = std::shared_ptr<asio::steady_timer>;

struct Notifier::State {
  mutable std::mutex mutex;
  std::int64_t changes = 0;
  std::vector<TimerPtr> waiting;

  /** @return False if a change has come already. */
  bool Join(const TimerPtr& timer, std::int64_t seen) {
    const std::lock_guard lock(mutex);
    if (changes > seen) return false;
    waiting.push_back(timer);
    return true;
  }

  void Leave(const TimerPtr& timer) {
    const std::lock_guard lock(mutex);
    std::erase(waiting, timer);
  }
};

Notifier::Notifier() : state_(std::make_unique<State>()) {}

Notifier::~Notifier() = default;

std::int64_t Notifier::changes() const {
  const std::lock_guard lock(state_->mutex);
  return state_->changes;
}

void Notifier::Notify() {
  std::vector<TimerPtr> woken;
  {
    const std::lock_guard lock(state_->mutex);
    ++state_->changes;
    woken.swap(state_->waiting);
  }
  for (const TimerPtr& timer : woken) {
    // A timer may only be touched on its waiter's strand, which runs this
    // after the waiter has begun to wait.
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

core::Task<> Notifier::Wait(std::int64_t seen,
                            std::chrono::milliseconds timeout) {
  const auto timer = std::make_shared<asio::steady_timer>(
      co_await asio::this_coro::executor, timeout);
  if (!state_->Join(timer, seen)) co_return;
  boost::system::error_code ec;
  co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
  state_->Leave(timer);
}

}  // namespace sapphire::standin

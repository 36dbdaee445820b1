/** @file signal.cc A condition variable for coroutines. */
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/signal_base.h"

namespace sapphire::core {

namespace asio = boost::asio;

/** One suspended coroutine; its timer is only accessed on its own strand. */
struct Signal::Waiter {
  explicit Waiter(const Executor& executor)
      : strand(executor), timer(executor) {}

  Executor strand;
  asio::steady_timer timer;
};

std::uint64_t Signal::epoch() const {
  const std::lock_guard lock(mutex_);
  return epoch_;
}

void Signal::Notify() {
  std::vector<std::shared_ptr<Waiter>> woken;
  {
    const std::lock_guard lock(mutex_);
    ++epoch_;
    woken.swap(waiters_);
  }
  for (const auto& waiter : woken) {
    asio::post(waiter->strand, [waiter] { waiter->timer.cancel(); });
  }
}

Task<bool> Signal::Wait(std::uint64_t seen, std::chrono::milliseconds timeout) {
  if (timeout <= std::chrono::milliseconds::zero()) co_return epoch() != seen;
  auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
  waiter->timer.expires_after(timeout);
  {
    const std::lock_guard lock(mutex_);
    if (epoch_ != seen) co_return true;
    waiters_.push_back(waiter);
  }
  // This coroutine occupies its strand until it suspends, so the cancel that
  // Notify posts to the strand can't run before the wait has started.
  co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  const std::lock_guard lock(mutex_);
  std::erase(waiters_, waiter);
  co_return epoch_ != seen;
}

}  // namespace sapphire::core

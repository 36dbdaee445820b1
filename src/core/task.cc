/** @file task.cc Sleeping in coroutines and starting them. */
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <string>
#include <utility>

#include "core/task_func.h"

namespace sapphire::core {

namespace asio = boost::asio;

Task<> SleepFor(std::chrono::milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

namespace {

Task<> RunLogged(const Logger& log, std::string name,
                 std::function<Task<>()> task) {
  try {
    co_await task();
  } catch (const std::exception& e) {
    log.Event(LogLevel::kWarning, LogCategory::kProcess, "task_failed",
              {{"task", name}, {"error", e.what()}});
  }
}

}  // namespace

void Spawn(const Executor& executor, const Logger& log, std::string_view name,
           std::function<Task<>()> task) {
  // Posted because co_spawn may run the first step inline, under a lock that
  // the caller holds.
  const auto strand = asio::make_strand(executor);
  asio::post(strand, [strand, &log, name = std::string(name),
                      task = std::move(task)]() mutable {
    asio::co_spawn(strand, RunLogged(log, std::move(name), std::move(task)),
                   asio::detached);
  });
}

}  // namespace sapphire::core

/** @file test_runner_base.h Runs coroutines to completion in tests. */
#ifndef SAPPHIRE_EXTERNAL_TEST_RUNNER_BASE_H_
#define SAPPHIRE_EXTERNAL_TEST_RUNNER_BASE_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <optional>
#include <thread>
#include <utility>

#include "core/error_type.h"
#include "core/task_type.h"

namespace sapphire::external {

/** Runs coroutines on one thread of its own; tests wait for their completion.
 */
class TestRunner {
 public:
  TestRunner() : work_(io_.get_executor()), thread_([this] { io_.run(); }) {}
  ~TestRunner() {
    io_.stop();
    thread_.join();
  }

  TestRunner(const TestRunner&) = delete;
  TestRunner& operator=(const TestRunner&) = delete;

  core::Executor executor() { return io_.get_executor(); }

  /** Starts a coroutine on a new strand. */
  template <typename T>
  std::future<T> Begin(core::Task<T> task) {
    return boost::asio::co_spawn(boost::asio::make_strand(io_), std::move(task),
                                 boost::asio::use_future);
  }

  /** Runs a coroutine to completion. @return Its result; throws what it throws.
   */
  template <typename T>
  T Run(core::Task<T> task) {
    return Begin(std::move(task)).get();
  }

  /** Runs a coroutine to completion. @return The code of the core::Error that
   * it throws; nothing if it succeeds. */
  template <typename T>
  std::optional<core::ErrorCode> FailureOf(core::Task<T> task) {
    try {
      Run(std::move(task));
    } catch (const core::Error& e) {
      return e.code();
    }
    return std::nullopt;
  }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_TEST_RUNNER_BASE_H_

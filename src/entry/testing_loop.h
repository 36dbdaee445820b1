/** @file testing_loop.h Runs coroutines to completion in tests. */
#ifndef SAPPHIRE_ENTRY_TESTING_LOOP_H_
#define SAPPHIRE_ENTRY_TESTING_LOOP_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <optional>
#include <utility>

#include "core/task_type.h"

namespace sapphire::entry::testing {

/** The outcome of one coroutine. */
template <typename T>
struct Outcome {
  std::optional<T> value;
  std::exception_ptr failure;
};

/** Starts a coroutine that stores its outcome when it ends. */
template <typename T>
void StartTask(boost::asio::io_context& io, core::Task<T> task,
               Outcome<T>& outcome) {
  boost::asio::co_spawn(io, std::move(task),
                        [&outcome](const std::exception_ptr& failure, T value) {
                          outcome.failure = failure;
                          if (!failure) outcome.value = std::move(value);
                        });
}

/** Runs a coroutine to completion. @return Its value. @throws What it threw. */
template <typename T>
T RunTask(boost::asio::io_context& io, core::Task<T> task) {
  Outcome<T> outcome;
  StartTask(io, std::move(task), outcome);
  io.restart();
  while (!outcome.value && !outcome.failure) io.run_one();
  if (outcome.failure) std::rethrow_exception(outcome.failure);
  return std::move(*outcome.value);
}

/** Runs the loop until `done` returns true or a step limit that no test needs
 * is reached. @return The last result of `done`. */
inline bool RunUntil(boost::asio::io_context& io,
                     const std::function<bool()>& done) {
  constexpr int kSteps = 20'000;
  io.restart();
  for (int i = 0; i < kSteps && !done(); ++i) io.run_one();
  return done();
}

}  // namespace sapphire::entry::testing

#endif  // SAPPHIRE_ENTRY_TESTING_LOOP_H_

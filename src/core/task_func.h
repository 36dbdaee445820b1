/** @file task_func.h Sleeping in coroutines and starting them. */
#ifndef SAPPHIRE_CORE_TASK_FUNC_H_
#define SAPPHIRE_CORE_TASK_FUNC_H_

#include <chrono>
#include <functional>

#include "core/log_base.h"
#include "core/task_type.h"

namespace sapphire::core {

/** Suspends the calling coroutine for `duration` of real time. */
Task<> SleepFor(std::chrono::milliseconds duration);

/**
 * Starts a coroutine on its own strand, never inline. An exception that it
 * throws is logged as event `task_failed` with the task's name and never ends
 * the process.
 */
void Spawn(const Executor& executor, const Logger& log, std::string_view name,
           std::function<Task<>()> task);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_TASK_FUNC_H_

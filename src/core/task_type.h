/** @file task_type.h Short names for common Asio types. */
#ifndef SAPPHIRE_CORE_TASK_TYPE_H_
#define SAPPHIRE_CORE_TASK_TYPE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace sapphire::core {

/** A coroutine that returns a T. */
template <typename T = void>
using Task = boost::asio::awaitable<T>;

using Executor = boost::asio::any_io_executor;

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_TASK_TYPE_H_

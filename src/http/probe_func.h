/** @file probe_func.h Tests whether a server accepts connections. */
#ifndef SAPPHIRE_HTTP_PROBE_FUNC_H_
#define SAPPHIRE_HTTP_PROBE_FUNC_H_

#include <chrono>
#include <string>

#include "core/task_type.h"

namespace sapphire::http {

enum class ProbeResult {
  kAccepted,  ///< The connection was accepted; it is closed again.
  kRefused,   ///< Nothing listens at the address: the process has ended.
  kUnknown,   ///< No answer in time, or another network error.
};

/** Tries to connect. @param address "ip:port". */
core::Task<ProbeResult> Probe(std::string address,
                              std::chrono::milliseconds timeout);

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_PROBE_FUNC_H_

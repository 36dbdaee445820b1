/** @file probe_func.h Asks whether a server takes connections. */
#ifndef SAPPHIRE_HTTP_PROBE_FUNC_H_
#define SAPPHIRE_HTTP_PROBE_FUNC_H_

#include <chrono>
#include <string>

#include "core/task_type.h"

namespace sapphire::http {

enum class ProbeResult {
  kTaken,    ///< A connection was made, and closed again.
  kRefused,  ///< Nobody listens there: the process is gone.
  kUnknown,  ///< No answer in time, or another failure of the network.
};

/** @param address "ip:port". */
core::Task<ProbeResult> Probe(std::string address,
                              std::chrono::milliseconds timeout);

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_PROBE_FUNC_H_

/** @file http_call_base.h Calls to a platform service, their failures typed. */
#ifndef SAPPHIRE_EXTERNAL_HTTP_CALL_BASE_H_
#define SAPPHIRE_EXTERNAL_HTTP_CALL_BASE_H_

#include <chrono>
#include <string>

#include "core/task_type.h"
#include "http/client_base.h"

namespace sapphire::external {

/** One service of the platform, reached over HTTP with JSON bodies. */
class HttpCall {
 public:
  HttpCall(const std::string& address, std::chrono::milliseconds timeout);

  /**
   * Reads, which may be repeated at will.
   * @param wait How much longer than other calls the service may take.
   * @return The body of the answer.
   * @throws core::Error kPlatformUnavailable.
   */
  core::Task<std::string> Read(std::string target,
                               std::chrono::milliseconds wait = {});

  /**
   * Writes, at most once.
   * @return The body of the answer.
   * @throws core::Error kPlatformUnavailable (no effect), or
   *   kPlatformUnknownOutcome.
   */
  core::Task<std::string> Write(std::string target, std::string body);

 private:
  http::Client client_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_HTTP_CALL_BASE_H_

/** @file platform_client_base.h HTTP calls to a platform service, with typed
 * errors.
 */
#ifndef SAPPHIRE_EXTERNAL_PLATFORM_CLIENT_BASE_H_
#define SAPPHIRE_EXTERNAL_PLATFORM_CLIENT_BASE_H_

#include <chrono>
#include <string>

#include "core/task_type.h"
#include "http/client_base.h"

namespace sapphire::external {

/** Client of one platform service that is called over HTTP with JSON bodies. */
class PlatformClient {
 public:
  PlatformClient(const std::string& address, std::chrono::milliseconds timeout);

  /**
   * Sends a GET request; it has no effect, so the caller may repeat it.
   * @param wait Added to the time limit of the call.
   * @return The body of the answer.
   * @throws core::Error kPlatformUnavailable.
   */
  core::Task<std::string> Read(std::string target,
                               std::chrono::milliseconds wait = {});

  /**
   * Sends a POST request, at most once.
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

#endif  // SAPPHIRE_EXTERNAL_PLATFORM_CLIENT_BASE_H_

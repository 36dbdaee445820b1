/** @file platform_client.cc HTTP calls to a platform service, with typed
 * errors. */
#include <utility>

#include "core/error_type.h"
#include "external/platform_client_base.h"

namespace sapphire::external {

namespace {

constexpr int kOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

std::string StatusText(const std::string& target, int status) {
  return target + ": status " + std::to_string(status);
}

/** A write answered by 4xx was refused and had no effect; after any other
 * failed status its effect is unknown. */
core::ErrorCode CodeOfFailedWrite(int status) {
  const bool refused =
      status >= kFirstClientError && status < kFirstServerError;
  return refused ? core::ErrorCode::kPlatformUnavailable
                 : core::ErrorCode::kPlatformUnknownOutcome;
}

}  // namespace

PlatformClient::PlatformClient(const std::string& address,
                               std::chrono::milliseconds timeout)
    : client_(address), timeout_(timeout) {}

core::Task<std::string> PlatformClient::Read(std::string target,
                                             std::chrono::milliseconds wait) {
  http::Request request;
  request.target = target;
  http::Response response;
  try {
    response = co_await client_.Fetch(std::move(request), timeout_ + wait);
  } catch (const http::TransportError& e) {
    throw core::Error(core::ErrorCode::kPlatformUnavailable,
                      target + ": " + e.what());
  }
  if (response.head.status != kOk) {
    throw core::Error(core::ErrorCode::kPlatformUnavailable,
                      StatusText(target, response.head.status));
  }
  co_return std::move(response.body);
}

core::Task<std::string> PlatformClient::Write(std::string target,
                                              std::string body) {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = std::move(body);
  http::Response response;
  try {
    response = co_await client_.Fetch(std::move(request), timeout_);
  } catch (const http::TransportError& e) {
    // The answer may be lost after the write took effect, and a request that
    // timed out may still take effect later. Only a request that was not sent
    // certainly had no effect.
    throw core::Error(e.may_have_run()
                          ? core::ErrorCode::kPlatformUnknownOutcome
                          : core::ErrorCode::kPlatformUnavailable,
                      target + ": " + e.what());
  }
  if (response.head.status != kOk) {
    throw core::Error(CodeOfFailedWrite(response.head.status),
                      StatusText(target, response.head.status));
  }
  co_return std::move(response.body);
}

}  // namespace sapphire::external

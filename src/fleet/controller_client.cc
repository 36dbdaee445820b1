/** @file controller_client.cc Requests model loads from the processes that
 * control the engines. */
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "core/error_type.h"
#include "fleet/controller_client_base.h"

namespace sapphire::fleet {

using core::Error;
using core::ErrorCode;
using std::chrono::milliseconds;

namespace {

/** @return True if the process was not reached, or doesn't control the engine.
 */
bool IsUnreachable(ErrorCode code) {
  return code == ErrorCode::kLinkLost || code == ErrorCode::kNotHolder;
}

}  // namespace

ControllerClient::ControllerClient(ControllerClientOptions options,
                                   EnsureLocal ensure_local,
                                   link::LinkNode& links,
                                   const EngineRegistry& registry,
                                   const EngineHolders& holders,
                                   const core::Clock& clock,
                                   const core::Logger& log)
    : options_(std::move(options)),
      ensure_local_(std::move(ensure_local)),
      links_(links),
      registry_(registry),
      holders_(holders),
      clock_(clock),
      log_(log) {}

core::Task<> ControllerClient::RequestLoad(InstanceId instance,
                                           gen::EnsureModel load_request,
                                           milliseconds timeout) {
  const Target target = TargetOf(instance);
  std::optional<Error> failure;
  try {
    co_await SendRequest(target, std::move(load_request), timeout);
  } catch (const Error& e) {
    failure = e;
  }
  if (failure && IsUnreachable(failure->code())) {
    RecordUnreachable(target, failure->what());
  } else {
    backoffs_.erase(target.engine);
  }
  if (failure) throw Error(*failure);
}

core::Task<> ControllerClient::SendRequest(Target target,
                                           gen::EnsureModel load_request,
                                           milliseconds timeout) {
  if (target.address == options_.self) {
    co_await ensure_local_(std::move(load_request));
    co_return;
  }
  gen::Message first;
  first.__set_ensure_model(load_request);
  const std::shared_ptr<link::Call> call =
      co_await links_.Open(target.address, std::move(first));
  co_await call->Receive(timeout);
}

/** @return The holder of the engine's lease; if none is known, the endpoint
 * process on the engine's VM. */
ControllerClient::Target ControllerClient::TargetOf(
    const InstanceId& instance) const {
  const EngineEntry* engine = registry_.Find(instance);
  if (engine == nullptr) {
    throw Error(ErrorCode::kNoEndpoint, "the engine is gone");
  }
  const EngineHolder* holder = holders_.Find(engine->address);
  if (holder != nullptr) {
    return {engine->address, holder->address, holder->revision};
  }
  const std::size_t colon = engine->address.rfind(':');
  return {engine->address,
          fmt::format("{}:{}", engine->address.substr(0, colon),
                      options_.endpoint_port),
          0};
}

void ControllerClient::RecordUnreachable(const Target& target,
                                         const std::string& error) {
  const core::SteadyTime now = clock_.Now();
  Backoff& backoff = backoffs_[target.engine];
  const bool again =
      backoff.fence == target.fence && backoff.duration > milliseconds(0);
  // Sent at the same time as a request whose failure was already recorded.
  if (again && now < backoff.until) return;
  backoff.fence = target.fence;
  backoff.duration = again
                         ? std::min(2 * backoff.duration, options_.max_backoff)
                         : options_.initial_backoff;
  backoff.until = now + backoff.duration;
  log_.Event(core::LogLevel::kInfo, core::LogCategory::kReplica,
             "controller_unreachable",
             {{"engine", target.engine},
              {"address", target.address},
              {"fence", target.fence},
              {"pause_ms", backoff.duration},
              {"error", error}});
}

milliseconds ControllerClient::UnreachableFor(
    const InstanceId& instance) const {
  if (backoffs_.empty()) return milliseconds(0);
  const EngineEntry* engine = registry_.Find(instance);
  if (engine == nullptr) return milliseconds(0);
  const auto it = backoffs_.find(engine->address);
  if (it == backoffs_.end()) return milliseconds(0);
  const EngineHolder* holder = holders_.Find(engine->address);
  const std::int64_t fence = holder == nullptr ? 0 : holder->revision;
  // The backoff was for another holder, so the present one may be contacted.
  if (fence != it->second.fence) return milliseconds(0);
  const auto left =
      std::chrono::ceil<milliseconds>(it->second.until - clock_.Now());
  return std::max(left, milliseconds(0));
}

void ControllerClient::Forget() {
  std::set<std::string> engines;
  for (const auto& [instance, engine] : registry_.engines()) {
    engines.insert(engine.address);
  }
  std::erase_if(backoffs_, [&engines](const auto& it) {
    return !engines.contains(it.first);
  });
}

}  // namespace sapphire::fleet

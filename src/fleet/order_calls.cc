/** @file order_calls.cc Requests model loads from the processes that
 * control the engines. */
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "core/error_type.h"
#include "fleet/order_calls_base.h"

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

OrderCalls::OrderCalls(OrderCallOptions options, EnsureHere ensure_here,
                       link::LinkNode& links, const EngineRegistry& registry,
                       const EngineHolders& holders, const core::Clock& clock,
                       const core::Logger& log)
    : options_(std::move(options)),
      ensure_here_(std::move(ensure_here)),
      links_(links),
      registry_(registry),
      holders_(holders),
      clock_(clock),
      log_(log) {}

core::Task<> OrderCalls::Ensure(InstanceId instance,
                                gen::EnsureModel load_request,
                                milliseconds timeout) {
  const Target target = TargetOf(instance);
  std::optional<Error> failure;
  try {
    co_await Ask(target, std::move(load_request), timeout);
  } catch (const Error& e) {
    failure = e;
  }
  if (failure && IsUnreachable(failure->code())) {
    NoteUnreachable(target, failure->what());
  } else {
    failures_.erase(target.engine);
  }
  if (failure) throw Error(*failure);
}

core::Task<> OrderCalls::Ask(Target target, gen::EnsureModel load_request,
                             milliseconds timeout) {
  if (target.address == options_.self) {
    co_await ensure_here_(std::move(load_request));
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
OrderCalls::Target OrderCalls::TargetOf(const InstanceId& instance) const {
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

void OrderCalls::NoteUnreachable(const Target& target,
                                 const std::string& error) {
  const core::SteadyTime now = clock_.Now();
  Failures& failures = failures_[target.engine];
  const bool again =
      failures.fence == target.fence && failures.pause > milliseconds(0);
  // Sent at the same time as a request whose failure was already recorded.
  if (again && now < failures.until) return;
  failures.fence = target.fence;
  failures.pause = again ? std::min(2 * failures.pause, options_.last_pause)
                         : options_.first_pause;
  failures.until = now + failures.pause;
  log_.Event(core::LogLevel::kInfo, core::LogCategory::kReplica,
             "controller_unreachable",
             {{"engine", target.engine},
              {"address", target.address},
              {"fence", target.fence},
              {"pause_ms", failures.pause},
              {"error", error}});
}

milliseconds OrderCalls::UnreachableFor(const InstanceId& instance) const {
  if (failures_.empty()) return milliseconds(0);
  const EngineEntry* engine = registry_.Find(instance);
  if (engine == nullptr) return milliseconds(0);
  const auto it = failures_.find(engine->address);
  if (it == failures_.end()) return milliseconds(0);
  const EngineHolder* holder = holders_.Find(engine->address);
  const std::int64_t fence = holder == nullptr ? 0 : holder->revision;
  // The failures were those of another holder.
  if (fence != it->second.fence) return milliseconds(0);
  const auto left =
      std::chrono::ceil<milliseconds>(it->second.until - clock_.Now());
  return std::max(left, milliseconds(0));
}

void OrderCalls::Forget() {
  std::set<std::string> engines;
  for (const auto& [instance, engine] : registry_.engines()) {
    engines.insert(engine.address);
  }
  std::erase_if(failures_, [&engines](const auto& it) {
    return !engines.contains(it.first);
  });
}

}  // namespace sapphire::fleet

/** @file engine_loads.cc Tracks the requests that this entry has sent to each
 * engine, and their results. */
#include <algorithm>
#include <cmath>
#include <utility>

#include "core/random_func.h"
#include "fleet/engine_loads_base.h"

namespace sapphire::fleet {

namespace {

/** Weight of the latest result in the failure rate: three failures in a row
 * make a rate of 0.66. */
constexpr double kFailureRateWeight = 0.3;
/** Half-life of the failure rate without new results, so that an engine that
 * got no requests because of its failures is tried again. */
constexpr double kFailureHalfLifeSeconds = 4;
/** An engine that accepted no connection is tried again after this time: a
 * crashed one restarts within seconds. */
constexpr std::chrono::milliseconds kReconnectDelay{1000};
/** Maximum delay until an engine's entry shows a change: engines write their
 * entry about every second, and watchers of the store batch changes for as
 * long. */
constexpr std::chrono::milliseconds kMaxEntryLag{2500};
/** Maximum number of prompt parts kept per engine, at about 100 bytes each. */
constexpr std::size_t kMaxPrefixes = 512;

/** @return The part, and for an adapter also its model, which is used too. */
std::vector<ModelOrAdapter> PartsOf(const ModelOrAdapter& part) {
  if (part.adapter.empty()) return {part};
  return {part, ModelOrAdapter{part.model, core::AdapterId()}};
}

std::uint64_t PrefixKey(const core::ModelId& model, std::uint64_t part) {
  return core::HashOf(model.value(), part);
}

}  // namespace

EngineLoads::EngineLoads(const core::Clock& clock)
    : clock_(clock), limits_(clock), notices_(clock) {}

SendTicket EngineLoads::Begin(const InstanceId& instance,
                              const ModelOrAdapter& part) {
  EngineLoad& load = LoadOf(instance);
  SendTicket ticket{instance, next_number_++};
  const core::SteadyTime now = clock_.Now();
  load.sent[ticket.number] = SentRequest{part, now, false, now};
  for (const ModelOrAdapter& it : PartsOf(part)) {
    load.usage.RecordBegun(it);
    load.usage.AddRunning(it, 1);
  }
  return ticket;
}

void EngineLoads::RecordFirstByte(const SendTicket& ticket) {
  EngineLoad& load = LoadOf(ticket.instance);
  const auto it = load.sent.find(ticket.number);
  if (it != load.sent.end()) it->second.answered = true;
}

void EngineLoads::RecordAnswerPart(const SendTicket& ticket) {
  EngineLoad& load = LoadOf(ticket.instance);
  const auto it = load.sent.find(ticket.number);
  if (it != load.sent.end()) it->second.last_received = clock_.Now();
}

void EngineLoads::End(const SendTicket& ticket, SendResult result) {
  EngineLoad& load = LoadOf(ticket.instance);
  const auto it = load.sent.find(ticket.number);
  if (it == load.sent.end()) return;
  for (const ModelOrAdapter& part : PartsOf(it->second.part)) {
    load.usage.AddRunning(part, -1);
  }
  load.sent.erase(it);
  if (result == SendResult::kAbandoned || result == SendResult::kRefused) {
    return;
  }
  const double failed = result == SendResult::kFailed ? 1.0 : 0.0;
  load.failure_rate = (1 - kFailureRateWeight) * FailureRate(ticket.instance) +
                      kFailureRateWeight * failed;
  load.last_result = clock_.Now();
}

int EngineLoads::Running(const InstanceId& instance) const {
  const auto it = loads_.find(instance);
  return it == loads_.end() ? 0 : static_cast<int>(it->second.sent.size());
}

double EngineLoads::FailureRate(const InstanceId& instance) const {
  const auto it = loads_.find(instance);
  if (it == loads_.end()) return 0;
  const std::chrono::duration<double> age =
      clock_.Now() - it->second.last_result;
  return it->second.failure_rate *
         std::exp2(-age.count() / kFailureHalfLifeSeconds);
}

std::chrono::milliseconds EngineLoads::LongestSilence(
    const InstanceId& instance) const {
  const auto it = loads_.find(instance);
  const core::SteadyTime now = clock_.Now();
  core::SteadyTime asked = now;
  std::optional<core::SteadyTime> last_received;
  if (it == loads_.end()) return std::chrono::milliseconds(0);
  for (const auto& [number, sent] : it->second.sent) {
    if (sent.answered) {
      last_received = std::max(last_received.value_or(sent.last_received),
                               sent.last_received);
    } else {
      asked = std::min(asked, sent.at);
    }
  }
  const core::SteadyTime silent_since =
      std::min(asked, last_received.value_or(now));
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               silent_since);
}

void EngineLoads::MarkUnreachable(const InstanceId& instance) {
  LoadOf(instance).unreachable_at = clock_.Now();
}

bool EngineLoads::IsUnreachable(const InstanceId& instance) const {
  const auto it = loads_.find(instance);
  if (it == loads_.end() || !it->second.unreachable_at) return false;
  return clock_.Now() - *it->second.unreachable_at < kReconnectDelay;
}

void EngineLoads::MarkLacking(const InstanceId& instance,
                              const ModelOrAdapter& part) {
  EngineLoad& load = LoadOf(instance);
  load.lacking[part] = clock_.Now();
  load.loaded.erase(part);
}

void EngineLoads::NoteLoaded(const InstanceId& instance,
                             const ModelOrAdapter& part) {
  EngineLoad& load = LoadOf(instance);
  for (const ModelOrAdapter& it : PartsOf(part)) {
    load.loaded[it] = clock_.Now();
    load.lacking.erase(it);
  }
}

bool EngineLoads::HasLoaded(const InstanceId& instance,
                            const ModelOrAdapter& part) const {
  const auto it = loads_.find(instance);
  if (it == loads_.end()) return false;
  const auto loaded = it->second.loaded.find(part);
  if (loaded == it->second.loaded.end()) return false;
  return clock_.Now() - loaded->second < kMaxEntryLag;
}

bool EngineLoads::Lacks(const InstanceId& instance,
                        const ModelOrAdapter& part) const {
  const auto it = loads_.find(instance);
  if (it == loads_.end()) return false;
  const auto lacking = it->second.lacking.find(part);
  if (lacking == it->second.lacking.end()) return false;
  return clock_.Now() - lacking->second < kMaxEntryLag;
}

void EngineLoads::NotePrefix(const InstanceId& instance,
                             const core::ModelId& model,
                             const std::vector<std::uint64_t>& part_hashes) {
  EngineLoad& load = LoadOf(instance);
  for (const std::uint64_t part : part_hashes) {
    const std::uint64_t key = PrefixKey(model, part);
    if (!load.prefixes.contains(key)) load.prefix_order.push_back(key);
    load.prefixes[key] = clock_.Now();
  }
  while (load.prefix_order.size() > kMaxPrefixes) {
    load.prefixes.erase(load.prefix_order.front());
    load.prefix_order.pop_front();
  }
}

std::size_t EngineLoads::KnownPrefixParts(
    const InstanceId& instance, const core::ModelId& model,
    const std::vector<std::uint64_t>& part_hashes) const {
  const auto it = loads_.find(instance);
  if (it == loads_.end()) return 0;
  const auto unknown =
      std::ranges::find_if(part_hashes, [&](std::uint64_t part) {
        return !it->second.prefixes.contains(PrefixKey(model, part));
      });
  return static_cast<std::size_t>(unknown - part_hashes.begin());
}

Usage EngineLoads::UsageOf(const InstanceId& instance,
                           const ModelOrAdapter& part) const {
  const auto it = loads_.find(instance);
  return it == loads_.end() ? Usage() : it->second.usage.Of(part);
}

std::map<InstanceId, UsageByPart> EngineLoads::RecentUsage(
    std::chrono::milliseconds time) const {
  std::map<InstanceId, UsageByPart> uses;
  for (const auto& [instance, load] : loads_) {
    UsageByPart table = load.usage.Recent(time);
    if (!table.empty()) uses.emplace(instance, std::move(table));
  }
  return uses;
}

EngineLoads::EngineLoad& EngineLoads::LoadOf(const InstanceId& instance) {
  return loads_.try_emplace(instance, clock_).first->second;
}

void EngineLoads::Forget(const std::set<InstanceId>& alive) {
  limits_.Forget(alive);
  notices_.Forget(alive);
  std::erase_if(loads_, [&alive](const auto& it) {
    return !alive.contains(it.first) && it.second.sent.empty();
  });
}

}  // namespace sapphire::fleet

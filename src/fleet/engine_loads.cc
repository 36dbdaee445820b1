/** @file engine_loads.cc What this entry has sent to each engine, and how it
 * went. */
#include <algorithm>
#include <cmath>

#include "core/random_func.h"
#include "fleet/engine_loads_base.h"

namespace sapphire::fleet {

namespace {

/** Weight of the latest result: three failures in a row make a rate of 0.66. */
constexpr double kLatestWeight = 0.3;
/** A rate that nothing confirms halves in this time, so that an engine left
 * alone for its failures is tried again. */
constexpr double kForgiveSeconds = 4;
/** An engine that took no connection is tried again after this: a crashed one
 * is back after some seconds. */
constexpr std::chrono::milliseconds kTryAgain{1000};
/** Reports of endpoints are behind their engines by this much at most. */
constexpr std::chrono::milliseconds kReportLag{400};
/** Prompt parts remembered an engine; each costs some 100 bytes. */
constexpr std::size_t kMaxPrefixes = 512;

std::uint64_t PrefixKey(const core::ModelId& model, std::uint64_t part) {
  return core::HashOf(model.value(), part);
}

}  // namespace

EngineLoads::EngineLoads(const core::Clock& clock) : clock_(clock) {}

SendTicket EngineLoads::Begin(const InstanceId& instance,
                              const SentPart& part) {
  Load& load = loads_[instance];
  SendTicket ticket{instance, next_number_++};
  const core::SteadyTime now = clock_.Now();
  load.sent[ticket.number] = Sent{part, now, false, now};
  Part& counts = load.parts[part];
  ++counts.running;
  ++counts.begun;
  return ticket;
}

void EngineLoads::NoteAnswer(const SendTicket& ticket) {
  Load& load = loads_[ticket.instance];
  const auto it = load.sent.find(ticket.number);
  if (it != load.sent.end()) it->second.answered = true;
}

void EngineLoads::NoteHeard(const SendTicket& ticket) {
  Load& load = loads_[ticket.instance];
  const auto it = load.sent.find(ticket.number);
  if (it != load.sent.end()) it->second.heard = clock_.Now();
}

void EngineLoads::End(const SendTicket& ticket, SendResult result) {
  Load& load = loads_[ticket.instance];
  const auto it = load.sent.find(ticket.number);
  if (it == load.sent.end()) return;
  --load.parts[it->second.part].running;
  load.sent.erase(it);
  if (result == SendResult::kAbandoned || result == SendResult::kRefused) {
    return;
  }
  const double failed = result == SendResult::kFailed ? 1.0 : 0.0;
  load.failure_rate = (1 - kLatestWeight) * FailureRate(ticket.instance) +
                      kLatestWeight * failed;
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
  return it->second.failure_rate * std::exp2(-age.count() / kForgiveSeconds);
}

std::chrono::milliseconds EngineLoads::OldestSilence(
    const InstanceId& instance) const {
  const auto it = loads_.find(instance);
  const core::SteadyTime now = clock_.Now();
  core::SteadyTime asked = now;
  std::optional<core::SteadyTime> heard;
  if (it == loads_.end()) return std::chrono::milliseconds(0);
  for (const auto& [number, sent] : it->second.sent) {
    if (sent.answered) {
      heard = std::max(heard.value_or(sent.heard), sent.heard);
    } else {
      asked = std::min(asked, sent.at);
    }
  }
  const core::SteadyTime silent_since = std::min(asked, heard.value_or(now));
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               silent_since);
}

void EngineLoads::NoteUnreachable(const InstanceId& instance) {
  loads_[instance].unreachable = clock_.Now();
}

bool EngineLoads::Unreachable(const InstanceId& instance) const {
  const auto it = loads_.find(instance);
  if (it == loads_.end() || !it->second.unreachable) return false;
  return clock_.Now() - *it->second.unreachable < kTryAgain;
}

void EngineLoads::NoteLacking(const InstanceId& instance,
                              const SentPart& part) {
  loads_[instance].lacking[part] = clock_.Now();
}

bool EngineLoads::Lacks(const InstanceId& instance,
                        const SentPart& part) const {
  const auto it = loads_.find(instance);
  if (it == loads_.end()) return false;
  const auto lacking = it->second.lacking.find(part);
  if (lacking == it->second.lacking.end()) return false;
  return clock_.Now() - lacking->second < kReportLag;
}

void EngineLoads::NotePrefix(const InstanceId& instance,
                             const core::ModelId& model,
                             const std::vector<std::uint64_t>& part_hashes) {
  Load& load = loads_[instance];
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

std::size_t EngineLoads::KnownParts(
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

gen::UsageReport EngineLoads::UsageOf(const InstanceId& instance) const {
  gen::UsageReport report;
  const auto it = loads_.find(instance);
  if (it == loads_.end()) return report;
  std::map<SentPart, Part> parts = it->second.parts;
  for (const auto& [part, counts] : it->second.parts) {
    if (part.adapter.empty()) continue;
    // A request for an adapter uses its model too.
    Part& model = parts[SentPart{part.model, core::AdapterId()}];
    model.running += counts.running;
    model.begun += counts.begun;
  }
  for (const auto& [part, counts] : parts) {
    gen::ModelUsage usage;
    usage.model = part.model.value();
    usage.adapter = part.adapter.value();
    usage.running = counts.running;
    usage.begun = counts.begun;
    report.models.push_back(std::move(usage));
  }
  return report;
}

void EngineLoads::Forget(const std::set<InstanceId>& alive) {
  std::erase_if(loads_, [&alive](const auto& it) {
    return !alive.contains(it.first) && it.second.sent.empty();
  });
}

}  // namespace sapphire::fleet

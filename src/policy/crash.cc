/** @file crash.cc Finds the requests that crash engines. */
#include <algorithm>

#include "policy/crash_func.h"

namespace sapphire::policy {

namespace {

void EraseIfUnused(CrashTracker& tracker, std::int64_t fingerprint) {
  const auto it = tracker.records.find(fingerprint);
  if (it == tracker.records.end()) return;
  if (it->second.crashes == 0 && it->second.running.empty()) {
    tracker.records.erase(it);
  }
}

}  // namespace

DispatchDecision DecideDispatch(const CrashTracker& tracker,
                                std::int64_t fingerprint) {
  const auto it = tracker.records.find(fingerprint);
  if (it == tracker.records.end()) return DispatchDecision::kRun;
  const CrashRecord& record = it->second;
  if (record.crashes >= kCrashesToQuarantine) {
    return DispatchDecision::kQuarantined;
  }
  if (!record.running.empty()) return DispatchDecision::kWaitForCopies;
  return record.crashes > 0 ? DispatchDecision::kRunAlone
                            : DispatchDecision::kRun;
}

std::set<core::EndpointId> EnginesWithCopies(const CrashTracker& tracker,
                                             std::int64_t fingerprint) {
  std::set<core::EndpointId> engines;
  const auto it = tracker.records.find(fingerprint);
  if (it == tracker.records.end()) return engines;
  for (const auto& [attempt, endpoint] : it->second.running) {
    engines.insert(endpoint);
  }
  return engines;
}

void RecordDispatch(CrashTracker& tracker, std::int64_t fingerprint,
                    const core::AttemptId& attempt,
                    const core::EndpointId& endpoint) {
  tracker.records[fingerprint].running[attempt] = endpoint;
}

void RecordEnd(CrashTracker& tracker, std::int64_t fingerprint,
               const core::AttemptId& attempt, bool completed) {
  const auto it = tracker.records.find(fingerprint);
  if (it == tracker.records.end()) return;
  CrashRecord& record = it->second;
  if (record.running.erase(attempt) == 0) return;
  // A quarantined fingerprint stays quarantined: a copy may have completed
  // without reaching the operation that crashes the engine.
  if (completed && record.crashes < kCrashesToQuarantine) record.crashes = 0;
  EraseIfUnused(tracker, fingerprint);
}

bool RecordCrash(CrashTracker& tracker, std::int64_t fingerprint,
                 const core::AttemptId& attempt, core::SteadyTime now) {
  const auto it = tracker.records.find(fingerprint);
  if (it == tracker.records.end()) return false;
  CrashRecord& record = it->second;
  const auto copy = record.running.find(attempt);
  if (copy != record.running.end()) {
    const core::EndpointId endpoint = copy->second;
    std::erase_if(record.running,
                  [&](const auto& run) { return run.second == endpoint; });
    ++record.crashes;
    record.last_crash = now;
  }
  return record.crashes >= kCrashesToQuarantine;
}

void MergeCrashCount(CrashTracker& tracker, std::int64_t fingerprint,
                     int crashes, core::SteadyTime now) {
  CrashRecord& record = tracker.records[fingerprint];
  record.crashes = std::max(record.crashes, crashes);
  record.last_crash = now;
}

void ExpireCrashRecords(CrashTracker& tracker, core::SteadyTime now,
                        std::chrono::milliseconds keep) {
  std::erase_if(tracker.records, [&](const auto& entry) {
    const CrashRecord& record = entry.second;
    return record.running.empty() && now - record.last_crash > keep;
  });
}

}  // namespace sapphire::policy

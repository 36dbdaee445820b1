/** @file quarantine.cc Tracks requests that crash engines, by fingerprint. */
#include <algorithm>
#include <boost/json.hpp>

#include "core/error_type.h"
#include "core/random_func.h"
#include "crash/quarantine_base.h"

namespace sapphire::crash {

namespace json = boost::json;

std::string EncodeCrashes(const CrashRecord& record) {
  const auto since_epoch = record.last_crash.time_since_epoch();
  json::array crashes;
  for (const std::string& id : record.crashes) crashes.emplace_back(id);
  json::object value;
  value["model"] = record.model.value();
  value["crashes"] = std::move(crashes);
  value["last_ms"] =
      std::chrono::duration_cast<core::Millis>(since_epoch).count();
  return json::serialize(value);
}

CrashRecord DecodeCrashes(const std::string& text) {
  try {
    const json::value value = json::parse(text);
    CrashRecord record;
    record.model =
        core::ModelId(json::value_to<std::string>(value.at("model")));
    for (const json::value& id : value.at("crashes").as_array()) {
      record.crashes.insert(json::value_to<std::string>(id));
    }
    record.last_crash =
        core::WallTime(core::Millis(value.at("last_ms").to_number<int64_t>()));
    return record;
  } catch (const std::exception& e) {
    throw core::Error(core::ErrorCode::kInternal,
                      std::string("quarantine value: ") + e.what());
  }
}

namespace {

core::AttemptId AttemptOf(std::int64_t slot_id) {
  return core::AttemptId(std::to_string(slot_id));
}

int CrashesOf(const policy::CrashTracker& tracker, std::int64_t fingerprint) {
  const auto it = tracker.records.find(fingerprint);
  return it == tracker.records.end() ? 0 : it->second.crashes;
}

}  // namespace

QuarantineStatus Quarantine::StatusOf(std::int64_t fingerprint) const {
  const std::lock_guard lock(mutex_);
  return {.dispatch = policy::DecideDispatch(tracker_, fingerprint),
          .crashes = CrashesOf(tracker_, fingerprint),
          .copies = policy::EnginesWithCopies(tracker_, fingerprint)};
}

void Quarantine::RecordDispatch(std::int64_t fingerprint, std::int64_t slot_id,
                                const core::EndpointId& endpoint) {
  if (fingerprint == 0) return;
  const std::lock_guard lock(mutex_);
  policy::RecordDispatch(tracker_, fingerprint, AttemptOf(slot_id), endpoint);
}

bool Quarantine::RecordCrash(std::int64_t fingerprint, std::int64_t slot_id,
                             const core::ModelId& model) {
  if (fingerprint == 0) return false;
  const std::lock_guard lock(mutex_);
  const int before = CrashesOf(tracker_, fingerprint);
  policy::RecordCrash(tracker_, fingerprint, AttemptOf(slot_id), clock_.Now());
  if (CrashesOf(tracker_, fingerprint) == before) return false;
  CrashRecord& record = records_[fingerprint];
  record.model = model;
  record.crashes.insert(core::RandomHexId());
  record.last_crash = clock_.WallNow();
  return true;
}

bool Quarantine::RecordEnd(std::int64_t fingerprint, std::int64_t slot_id,
                           bool completed) {
  if (fingerprint == 0) return false;
  const std::lock_guard lock(mutex_);
  policy::RecordEnd(tracker_, fingerprint, AttemptOf(slot_id), completed);
  if (CrashesOf(tracker_, fingerprint) > 0) return false;
  return records_.erase(fingerprint) > 0;
}

CrashRecord Quarantine::Find(std::int64_t fingerprint) const {
  const std::lock_guard lock(mutex_);
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? CrashRecord() : it->second;
}

std::set<std::int64_t> Quarantine::Fingerprints() const {
  const std::lock_guard lock(mutex_);
  std::set<std::int64_t> all;
  for (const auto& [fingerprint, record] : records_) all.insert(fingerprint);
  return all;
}

void Quarantine::Merge(std::int64_t fingerprint, const CrashRecord& record) {
  if (record.crashes.empty()) return;
  const std::lock_guard lock(mutex_);
  CrashRecord& own = records_[fingerprint];
  own.model = record.model;
  own.crashes.insert(record.crashes.begin(), record.crashes.end());
  own.last_crash = std::max(own.last_crash, record.last_crash);
  policy::MergeCrashCount(tracker_, fingerprint,
                          static_cast<int>(own.crashes.size()), clock_.Now());
}

void Quarantine::Erase(std::int64_t fingerprint) {
  const std::lock_guard lock(mutex_);
  records_.erase(fingerprint);
  const auto it = tracker_.records.find(fingerprint);
  if (it == tracker_.records.end()) return;
  it->second.crashes = 0;
  if (it->second.running.empty()) tracker_.records.erase(it);
}

}  // namespace sapphire::crash

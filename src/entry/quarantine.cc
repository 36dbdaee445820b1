/** @file quarantine.cc Requests that crash engines, by fingerprint. */
#include <algorithm>
#include <boost/json.hpp>

#include "core/error_type.h"
#include "core/random_func.h"
#include "entry/quarantine_base.h"

namespace sapphire::entry {

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

bool Quarantine::RecordCrash(std::int64_t fingerprint,
                             const core::ModelId& model,
                             const core::EndpointId& endpoint,
                             core::SteadyTime placed_at) {
  if (fingerprint == 0) return false;
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[fingerprint];
  const bool counted =
      std::any_of(entry.seen_here.begin(), entry.seen_here.end(),
                  [&](const SeenHere& seen) {
                    return seen.endpoint == endpoint && placed_at <= seen.at;
                  });
  if (counted) return false;
  entry.seen_here.push_back({endpoint, clock_.Now()});
  entry.record.model = model;
  entry.record.crashes.insert(core::RandomHexId());
  entry.record.last_crash = clock_.WallNow();
  return true;
}

bool Quarantine::RecordCompleted(std::int64_t fingerprint) {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return false;
  const auto crashes = static_cast<int>(it->second.record.crashes.size());
  if (crashes >= kCrashLimit) return false;
  entries_.erase(it);
  return true;
}

int Quarantine::Crashes(std::int64_t fingerprint) const {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return 0;
  return static_cast<int>(it->second.record.crashes.size());
}

CrashRecord Quarantine::Find(std::int64_t fingerprint) const {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? CrashRecord() : it->second.record;
}

std::set<std::int64_t> Quarantine::Fingerprints() const {
  const std::lock_guard lock(mutex_);
  std::set<std::int64_t> all;
  for (const auto& [fingerprint, entry] : entries_) all.insert(fingerprint);
  return all;
}

void Quarantine::Merge(std::int64_t fingerprint, const CrashRecord& record) {
  if (record.crashes.empty()) return;
  const std::lock_guard lock(mutex_);
  CrashRecord& own = entries_[fingerprint].record;
  own.model = record.model;
  own.crashes.insert(record.crashes.begin(), record.crashes.end());
  own.last_crash = std::max(own.last_crash, record.last_crash);
}

void Quarantine::Drop(std::int64_t fingerprint) {
  const std::lock_guard lock(mutex_);
  entries_.erase(fingerprint);
}

}  // namespace sapphire::entry

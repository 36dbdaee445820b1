/** @file kv_stand_in.cc Stand-in of the platform's key-value service. */
#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "external/json_func.h"
#include "standin/kv_stand_in_base.h"

namespace sapphire::standin {

namespace json = boost::json;
using external::IntegerAt;
using external::KvEntry;
using external::StringAt;

namespace {

constexpr int kOk = 200;
constexpr std::int64_t kMillisPerSecond = 1000;

constexpr std::array kFaults = {
    FaultDef{.name = "lose_answers", .kind = FaultKind::kCount},
    FaultDef{.name = "late_writes", .kind = FaultKind::kCount},
    FaultDef{.name = "late_writes_ms", .kind = FaultKind::kNumber},
    FaultDef{.name = "write_prefix", .kind = FaultKind::kText},
    FaultDef{.name = "lapse_leases", .kind = FaultKind::kFlag},
    FaultDef{.name = "watch_gap", .kind = FaultKind::kCount},
    FaultDef{.name = "show_old_key", .kind = FaultKind::kText},
};

json::value ToJson(const KvEntry& entry) {
  json::object object;
  object["key"] = entry.key;
  object["value"] = entry.value;
  object["revision"] = entry.revision;
  return object;
}

json::value ToJson(const std::optional<KvEntry>& entry) {
  if (!entry) return nullptr;
  return ToJson(*entry);
}

json::value ToJson(const external::KvEvent& event) {
  json::object object;
  object["key"] = event.key;
  if (event.value) {
    object["value"] = *event.value;
  } else {
    object["value"] = nullptr;
  }
  object["revision"] = event.revision;
  return object;
}

json::object ToJson(const external::CasResult& result) {
  json::object object;
  object["swapped"] = result.swapped;
  if (result.swapped) {
    object["revision"] = result.revision;
  } else {
    object["current"] = ToJson(result.current);
  }
  return object;
}

json::object ToJson(const external::WatchBatch& batch) {
  json::array events;
  for (const external::KvEvent& it : batch.events) events.push_back(ToJson(it));
  json::object object;
  object["revision"] = batch.revision;
  object["gap"] = batch.gap;
  object["events"] = std::move(events);
  return object;
}

std::int64_t NumberInQuery(const http::Request& request,
                           std::string_view name) {
  const std::string text = http::QueryValue(request.target, name).value_or("0");
  try {
    return std::stoll(text);
  } catch (const std::logic_error&) {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      std::string(name) + ": must be an integer");
  }
}

/** @return True if the call writes a key that starts with `prefix`. */
bool WritesKeyWithPrefix(const http::Request& request,
                         const std::string& prefix) {
  const std::string_view path = http::PathOf(request.target);
  if (path != "/cas" && path != "/delete") return false;
  return StringAt(external::ParseObject(request.body.text()), "key")
      .starts_with(prefix);
}

void AddCall(RateMeter& meter, std::int64_t second) {
  if (second != meter.second) meter.calls_in_second = 0;
  meter.second = second;
  ++meter.calls_in_second;
  meter.peak = std::max(meter.peak, meter.calls_in_second);
}

/** Carries out a write. @return The answer. */
json::object ApplyWrite(KvStore& store, const http::Request& request) {
  const std::string_view path = http::PathOf(request.target);
  const json::object body = external::ParseObject(request.body.text());
  json::object answer;
  if (path == "/cas") {
    return ToJson(store.CompareAndSwap(
        StringAt(body, "key"), IntegerAt(body, "expected"),
        StringAt(body, "value"), external::StringOr(body, "lease", "")));
  }
  if (path == "/delete") {
    answer["deleted"] =
        store.DeleteIf(StringAt(body, "key"), IntegerAt(body, "expected"));
  } else if (path == "/lease") {
    const external::KvLease lease =
        store.GrantLease(core::Millis(IntegerAt(body, "ttl_ms")));
    answer["id"] = lease.id;
    answer["ttl_ms"] = lease.time_to_live.count();
  } else if (path == "/lease/keepalive") {
    answer["alive"] = store.KeepAlive(StringAt(body, "id"));
  } else {
    throw core::Error(core::ErrorCode::kUnknownPath, std::string(path));
  }
  return answer;
}

}  // namespace

KvStandIn::KvStandIn(StandInContext context, KvOptions options)
    : StandIn(std::move(context), kFaults),
      read_pacer_(options.reads_per_second, context_.clock),
      write_pacer_(options.writes_per_second, context_.clock),
      store_(options.history_limit, context_.clock) {}

core::Task<> KvStandIn::Serve(const http::Request& request,
                              http::ResponseWriter& writer) {
  const std::string path(http::PathOf(request.target));
  const bool is_write = request.method == "POST";
  CountCall(path, is_write);
  co_await (is_write ? write_pacer_ : read_pacer_).Acquire();
  CutIfDown();
  if (is_write) {
    co_await ServeWrite(request, writer);
  } else if (path == "/kv") {
    co_await ServeRead(request, writer);
  } else if (path == "/watch") {
    co_await ServeWatch(request, writer);
  } else {
    throw core::Error(core::ErrorCode::kUnknownPath, path);
  }
}

core::Task<> KvStandIn::ServeRead(const http::Request& request,
                                  http::ResponseWriter& writer) {
  json::object answer;
  const auto key = http::QueryValue(request.target, "key");
  const auto prefix = http::QueryValue(request.target, "prefix").value_or("");
  {
    const std::lock_guard lock(mutex_);
    if (key) {
      std::optional<KvEntry> entry = store_.Get(*key);
      ReplaceWithPrevious(entry, *key);
      answer["entry"] = ToJson(entry);
    } else {
      json::array entries;
      for (const KvEntry& it : store_.List(prefix)) {
        std::optional<KvEntry> entry = it;
        ReplaceWithPrevious(entry, it.key);
        entries.push_back(ToJson(entry));
      }
      answer["entries"] = std::move(entries);
      answer["revision"] = store_.revision();
    }
  }
  co_await SendJson(writer, kOk, json::serialize(answer));
}

core::Task<> KvStandIn::ServeWrite(const http::Request& request,
                                   http::ResponseWriter& writer) {
  const bool hit = WritesKeyWithPrefix(request, faults_.Text("write_prefix"));
  if (hit && faults_.ConsumeOne("late_writes")) {
    core::Spawn(context_.executor, context_.log, "late_write",
                [this, copy = request] { return ApplyLate(copy); });
    CutConnection("late write");
  }
  std::string answer = Apply(request);
  if (hit && faults_.ConsumeOne("lose_answers")) CutConnection("lost answer");
  co_await SendJson(writer, kOk, std::move(answer));
}

core::Task<> KvStandIn::ServeWatch(const http::Request& request,
                                   http::ResponseWriter& writer) {
  const std::string prefix =
      http::QueryValue(request.target, "prefix").value_or("");
  const std::int64_t after = NumberInQuery(request, "after");
  const core::SteadyTime deadline =
      context_.clock.Now() + core::Millis(NumberInQuery(request, "wait_ms"));
  external::WatchBatch batch;
  while (true) {
    const std::uint64_t seen = changed_.epoch();
    {
      const std::lock_guard lock(mutex_);
      batch = store_.ChangesAfter(prefix, after);
    }
    if (batch.gap || !batch.events.empty()) break;
    if (context_.clock.Now() >= deadline) break;
    co_await changed_.Wait(seen, TimeUntilWake(deadline));
    CutIfDown();
  }
  if (faults_.ConsumeOne("watch_gap")) {
    batch.gap = true;
    batch.events.clear();
  }
  co_await SendJson(writer, kOk, json::serialize(ToJson(batch)));
}

core::Task<> KvStandIn::ApplyLate(http::Request request) {
  co_await core::SleepFor(faults_.Duration("late_writes_ms"));
  Apply(request);
}

std::string KvStandIn::Apply(const http::Request& request) {
  json::object answer;
  {
    const std::lock_guard lock(mutex_);
    answer = ApplyWrite(store_, request);
  }
  changed_.Notify();
  return json::serialize(answer);
}

/** @return The time until the watch or the next lease ends, whichever is
 * earlier. */
std::chrono::milliseconds KvStandIn::TimeUntilWake(
    core::SteadyTime deadline) const {
  const std::lock_guard lock(mutex_);
  const core::SteadyTime end =
      std::min(deadline, store_.NextExpiry().value_or(deadline));
  return std::chrono::ceil<std::chrono::milliseconds>(end -
                                                      context_.clock.Now());
}

void KvStandIn::ReplaceWithPrevious(std::optional<KvEntry>& entry,
                                    const std::string& key) {
  if (key != faults_.Text("show_old_key")) return;
  const std::optional<KvEntry> previous = store_.Previous(key);
  if (previous) entry = previous;
}

void KvStandIn::OnFaultsSet() {
  if (faults_.ConsumeOne("lapse_leases")) {
    const std::lock_guard lock(mutex_);
    store_.EndAllLeases();
  }
  changed_.Notify();
}

void KvStandIn::CountCall(const std::string& path, bool is_write) {
  const std::lock_guard lock(mutex_);
  ++calls_[path];
  const std::int64_t second = WallMillis(context_.clock) / kMillisPerSecond;
  AddCall(is_write ? writes_ : reads_, second);
}

std::string KvStandIn::RecordJson() const {
  const std::lock_guard lock(mutex_);
  json::object calls;
  for (const auto& [path, n] : calls_) calls[path] = n;
  json::object record;
  record["calls"] = std::move(calls);
  record["peak_reads_per_second"] = reads_.peak;
  record["peak_writes_per_second"] = writes_.peak;
  record["revision"] = store_.revision();
  return json::serialize(record);
}

}  // namespace sapphire::standin

/** @file http_key_value.cc HTTP client of the key-value service. */
#include <boost/json.hpp>
#include <functional>
#include <utility>

#include "core/error_type.h"
#include "external/external_func.h"
#include "external/json_func.h"
#include "external/platform_client_base.h"

namespace sapphire::external {

namespace json = boost::json;
using core::ErrorCode;

namespace {

KvEntry ToEntry(const json::value& value) {
  const json::object& object = AsObject(value, "entry");
  KvEntry entry;
  entry.key = StringAt(object, "key");
  entry.value = StringAt(object, "value");
  entry.revision = IntegerAt(object, "revision");
  return entry;
}

/** @return Nothing if the field is absent or null. */
std::optional<KvEntry> ToEntryIfAny(const json::object& object,
                                    std::string_view field) {
  const json::value* it = object.if_contains(field);
  if (it == nullptr || it->is_null()) return std::nullopt;
  return ToEntry(*it);
}

KvEvent ToEvent(const json::value& value) {
  const json::object& object = AsObject(value, "events");
  KvEvent event;
  event.key = StringAt(object, "key");
  event.revision = IntegerAt(object, "revision");
  if (!object.at("value").is_null()) event.value = StringAt(object, "value");
  return event;
}

CasResult ToCasResult(const json::object& object) {
  CasResult result;
  result.swapped = BooleanAt(object, "swapped");
  if (result.swapped) {
    result.revision = IntegerAt(object, "revision");
  } else {
    result.current = ToEntryIfAny(object, "current");
  }
  return result;
}

std::optional<KvEntry> ToGetResult(const json::object& object) {
  return ToEntryIfAny(object, "entry");
}

std::vector<KvEntry> ToEntries(const json::object& object) {
  std::vector<KvEntry> entries;
  for (const json::value& it : ArrayAt(object, "entries")) {
    entries.push_back(ToEntry(it));
  }
  return entries;
}

bool ToDeleted(const json::object& object) {
  return BooleanAt(object, "deleted");
}

bool ToAlive(const json::object& object) { return BooleanAt(object, "alive"); }

KvLease ToLease(const json::object& object) {
  KvLease lease;
  lease.id = StringAt(object, "id");
  lease.time_to_live = std::chrono::milliseconds(IntegerAt(object, "ttl_ms"));
  return lease;
}

WatchBatch ToWatchBatch(const json::object& object) {
  WatchBatch batch;
  batch.revision = IntegerAt(object, "revision");
  batch.gap = BooleanAt(object, "gap");
  for (const json::value& it : ArrayAt(object, "events")) {
    batch.events.push_back(ToEvent(it));
  }
  return batch;
}

/** @return The answer, parsed by `convert`. @throws core::Error `code` if it is
 * invalid; the effect of a write is then unknown. */
template <typename T>
T Decode(const std::string& body, T (*convert)(const json::object&),
         ErrorCode code) {
  try {
    return convert(ParseObject(body));
  } catch (const std::exception& e) {
    throw core::Error(code, e.what());
  }
}

class HttpKeyValueStore final : public KeyValueStore {
 public:
  HttpKeyValueStore(const std::string& address,
                    std::chrono::milliseconds timeout)
      : client_(address, timeout) {}

  core::Task<std::optional<KvEntry>> Get(std::string key) override {
    const std::string body =
        co_await client_.Read("/kv?key=" + http::UrlEncode(key));
    co_return Decode(body, ToGetResult, ErrorCode::kPlatformUnavailable);
  }

  core::Task<std::vector<KvEntry>> List(std::string prefix) override {
    const std::string body =
        co_await client_.Read("/kv?prefix=" + http::UrlEncode(prefix));
    co_return Decode(body, ToEntries, ErrorCode::kPlatformUnavailable);
  }

  core::Task<CasResult> CompareAndSwap(std::string key, std::int64_t expected,
                                       std::string value,
                                       std::string lease_id) override {
    json::object request;
    request["key"] = key;
    request["expected"] = expected;
    request["value"] = value;
    request["lease"] = lease_id;
    const std::string body =
        co_await client_.Write("/cas", json::serialize(request));
    co_return Decode(body, ToCasResult, ErrorCode::kPlatformUnknownOutcome);
  }

  core::Task<bool> DeleteIf(std::string key, std::int64_t expected) override {
    json::object request;
    request["key"] = key;
    request["expected"] = expected;
    const std::string body =
        co_await client_.Write("/delete", json::serialize(request));
    co_return Decode(body, ToDeleted, ErrorCode::kPlatformUnknownOutcome);
  }

  core::Task<KvLease> GrantLease(
      std::chrono::milliseconds time_to_live) override {
    json::object request;
    request["ttl_ms"] = time_to_live.count();
    const std::string body =
        co_await client_.Write("/lease", json::serialize(request));
    co_return Decode(body, ToLease, ErrorCode::kPlatformUnknownOutcome);
  }

  core::Task<bool> KeepAlive(std::string lease_id) override {
    json::object request;
    request["id"] = lease_id;
    const std::string body =
        co_await client_.Write("/lease/keepalive", json::serialize(request));
    co_return Decode(body, ToAlive, ErrorCode::kPlatformUnknownOutcome);
  }

  core::Task<WatchBatch> Watch(std::string prefix, std::int64_t revision,
                               std::chrono::milliseconds wait) override {
    const std::string target = "/watch?prefix=" + http::UrlEncode(prefix) +
                               "&after=" + std::to_string(revision) +
                               "&wait_ms=" + std::to_string(wait.count());
    const std::string body = co_await client_.Read(target, wait);
    co_return Decode(body, ToWatchBatch, ErrorCode::kPlatformUnavailable);
  }

 private:
  PlatformClient client_;
};

}  // namespace

std::unique_ptr<KeyValueStore> MakeHttpKeyValueStore(
    const std::string& address, std::chrono::milliseconds timeout) {
  return std::make_unique<HttpKeyValueStore>(address, timeout);
}

}  // namespace sapphire::external

/** @file intent_read.cc Reads an intent from a JSON value. */
#include <fmt/format.h>

#include <boost/json.hpp>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

#include "contract/byte_size_func.h"
#include "contract/intent_json_func.h"

namespace sapphire::contract {

namespace json = boost::json;
using core::ErrorCode;

namespace {

std::string Join(std::string_view path, std::string_view key) {
  return path.empty() ? std::string(key) : fmt::format("{}.{}", path, key);
}

[[noreturn]] void Reject(std::string field, std::string reason) {
  throw FieldError(ErrorCode::kBadIntent, std::move(field), std::move(reason));
}

/** Reads the fields of one object and remembers which keys were read. */
class ObjectReader {
 public:
  ObjectReader(const json::value& value, std::string path, UnknownKeys unknown)
      : path_(std::move(path)), unknown_(unknown) {
    if (!value.is_object()) Reject(path_, "must be a table");
    object_ = &value.get_object();
  }

  /** @return The field, or null if it is not given. */
  const json::value* Find(std::string_view key) {
    read_keys_.insert(key);
    return object_->if_contains(key);
  }

  [[nodiscard]] std::string PathOf(std::string_view key) const {
    return Join(path_, key);
  }

  const json::value& Require(std::string_view key) {
    const json::value* value = Find(key);
    if (value == nullptr) Reject(PathOf(key), "is required");
    return *value;
  }

  void Read(std::string_view key, std::string& out) {
    const json::value* value = Find(key);
    if (value != nullptr) out = StringOf(key, *value);
  }

  std::string RequireString(std::string_view key) {
    return StringOf(key, Require(key));
  }

  void Read(std::string_view key, int& out) {
    const json::value* value = Find(key);
    if (value != nullptr) out = IntOf(key, *value);
  }

  int RequireInt(std::string_view key) { return IntOf(key, Require(key)); }

  void Read(std::string_view key, double& out) {
    const json::value* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_number()) Reject(PathOf(key), "must be a number");
    out = value->to_number<double>();
    if (!std::isfinite(out)) Reject(PathOf(key), "must be a finite number");
  }

  void Read(std::string_view key, bool& out) {
    const json::value* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_bool()) Reject(PathOf(key), "must be true or false");
    out = value->get_bool();
  }

  std::int64_t RequireBytes(std::string_view key) {
    const json::value& value = Require(key);
    if (value.is_int64()) return value.get_int64();
    const auto bytes = value.is_string() ? ParseByteSize(value.get_string())
                                         : std::optional<std::int64_t>();
    if (!bytes) {
      Reject(PathOf(key), "must be a number of bytes or a text like \"8 GiB\"");
    }
    return *bytes;
  }

  void Read(std::string_view key, std::vector<std::string>& out) {
    for (const json::value& item : List(key)) {
      if (!item.is_string()) Reject(PathOf(key), "must be a list of texts");
      out.emplace_back(item.get_string());
    }
  }

  /** @return The list, empty if it is not given. */
  const json::array& List(std::string_view key) {
    static const json::array kEmpty;
    const json::value* value = Find(key);
    if (value == nullptr) return kEmpty;
    if (!value->is_array()) Reject(PathOf(key), "must be a list");
    return value->get_array();
  }

  /** Rejects keys that were not read. */
  void Finish() const {
    if (unknown_ == UnknownKeys::kIgnore) return;
    for (const auto& field : *object_) {
      if (!read_keys_.contains(field.key())) {
        Reject(PathOf(field.key()), "is not known; see the intent format");
      }
    }
  }

 private:
  [[nodiscard]] std::string StringOf(std::string_view key,
                                     const json::value& value) const {
    if (!value.is_string()) Reject(PathOf(key), "must be a text");
    return std::string(value.get_string());
  }

  [[nodiscard]] int IntOf(std::string_view key,
                          const json::value& value) const {
    if (!value.is_int64()) Reject(PathOf(key), "must be a whole number");
    const std::int64_t number = value.get_int64();
    if (number < std::numeric_limits<int>::min() ||
        number > std::numeric_limits<int>::max()) {
      throw FieldError(ErrorCode::kIntentOverLimit, PathOf(key),
                       "is far out of range");
    }
    return static_cast<int>(number);
  }

  const json::object* object_ = nullptr;
  std::string path_;
  UnknownKeys unknown_;
  std::set<std::string_view, std::less<>> read_keys_;
};

std::string_view NameIn(const json::value& element) {
  const json::object* object = element.if_object();
  const json::value* name = object ? object->if_contains("name") : nullptr;
  if (name == nullptr || !name->is_string()) return {};
  return name->get_string();
}

/** Calls `read(reader)` for each element of a list of named objects. */
template <typename Read>
void ForEachNamed(ObjectReader& parent, std::string_view key,
                  UnknownKeys unknown, Read read) {
  const std::string list_path = parent.PathOf(key);
  std::size_t index = 0;
  for (const json::value& element : parent.List(key)) {
    ObjectReader reader(element, ElementPath(list_path, index, NameIn(element)),
                        unknown);
    read(reader);
    reader.Finish();
    ++index;
  }
}

ServiceKind KindFrom(ObjectReader& reader) {
  std::string kind = "model";
  reader.Read("kind", kind);
  if (kind == "model") return ServiceKind::kModel;
  if (kind == "plain") return ServiceKind::kPlain;
  Reject(reader.PathOf("kind"), "must be \"model\" or \"plain\"");
}

/** Rejects a field that does not apply to the service's kind: it is most
 * likely a mistake. */
void RejectField(ObjectReader& reader, std::string_view key,
                 std::string_view only_for) {
  if (reader.Find(key) == nullptr) return;
  Reject(reader.PathOf(key), fmt::format("is only for {} services", only_for));
}

Service ServiceFrom(ObjectReader& reader) {
  Service service;
  service.name = core::ServiceId(reader.RequireString("name"));
  service.kind = KindFrom(reader);
  if (service.kind == ServiceKind::kModel) {
    service.max_replicas = reader.RequireInt("max_replicas");
    RejectField(reader, "non_idempotent", "plain");
    RejectField(reader, "max_concurrent", "plain");
  } else {
    RejectField(reader, "max_replicas", "model");
    reader.Read("non_idempotent", service.non_idempotent);
    reader.Read("max_concurrent", service.max_concurrent);
  }
  return service;
}

Adapter AdapterFrom(ObjectReader& reader) {
  Adapter adapter;
  adapter.name = core::AdapterId(reader.RequireString("name"));
  reader.Read("version", adapter.version);
  adapter.bytes = reader.RequireBytes("bytes");
  return adapter;
}

/** Accepts both [[model.adapter]] and `adapters = [...]`. */
void ReadAdapters(ObjectReader& reader, UnknownKeys unknown, Model& model) {
  for (const std::string_view key : {"adapters", "adapter"}) {
    ForEachNamed(reader, key, unknown, [&](ObjectReader& element) {
      model.adapters.push_back(AdapterFrom(element));
    });
  }
  std::ranges::sort(model.adapters, {}, &Adapter::name);
}

Model ModelFrom(ObjectReader& reader, UnknownKeys unknown) {
  Model model;
  model.name = core::ModelId(reader.RequireString("name"));
  model.service = core::ServiceId(reader.RequireString("service"));
  reader.Read("version", model.version);
  model.weight_bytes = reader.RequireBytes("weight_bytes");
  model.kv_budget_bytes = reader.RequireBytes("kv_budget_bytes");
  reader.Read("max_replicas", model.max_replicas);
  reader.Read("max_concurrent", model.max_concurrent);
  reader.Read("non_idempotent", model.non_idempotent);
  ReadAdapters(reader, unknown, model);
  return model;
}

Owner OwnerFrom(ObjectReader& reader) {
  Owner owner;
  owner.name = core::OwnerId(reader.RequireString("name"));
  reader.Read("share", owner.share);
  return owner;
}

/** Adds to a map by name; rejects duplicate names. */
template <typename Map, typename Thing>
void AddUnique(Map& map, Thing thing, ObjectReader& reader) {
  const auto name = thing.name;
  if (!map.try_emplace(name, std::move(thing)).second) {
    Reject(reader.PathOf("name"), "stands twice");
  }
}

void ReadScalars(ObjectReader& reader, UnknownKeys unknown, Intent& intent) {
  intent.deployment = reader.RequireString("deployment");
  if (const json::value* value = reader.Find("weights")) {
    ObjectReader weights(*value, "weights", unknown);
    weights.Read("cold_start", intent.weights.cold_start);
    weights.Read("idle", intent.weights.idle);
    weights.Finish();
  }
  if (const json::value* value = reader.Find("weight_store")) {
    ObjectReader store(*value, "weight_store", unknown);
    store.Read("loads_per_second", intent.loads_per_second);
    store.Read("at_once", intent.loads_at_once);
    store.Finish();
  }
}

}  // namespace

FieldError::FieldError(core::ErrorCode error_code, std::string field_path,
                       std::string error_reason)
    : code_(error_code),
      field_(std::move(field_path)),
      reason_(std::move(error_reason)) {}

const char* FieldError::what() const noexcept { return reason_.c_str(); }

core::Error FieldError::ToError(std::string_view place) const {
  const std::string field = field_.empty() ? std::string("intent") : field_;
  return core::Error(code_, fmt::format("{}{}: {}", place, field, reason_));
}

std::string ElementPath(std::string_view list, std::size_t index,
                        std::string_view name) {
  if (name.empty()) return fmt::format("{}[{}]", list, index);
  return fmt::format("{}.{}", list, name);
}

Intent IntentFromJson(const json::value& value, UnknownKeys unknown) {
  Intent intent;
  ObjectReader reader(value, "", unknown);
  ReadScalars(reader, unknown, intent);
  ForEachNamed(reader, "service", unknown, [&](ObjectReader& element) {
    AddUnique(intent.services, ServiceFrom(element), element);
  });
  ForEachNamed(reader, "model", unknown, [&](ObjectReader& element) {
    AddUnique(intent.models, ModelFrom(element, unknown), element);
  });
  ForEachNamed(reader, "owner", unknown, [&](ObjectReader& element) {
    AddUnique(intent.owners, OwnerFrom(element), element);
  });
  reader.Finish();
  return intent;
}

Intent ParseIntentJson(std::string_view text) {
  boost::system::error_code ec;
  const json::value value = json::parse(text, ec);
  if (ec) {
    throw core::Error(ErrorCode::kBadIntent,
                      "intent: is no JSON: " + ec.message());
  }
  try {
    Intent intent = IntentFromJson(value, UnknownKeys::kReject);
    CheckIntent(intent, {});
    return intent;
  } catch (const FieldError& error) {
    throw error.ToError("");
  }
}

}  // namespace sapphire::contract

/** @file config_codec.cc Encodes a configuration as content-addressed parts. */
#include <fmt/format.h>

#include <boost/json.hpp>
#include <map>
#include <utility>

#include "contract/config_func.h"
#include "contract/intent_json_func.h"
#include "core/random_func.h"

namespace sapphire::contract {

namespace json = boost::json;
using core::ErrorCode;

namespace {

/** Two seeds give 128 bits: at thousands of changes a day, 64 bits could
 * collide by chance during the lifetime of a deployment. */
constexpr std::uint64_t kFirstSeed = 0;
constexpr std::uint64_t kSecondSeed = 0x5a17;

/** Collects list elements into parts of about kPartTargetBytes at most. */
class PartWriter {
 public:
  explicit PartWriter(std::vector<Part>& parts) : parts_(parts) {}

  /** Starts a part with these fields. */
  void Begin(json::object fields) { current_ = std::move(fields); }

  /** Adds an element to a list; starts another part if this one is full. */
  void Add(std::string_view list, json::object element) {
    const std::size_t n = json::serialize(element).size();
    if (current_bytes_ + n > kPartTargetBytes) Finish();
    json::value& value = current_[list];
    if (!value.is_array()) value.emplace_array();
    value.get_array().push_back(std::move(element));
    current_bytes_ += n;
  }

  /** Completes the current part, unless it is empty. */
  void Finish() {
    if (current_.empty()) return;
    std::string data = json::serialize(current_);
    if (data.size() > kMaxPartBytes) {
      throw core::Error(ErrorCode::kIntentOverLimit,
                        fmt::format("model: one part has {} bytes, over the "
                                    "limit of {}",
                                    data.size(), kMaxPartBytes));
    }
    std::string hash = PartHash(data);
    parts_.push_back({std::move(hash), std::move(data)});
    current_.clear();
    current_bytes_ = 0;
  }

 private:
  std::vector<Part>& parts_;
  json::object current_;
  std::size_t current_bytes_ = 0;
};

std::size_t BucketOf(const core::ModelId& model) {
  return core::HashOf(model.value()) % kModelBuckets;
}

void EncodeGeneral(const Intent& intent, PartWriter& writer) {
  writer.Begin(ScalarsToJson(intent));
  for (const auto& [name, service] : intent.services) {
    writer.Add("service", ToJsonObject(service));
  }
  for (const auto& [name, owner] : intent.owners) {
    writer.Add("owner", ToJsonObject(owner));
  }
  writer.Finish();
}

void EncodeModels(const Intent& intent, PartWriter& writer) {
  std::map<std::size_t, std::vector<const Model*>> buckets;
  for (const auto& [name, model] : intent.models) {
    buckets[BucketOf(name)].push_back(&model);
  }
  for (const auto& [bucket, models] : buckets) {
    for (const Model* model : models) {
      writer.Add("model", ToJsonObject(*model));
    }
    writer.Finish();
  }
}

json::object ParsePart(const Part& part) {
  if (PartHash(part.data) != part.hash) {
    throw core::Error(ErrorCode::kBadIntent,
                      "part " + part.hash + ": does not match its hash");
  }
  boost::system::error_code ec;
  json::value value = json::parse(part.data, ec);
  if (ec || !value.is_object()) {
    throw core::Error(ErrorCode::kBadIntent,
                      "part " + part.hash + ": can't be read");
  }
  return std::move(value.get_object());
}

/** Concatenates lists and overwrites other fields. */
void MergeInto(json::object& merged, json::object part) {
  for (auto& field : part) {
    json::value& target = merged[field.key()];
    if (!target.is_array() || !field.value().is_array()) {
      target = std::move(field.value());
      continue;
    }
    for (json::value& element : field.value().get_array()) {
      target.get_array().push_back(std::move(element));
    }
  }
}

}  // namespace

std::string PartHash(std::string_view data) {
  return fmt::format("{:016x}{:016x}", core::HashOf(data, kFirstSeed),
                     core::HashOf(data, kSecondSeed));
}

EncodedConfig EncodeConfig(const Config& config) {
  EncodedConfig encoded{config.version, config.plan, {}};
  PartWriter writer(encoded.parts);
  EncodeGeneral(config.intent, writer);
  EncodeModels(config.intent, writer);
  return encoded;
}

Config DecodeConfig(std::int64_t version, core::PlanId plan,
                    std::span<const Part> parts) {
  json::object merged;
  for (const Part& part : parts) MergeInto(merged, ParsePart(part));
  try {
    return {version, std::move(plan),
            IntentFromJson(merged, UnknownKeys::kIgnore)};
  } catch (const FieldError& error) {
    throw error.ToError("stored configuration: ");
  }
}

std::vector<std::string> HashesOf(const EncodedConfig& config) {
  std::vector<std::string> hashes;
  hashes.reserve(config.parts.size());
  for (const Part& part : config.parts) hashes.push_back(part.hash);
  return hashes;
}

std::string HeadToJson(const ConfigHead& head) {
  json::object object{{"version", head.version}, {"plan", head.plan.value()}};
  json::array& parts = object["parts"].emplace_array();
  for (const std::string& hash : head.part_hashes) parts.emplace_back(hash);
  json::array& history = object["history"].emplace_array();
  for (const ConfirmedPlan& confirmed : head.history) {
    history.push_back(json::object{{"plan", confirmed.plan.value()},
                                   {"version", confirmed.version}});
  }
  return json::serialize(object);
}

namespace {

ConfigHead HeadFromValue(const json::value& value) {
  ConfigHead head;
  head.version = value.at("version").as_int64();
  head.plan = core::PlanId(std::string(value.at("plan").as_string()));
  for (const json::value& hash : value.at("parts").as_array()) {
    head.part_hashes.emplace_back(hash.as_string());
  }
  for (const json::value& item : value.at("history").as_array()) {
    head.history.push_back(
        {core::PlanId(std::string(item.at("plan").as_string())),
         item.at("version").as_int64()});
  }
  return head;
}

}  // namespace

ConfigHead HeadFromJson(std::string_view text) {
  try {
    return HeadFromValue(json::parse(text));
  } catch (const std::exception& e) {
    throw core::Error(ErrorCode::kBadIntent,
                      std::string("config/head: can't be read: ") + e.what());
  }
}

}  // namespace sapphire::contract

/** @file evidence_codec.cc Encodes crash evidence for other entries and for the
 * store. */
#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <functional>

#include "core/error_type.h"
#include "crash/evidence_codec_func.h"
#include "crash/evidence_func.h"

namespace sapphire::crash {

namespace json = boost::json;

namespace {

milliseconds AgeOf(core::SteadyTime at, core::SteadyTime now) {
  const auto age = std::chrono::duration_cast<milliseconds>(now - at);
  return std::max(age, milliseconds(0));
}

/** A clock that was set back makes an age negative. */
core::SteadyTime TimeOfAge(milliseconds age, core::SteadyTime now) {
  return now - std::max(age, milliseconds(0));
}

gen::RequestTrait ToMessage(const Trait& trait) {
  gen::RequestTrait message;
  message.whole_request = trait.kind == TraitKind::kRequest;
  message.hash = static_cast<std::int64_t>(trait.hash);
  return message;
}

Trait FromMessage(const gen::RequestTrait& message) {
  return {message.whole_request ? TraitKind::kRequest : TraitKind::kPromptPart,
          static_cast<std::uint64_t>(message.hash)};
}

std::int64_t WallMillis(core::SteadyTime at, const core::Clock& clock) {
  const auto wall = clock.WallNow() - AgeOf(at, clock.Now());
  return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch())
      .count();
}

core::SteadyTime FromWallMillis(const json::value& value,
                                const core::Clock& clock) {
  const core::WallTime wall{milliseconds(value.to_number<std::int64_t>())};
  const auto age =
      std::chrono::duration_cast<milliseconds>(clock.WallNow() - wall);
  return TimeOfAge(age, clock.Now());
}

Trait TraitAt(const json::value& value) {
  const auto trait = TraitNamed(json::value_to<std::string>(value));
  if (!trait) {
    throw core::Error(core::ErrorCode::kInternal, "unknown kind of trait");
  }
  return *trait;
}

/** Calls `read` with the parsed text. @throws core::Error kInternal */
template <typename T>
T Decode(const std::string& text,
         const std::function<T(const json::value&)>& read) {
  try {
    return read(json::parse(text));
  } catch (const std::exception& e) {
    throw core::Error(core::ErrorCode::kInternal,
                      std::string("crash evidence: ") + e.what());
  }
}

}  // namespace

gen::CrashSeen ToMessage(const CrashReport& report, core::SteadyTime now) {
  gen::CrashSeen message;
  message.engine_instance = report.instance.value();
  message.age_ms = AgeOf(report.at, now).count();
  for (const Trait& it : report.traits) message.traits.push_back(ToMessage(it));
  return message;
}

gen::TraitSurvived ToMessage(const Survival& survival, core::SteadyTime now) {
  gen::TraitSurvived message;
  message.trait = ToMessage(survival.trait);
  message.age_ms = AgeOf(survival.at, now).count();
  return message;
}

CrashReport FromMessage(const gen::CrashSeen& message, core::SteadyTime now) {
  CrashReport report;
  report.instance = fleet::InstanceId(message.engine_instance);
  report.at = TimeOfAge(milliseconds(message.age_ms), now);
  for (const gen::RequestTrait& it : message.traits) {
    report.traits.insert(FromMessage(it));
  }
  return report;
}

Survival FromMessage(const gen::TraitSurvived& message, core::SteadyTime now) {
  return {FromMessage(message.trait),
          TimeOfAge(milliseconds(message.age_ms), now)};
}

std::string Encode(const CrashReport& report, const core::Clock& clock) {
  json::array traits;
  for (const Trait& it : report.traits) traits.emplace_back(NameOf(it));
  json::object value;
  value["instance"] = report.instance.value();
  value["at_ms"] = WallMillis(report.at, clock);
  value["traits"] = std::move(traits);
  return json::serialize(value);
}

std::string Encode(const Survival& survival, const core::Clock& clock) {
  json::object value;
  value["trait"] = NameOf(survival.trait);
  value["at_ms"] = WallMillis(survival.at, clock);
  return json::serialize(value);
}

CrashReport DecodeCrashReport(const std::string& text,
                              const core::Clock& clock) {
  return Decode<CrashReport>(text, [&clock](const json::value& value) {
    CrashReport report;
    report.instance =
        fleet::InstanceId(json::value_to<std::string>(value.at("instance")));
    report.at = FromWallMillis(value.at("at_ms"), clock);
    for (const json::value& it : value.at("traits").as_array()) {
      report.traits.insert(TraitAt(it));
    }
    return report;
  });
}

Survival DecodeSurvival(const std::string& text, const core::Clock& clock) {
  return Decode<Survival>(text, [&clock](const json::value& value) {
    return Survival{TraitAt(value.at("trait")),
                    FromWallMillis(value.at("at_ms"), clock)};
  });
}

}  // namespace sapphire::crash

/** @file claim.cc Encodes claims as keys and values of the key-value service.
 */
#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>

#include "core/error_type.h"
#include "core/random_func.h"
#include "entry/claim_func.h"
#include "external/json_func.h"
#include "http/http_type.h"

namespace sapphire::entry {

namespace {

constexpr std::array<std::string_view, 3> kStateNames = {"claimed", "void",
                                                         "done"};
/** Two seeds give 128 bits: a collision of keys within a service is not
 * expected in the project's life, and the fingerprint would still reveal it. */
constexpr std::uint64_t kSecondSeed = 0x5a5a;

ClaimState StateNamed(std::string_view name) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name) return static_cast<ClaimState>(i);
  }
  throw core::Error(core::ErrorCode::kMalformedRequest,
                    "claim.state: " + std::string(name));
}

std::int64_t ToMillis(core::WallTime time) {
  return std::chrono::duration_cast<core::Millis>(time.time_since_epoch())
      .count();
}

/** Bodies may hold any bytes, JSON strings may not, so bodies are
 * percent-encoded. */
boost::json::object EncodeAnswer(const StoredAnswer& answer) {
  return {{"status", answer.head.status},
          {"content_type", answer.head.content_type},
          {"body", http::UrlEncode(answer.body)}};
}

StoredAnswer DecodeAnswer(const boost::json::object& object) {
  StoredAnswer answer;
  answer.head.status =
      static_cast<std::int32_t>(external::IntegerAt(object, "status"));
  answer.head.content_type = external::StringAt(object, "content_type");
  answer.body = http::UrlDecode(external::StringAt(object, "body"));
  return answer;
}

}  // namespace

std::string ClaimKey(const gen::Run& run) {
  std::string text = run.owner;
  text += '\0';
  text += run.idempotency_key;
  return fmt::format("{}{}/{:016x}{:016x}", kClaimPrefix, run.service_id,
                     core::HashOf(text), core::HashOf(text, kSecondSeed));
}

std::string EncodeClaim(const Claim& claim) {
  boost::json::object object{
      {"attempt", claim.attempt.value()},
      {"home", claim.entry.value()},
      {"state", kStateNames[static_cast<std::size_t>(claim.state)]},
      {"fingerprint", claim.fingerprint},
      {"created_ms", ToMillis(claim.created)}};
  if (claim.answer) object["answer"] = EncodeAnswer(*claim.answer);
  return boost::json::serialize(object);
}

Claim DecodeClaim(std::string_view json) {
  const boost::json::object object = external::ParseObject(json);
  Claim claim;
  claim.attempt = core::AttemptId(external::StringAt(object, "attempt"));
  claim.entry = core::VmId(external::StringAt(object, "home"));
  claim.state = StateNamed(external::StringAt(object, "state"));
  claim.fingerprint = external::IntegerAt(object, "fingerprint");
  claim.created =
      core::WallTime(core::Millis(external::IntegerAt(object, "created_ms")));
  const boost::json::value* answer = object.if_contains("answer");
  if (answer != nullptr) {
    claim.answer = DecodeAnswer(external::AsObject(*answer, "answer"));
  }
  return claim;
}

}  // namespace sapphire::entry

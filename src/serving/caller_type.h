/** @file caller_type.h Callers' requests and engines' answers, decoded. */
#ifndef SAPPHIRE_SERVING_CALLER_TYPE_H_
#define SAPPHIRE_SERVING_CALLER_TYPE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/id_type.h"
#include "fleet/engine_limits_base.h"
#include "fleet/engine_notice_type.h"
#include "fleet/engine_type.h"
#include "http/http_type.h"
#include "organisation/organisation_type.h"

namespace sapphire::serving {

using std::chrono::milliseconds;

/** A leading part of a prompt, which requests may share. */
struct PromptPart {
  std::uint64_t hash = 0;
  std::int64_t tokens = 0;
};

/** One attempt of a caller. */
struct CallerRequest {
  /** Id of this attempt; the caller's next attempt has another one. */
  core::RequestId id;
  std::string host;
  /** What engines receive: method, target, body and the header fields to
   * forward. */
  http::Request forward;
  /** Header fields with the caller's credentials; not part of `forward`. */
  std::vector<http::Header> credentials;
  /** How long the caller will wait. */
  milliseconds time_to_wait{0};
  /** Empty for a plain service. */
  core::ModelId model;
  core::AdapterId adapter;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  /** True if the caller states the two numbers above. */
  bool states_tokens = false;
  /** Empty if the caller sent no key, or a malformed one. */
  std::optional<organisation::ApiKey> api_key;
  std::vector<PromptPart> prompt_parts;
  /** Last event that the caller has received; the stream resumes after it. */
  std::optional<std::int64_t> last_event;
  /** The caller's attempt that received the stream's first event; empty unless
   * this one resumes it. */
  core::RequestId resumes;
};

/** Parameters of one send to one engine. */
struct SendOptions {
  /** The addressed instance; no other start of the engine may run the request.
   */
  fleet::InstanceId instance;
  /** The software version of that instance when it was chosen. */
  fleet::SoftwareVersion software_version;
  /** The engine stops processing after this. */
  milliseconds time_left{0};
  /** Priority inside the engine, 0 (first) to 9. */
  int rank = 0;
  /** The stream resumes after this event. */
  std::optional<std::int64_t> last_event;
  /** Organisation that sent the request; empty if none. */
  core::OrganisationId organisation;
  /** Forwards the caller's credentials, which only the engine checks. */
  bool pass_credentials = false;
};

/** The head of an engine's answer. */
struct EngineAnswer {
  int status = 0;
  /** The engine says that it did not run the request. */
  bool not_run = false;
  /** The answer carries an engine's mark: no other program sent it. */
  bool genuine = false;
  /** Engine that answers; empty if the answer names none. */
  fleet::EngineId engine;
  /** Request that is answered; empty if the answer names none. */
  core::RequestId id;
  /** Rate limit that the engine announces. */
  fleet::LimitNotice limit;
  /** What the engine says of itself. */
  fleet::EngineNotice notice;
  /** Head of the answer to the caller. */
  http::ResponseHead to_caller;
};

/** State that an engine reports when queried. */
struct EngineState {
  int running = 0;
  /** Requests queued inside the engine. */
  int waiting = 0;
  std::int64_t kv_tokens_used = 0;
  std::int64_t kv_tokens_total = 0;
  std::vector<fleet::LoadedModel> models;
  fleet::CachedCheckpoints copies;
};

/** Converts requests and answers from and to the callers' wire format. */
class CallerWire {
 public:
  virtual ~CallerWire() = default;
  /** @throws core::Error for a request that can't be read. */
  [[nodiscard]] virtual CallerRequest Decode(
      const http::Request& request) const = 0;
  /** @return The answer that reports `error` to the caller. */
  [[nodiscard]] virtual http::Response Refusal(
      const core::Error& error, const core::RequestId& id) const = 0;
};

/** Converts requests and answers to and from the engines' wire format. */
class EngineWire {
 public:
  virtual ~EngineWire() = default;
  [[nodiscard]] virtual http::Request Compose(
      const CallerRequest& request, const SendOptions& options) const = 0;
  [[nodiscard]] virtual EngineAnswer Read(
      const http::ResponseHead& head) const = 0;
  /** @return The query for an engine's load and held models; no other start
   * than `instance` answers it. */
  [[nodiscard]] virtual http::Request StateRequest(
      const fleet::InstanceId& instance) const = 0;
  /** @throws core::Error for an answer that can't be read. */
  [[nodiscard]] virtual EngineState ReadState(
      const http::Response& answer) const = 0;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_CALLER_TYPE_H_

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
  /** Names this attempt; a caller's next one has another id. */
  core::RequestId id;
  std::string host;
  /** What engines get: method, target, body and the fields to pass on. */
  http::Request forward;
  /** Fields with the caller's credentials, which are not among those. */
  std::vector<http::Header> credentials;
  /** How long the caller will wait. */
  milliseconds time_to_wait{0};
  /** Empty for a plain service. */
  core::ModelId model;
  core::AdapterId adapter;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  /** The caller states the two numbers above. */
  bool states_tokens = false;
  /** Nothing: the caller sent no key, or not in the form that is asked for. */
  std::optional<organisation::ApiKey> api_key;
  std::vector<PromptPart> prompt_parts;
  /** The caller has the stream up to this event and wants the rest. */
  std::optional<std::int64_t> last_event;
};

/** What goes with one send to one engine. */
struct SendOptions {
  /** The start of the engine that is meant: another one must not run it. */
  fleet::InstanceId instance;
  /** The engine stops its work after this. */
  milliseconds time_left{0};
  /** 0 to 9, 0 goes first inside the engine. */
  int rank = 0;
  /** The stream goes on after this event. */
  std::optional<std::int64_t> last_event;
  /** Whose request it is; empty: nobody's. */
  core::OrganisationId organisation;
  /** Callers' credentials are for the engine: none are asked for here. */
  bool pass_credentials = false;
};

/** The head of an engine's answer. */
struct EngineAnswer {
  int status = 0;
  /** The engine says that it did not run the request. */
  bool not_run = false;
  /** It bears the mark of an engine: no other program made it. */
  bool genuine = false;
  /** The engine that answers; empty if it names none. */
  fleet::EngineId engine;
  /** The request it answers; empty if it names none. */
  core::RequestId id;
  /** How many requests the engine takes. */
  fleet::LimitNotice limit;
  /** What the caller gets. */
  http::ResponseHead to_caller;
};

/** What an engine says of itself when it is asked. */
struct EngineState {
  int running = 0;
  /** Requests that wait inside it. */
  int waiting = 0;
  std::int64_t kv_tokens_used = 0;
  std::int64_t kv_tokens_total = 0;
  std::vector<fleet::LoadedModel> models;
  fleet::CachedCheckpoints copies;
};

/** Translates what callers send and get. */
class CallerWire {
 public:
  virtual ~CallerWire() = default;
  /** @throws core::Error for a request that can't be read. */
  [[nodiscard]] virtual CallerRequest Decode(
      const http::Request& request) const = 0;
  /** @return The answer that tells the caller of `error`. */
  [[nodiscard]] virtual http::Response Refusal(
      const core::Error& error, const core::RequestId& id) const = 0;
};

/** Translates what engines get and send. */
class EngineWire {
 public:
  virtual ~EngineWire() = default;
  [[nodiscard]] virtual http::Request Compose(
      const CallerRequest& request, const SendOptions& options) const = 0;
  [[nodiscard]] virtual EngineAnswer Read(
      const http::ResponseHead& head) const = 0;
  /** @return The question how busy an engine is and what it holds; another
   * start than `instance` does not answer it. */
  [[nodiscard]] virtual http::Request StateQuestion(
      const fleet::InstanceId& instance) const = 0;
  /** @throws core::Error for an answer that can't be read. */
  [[nodiscard]] virtual EngineState ReadState(
      const http::Response& answer) const = 0;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_CALLER_TYPE_H_

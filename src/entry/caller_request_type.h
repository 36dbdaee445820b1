/** @file caller_request_type.h A parsed caller's request. */
#ifndef SAPPHIRE_ENTRY_CALLER_REQUEST_TYPE_H_
#define SAPPHIRE_ENTRY_CALLER_REQUEST_TYPE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "core/id_type.h"

namespace sapphire::entry {

/** Limits on the timeout that callers may set. */
struct CallerLimits {
  std::chrono::milliseconds default_timeout{30'000};
  std::chrono::milliseconds max_timeout{600'000};
};

/** One request for a model or a plain service. */
struct CallerRequest {
  core::RequestId id;
  core::OwnerId owner;
  int priority = 0;
  std::chrono::milliseconds timeout{};

  core::ServiceId service;
  /** Empty for a plain service. */
  core::ModelId model;
  core::AdapterId adapter;
  /** The answer is sent part by part as it arrives. */
  bool stream = false;
  /** Runs at most once, as configured by the operators. */
  bool non_idempotent = false;
  /** Identifies resends of a call: the caller's Idempotency-Key, else its
   * X-Request-Id, else a generated id (a resend is not recognised then). */
  std::string idempotency_key;

  std::string method;
  /** The path sent to the endpoint, without /services/NAME. */
  std::string path;
  std::string content_type;
  std::string body;
  /** Equal for equal requests, whichever caller sends them and through
   * whichever entry. */
  std::int64_t fingerprint = 0;
  /** Equal for prompts that begin alike; 0 if there is no prompt. */
  std::int64_t prefix_hash = 0;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CALLER_REQUEST_TYPE_H_

/** @file caller_request_type.h A caller's request, understood. */
#ifndef SAPPHIRE_ENTRY_CALLER_REQUEST_TYPE_H_
#define SAPPHIRE_ENTRY_CALLER_REQUEST_TYPE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "core/id_type.h"

namespace sapphire::entry {

/** Bounds of what callers may ask for. */
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
  /** The answer is to be passed on part by part as it comes. */
  bool stream = false;
  /** Runs at most once, by the operators' word. */
  bool non_idempotent = false;
  /** Tells the same call sent again: the caller's Idempotency-Key, else its
   * X-Request-Id, else a key of our own (then a resend can't be told). */
  std::string idempotency_key;

  std::string method;
  /** As the endpoint is to see it: without /services/NAME. */
  std::string path;
  std::string content_type;
  std::string body;
  /** The same for equal work, whoever sends it and through whichever entry. */
  std::int64_t fingerprint = 0;
  /** The same for prompts that begin alike; 0 if there is no prompt. */
  std::int64_t prefix_hash = 0;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CALLER_REQUEST_TYPE_H_

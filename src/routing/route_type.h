/** @file route_type.h Defines routes, services and the configuration. */
#ifndef SAPPHIRE_ROUTING_ROUTE_TYPE_H_
#define SAPPHIRE_ROUTING_ROUTE_TYPE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "organisation/organisation_type.h"
#include "policy/placement_type.h"

namespace sapphire::routing {

using std::chrono::milliseconds;

/** Whether and how a request may be sent again. */
enum class RequestKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run at most once per attempt of its caller.
  kStream,         ///< Answered as a stream of events; can only be resumed.
};

/** A service of a route, and its weight among the route's services. */
struct ServiceShare {
  core::ServiceId service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /** Path prefix; begins and ends with a slash. */
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /** Contains at least one service. */
  std::vector<ServiceShare> services;
  /** Maximum time that a caller may have to wait. */
  milliseconds timeout{0};
  /** Target time to the first byte. */
  milliseconds objective{0};
  /** Maximum pause between two events of a stream that counts as on time. */
  milliseconds max_pause{0};
  /** Callers abandon a stream that has been silent for this long, also before
   * its first event. */
  milliseconds idle_timeout{0};
  /** Maximum number of engines that one request may run on. */
  int max_engines = 1;
  /** Priority of the requests; 0 is the most urgent. */
  int rank = 0;
  /** True if a stream may be resumed at another engine after its last complete
   * event. */
  bool resumable = false;
  /** True if requests name a model and the parts of their prompt. */
  bool names_model = false;
  /** True if requests need no API key. */
  bool is_public = false;
};

/** A model as declared by the operator. */
struct ModelSpec {
  core::ModelId id;
  std::int64_t bytes = 0;
  policy::LoadTimes load_times;
  int adapters = 0;
  std::int64_t adapter_bytes = 0;
};

/** Properties and capacity of each engine of a model service. */
struct EngineSpec {
  int max_running = 1;
  std::int64_t kv_tokens = 0;
  std::int64_t memory_bytes = 0;
  int max_adapters = 0;
  /** Loads from the weight store a second, for all engines together. */
  double loads_per_second = 0;
  std::map<core::ModelId, ModelSpec> models;
};

struct Service {
  core::ServiceId id;
  /** Set only for model services. */
  std::optional<EngineSpec> engine;
};

/** Limits on the size and timing of callers' requests. */
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/** One version of the operator's configuration; immutable once in force. */
struct Configuration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::map<core::ServiceId, Service> services;
  CallerLimits limits;
  /** If not set, requests need no API key. */
  std::optional<std::vector<organisation::Organisation>> organisations;
};

}  // namespace sapphire::routing

#endif  // SAPPHIRE_ROUTING_ROUTE_TYPE_H_

/** @file soak_type.h Defines the plan of a soak and the record of its run. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_TYPE_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_TYPE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock_base.h"
#include "routing/route_type.h"

namespace sapphire::deploy::soak {

using std::chrono::milliseconds;

enum class FaultKind {
  kEntryKill,    ///< SIGKILL, restarted at once.
  kEntryPause,   ///< SIGSTOP, then SIGCONT.
  kEntryStop,    ///< SIGTERM, restarted once it has exited.
  kEntryReload,  ///< SIGHUP.
  kEndpointKill,
  kEndpointPause,
  kEngineCrash,  ///< Refuses connections, then restarts as a new instance.
  kEngineDrain,  ///< Registers as draining, keeps serving, is replaced.
  kEngineReset,  ///< All of its connections are reset.
  kEngineDelay,
  kEngineSilent,  ///< Requests arrive, answers are dropped.
  kEngineCut,     ///< Drops traffic both ways, connections stay open.
  kStoreBusy,
  kStoreSilent,
  kStoreLosesAnswers,
  kStoreCut,      ///< One entry is cut off from the store.
  kConfigChange,  ///< A route is added.
  // The kinds below are drawn from separate random streams, so that existing
  // seeds keep their faults.
  kStorePartition,  ///< As kStoreCut, but affected connections stay silent.
  kEngineDeregistration,  ///< Its registration is deleted; it keeps serving.
  kKeyRevoke,             ///< An organisation's key is replaced by another.
  kEndpointOutage,        ///< SIGKILL, restarted after the fault's duration.
  kEngineLeave,     ///< Says so in its answers only, serves on, is replaced.
  kEngineRest,      ///< Turns requests away with 503 and asks for rest.
  kKeyMove,         ///< Nobody or another organisation gets a key.
  kAllEntriesKill,  ///< SIGKILL to all, restarted after the duration.
  kEngineRelease,   ///< Replaced by an engine of another software version.
};

/** Number of leading fault kinds that the main random stream draws from. */
inline constexpr int kBaseFaultKinds = 17;

inline constexpr std::array<std::string_view, 26> kFaultNames = {
    "entry_kill",    "entry_pause",     "entry_stop",          "entry_reload",
    "endpoint_kill", "endpoint_pause",  "engine_crash",        "engine_drain",
    "engine_reset",  "engine_delay",    "engine_silent",       "engine_cut",
    "store_busy",    "store_silent",    "store_loses_answers", "store_cut",
    "config_change", "store_partition", "engine_leave",        "key_revoke",
    "endpoint_lost", "engine_notice",   "engine_rest",         "key_move",
    "entries_kill",  "engine_release"};

/** In place of an organisation: nobody holds the key. */
inline constexpr int kNobody = -1;

struct Fault {
  FaultKind kind = FaultKind::kEntryKill;
  /** Time since the start of traffic. */
  milliseconds at{0};
  milliseconds duration{0};
  /** Index of the target entry, engine or organisation, if the kind has one. */
  int target = 0;
  /** With kEngineRest: the rest that the engine asks for. */
  milliseconds rest{0};
  /** With kKeyMove: the organisation that gets the key, or kNobody; with
   * kEngineRelease: the number of the software version. */
  int to = 0;
};

struct SoakPlan {
  std::uint64_t seed = 0;
  int entries = 3;
  int engines = 4;
  /** Number of additional engines, which belong to a plain service. */
  int plain = 2;
  int callers = 16;
  /** Number of times that an entry is cut off from the store while an engine
   * is deregistered without draining. */
  int departures = 0;
  /** Number of model engines, counted from the first, without an endpoint
   * process. */
  int engines_without_endpoint = 0;
  /** Number of long outages of an endpoint process. */
  int endpoint_outages = 0;
  /** Number of times that an endpoint process is killed soon after it has
   * returned from a long outage, while it takes its engine back. */
  int kills_after_outage = 0;
  /** Callers have keys, some keys are revoked, and one quota is exceeded. */
  bool organisations = false;
  /** Engines answer some streams without length or chunks, and break some off
   * while there are faults. */
  bool broken_answers = false;
  /** Model engines are of two software versions in turn, and callers take up
   * streams that were broken off. */
  bool software_versions = false;
  /** Callers share prompt parts, and one part crashes every engine that begins
   * to answer it while there are faults. */
  bool crashing_part = false;
  /** Number of times that engines leave and say so in their answers alone, and
   * that engines turn requests away and ask for rest. */
  int notices = 0;
  /** Number of times that a route is added while one entry can't reach the
   * store, or the store fails. */
  int routes_behind_faults = 0;
  /** Number of times that keys change hands while an engine is silent. */
  int key_moves = 0;
  /** Number of times that all entries are killed, in some of which engines are
   * replaced by those of another software version. */
  int kills_of_all_entries = 0;
  /** Duration of traffic with faults; traffic without faults follows. */
  milliseconds duration{12'000};
  std::vector<Fault> faults;
};

/** An execution of a request at an engine. */
struct Run {
  std::string instance;
  core::SteadyTime began;
  core::SteadyTime ended;
  bool finished = false;
};

/** What a caller has of a stream, over its attempts. */
struct StreamProgress {
  /** The attempt that brought the first event; empty without any event. */
  std::string first_attempt;
  int events = 0;
  /** Software version in the first event. */
  std::string version;
};

/** Outcome of an attempt of a caller. */
enum class AttemptEnd {
  kServed,
  kRefused,           ///< With a status that guarantees that it has not run.
  kFailed,            ///< Any other status.
  kConnectionFailed,  ///< The connection failed, or the answer was cut.
  kTimedOut,          ///< No final answer in time.
  kCancelled,         ///< The caller cancelled the request.
};

struct Attempt {
  std::string id;
  routing::RequestKind kind = routing::RequestKind::kIdempotent;
  int entry = 0;
  core::SteadyTime sent;
  core::SteadyTime ended;
  AttemptEnd end = AttemptEnd::kServed;
  int status = 0;
  /** API key of the request; empty if none was sent. */
  std::string key;
  /** True for a request with kCrashingPart. */
  bool crashes_engines = false;
  /** When the store acknowledged the route; no value for a path without one.
   */
  std::optional<core::SteadyTime> route_since = core::SteadyTime();
  /** True for a success whose body is not the engine's complete answer to this
   * request. */
  bool corrupt = false;
};

/** A period in which a fault suspends some of the checks. */
struct Disturbance {
  core::SteadyTime from;
  core::SteadyTime to;
};

/** The time at which an engine was registered as draining or deregistered. */
struct EngineDeparture {
  std::string instance;
  core::SteadyTime at;
};

/** An answer in which an engine said that it leaves, as a caller received it.
 */
struct LeaveNotice {
  int entry = 0;
  std::string instance;
  core::SteadyTime at;
};

/** A request that an engine turned away. */
struct TurnedAway {
  std::string request;
  std::string instance;
  core::SteadyTime at;
  /** The rest that the engine asked for; 0 for none. */
  milliseconds rest{0};
};

/** The time at which a configuration gave a key to an organisation. */
struct KeyChange {
  std::string key;
  /** The organisation; empty if nobody holds the key from then on. */
  std::string holder;
  core::SteadyTime at;
};

/** The organisation that an engine was told with a request. */
struct NamedOrganisation {
  std::string request;
  std::string organisation;
  core::SteadyTime at;
};

/** A time in which an engine's answers did not arrive. */
struct EngineSilence {
  std::string instance;
  Disturbance time;
};

/** An order that an engine received. */
struct ReceivedOrder {
  std::string instance;
  std::string holder;
  std::int64_t fence = 0;
  core::SteadyTime at;
};

/** Everything that callers and engines observed during a soak. */
struct SoakRecord {
  std::map<std::string, std::vector<Run>> runs;
  std::vector<Attempt> attempts;
  std::vector<ReceivedOrder> orders;
  std::vector<EngineDeparture> engine_departures;
  /** In order of time, from the first holders on; empty without organisations.
   */
  std::vector<KeyChange> key_changes;
  std::vector<NamedOrganisation> organisations;
  std::vector<EngineSilence> engine_silences;
  /** When the store acknowledged each added route, by its number. */
  std::vector<core::SteadyTime> routes_added;
  std::vector<LeaveNotice> leave_notices;
  std::vector<TurnedAway> turned_away;
  /** Ids of requests with which the caller's credentials were passed on to the
   * engine. */
  std::vector<std::string> credentials_passed_on;
  std::vector<std::string> over_memory;
  /** First attempts of streams with events of two software versions. */
  std::vector<std::string> joined_versions;
  /** Attempts that took a stream up, and those of them that got events. */
  int taken_up = 0;
  int went_on = 0;
  /** When all entries were killed, and in how many of these times the last
   * engine of a software version left. */
  std::vector<core::SteadyTime> kills_of_all_entries;
  int versions_lost = 0;
  /** Streams that these kills broke off: those that got more events when they
   * were taken up, and those that did not. */
  int rejoined = 0;
  int not_rejoined = 0;
  /** Disturbances of entries, by the entry's index. */
  std::map<int, std::vector<Disturbance>> entry_disturbed;
  /** Graceful stops of entries, from the signal to the exit. */
  std::map<int, std::vector<Disturbance>> entry_stopping;
  std::vector<Disturbance> store_disturbed;
  /** Periods in which an entry could not reach the store, by its index. */
  std::map<int, std::vector<Disturbance>> store_unreachable;
  /** Number of engine crashes caused by requests with kDeadlyBody. */
  int deadly_crashes = 0;
  /** When requests with kCrashingPart crashed an engine, by attempt. */
  std::vector<std::pair<std::string, core::SteadyTime>> part_crashes;
  /** VMs whose process exited unexpectedly. */
  std::vector<std::string> unexpected_exits;
  core::SteadyTime fault_free_from;
};

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_TYPE_H_

/** @file soak_type.h What a soak plays, and what it records. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_TYPE_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_TYPE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock_base.h"
#include "routing/route_type.h"

namespace sapphire::deploy::soak {

using std::chrono::milliseconds;

enum class FaultKind {
  kEntryKill,    ///< SIGKILL, started again at once.
  kEntryPause,   ///< SIGSTOP, then SIGCONT.
  kEntryStop,    ///< SIGTERM, started again once it has ended.
  kEntryReload,  ///< SIGHUP.
  kEndpointKill,
  kEndpointPause,
  kEngineCrash,  ///< Refuses connections, comes back as another start.
  kEngineDrain,  ///< Says so, serves on, is replaced.
  kEngineReset,  ///< All of its connections are reset.
  kEngineDelay,
  kEngineSilent,  ///< Requests arrive, answers do not.
  kEngineCut,     ///< Nothing passes, connections stay open.
  kStoreBusy,
  kStoreSilent,
  kStoreLosesAnswers,
  kStoreCut,      ///< One entry reaches it no more.
  kConfigChange,  ///< A route is added.
  // Not drawn with the others, so that earlier seeds stay what they were.
  kStorePartition,  ///< As kStoreCut, but connections of that time stay silent.
  kEngineLeave,     ///< Its entry goes without a word; it serves on.
  kKeyRevoke,       ///< An organisation's key is replaced by another.
  kEndpointLost,    ///< SIGKILL, started again after the fault's length.
};

/** Kinds of which every seed draws. */
inline constexpr int kDrawnKinds = 17;

inline constexpr std::array<std::string_view, 21> kFaultNames = {
    "entry_kill",    "entry_pause",     "entry_stop",          "entry_reload",
    "endpoint_kill", "endpoint_pause",  "engine_crash",        "engine_drain",
    "engine_reset",  "engine_delay",    "engine_silent",       "engine_cut",
    "store_busy",    "store_silent",    "store_loses_answers", "store_cut",
    "config_change", "store_partition", "engine_leave",        "key_revoke",
    "endpoint_lost"};

struct Fault {
  FaultKind kind = FaultKind::kEntryKill;
  /** From the start of traffic. */
  milliseconds at{0};
  milliseconds length{0};
  /** Index of the entry or engine, where the kind has one. */
  int target = 0;
};

struct SoakPlan {
  std::uint64_t seed = 0;
  int entries = 3;
  int engines = 4;
  /** Engines of a plain service, besides. */
  int plain = 2;
  int callers = 16;
  /** Times that an entry loses the store while engines leave without a word. */
  int departures = 0;
  /** Model engines, the first ones, without a process beside them. */
  int unattended = 0;
  /** Times that the process beside an engine is gone for long. */
  int endpoint_losses = 0;
  /** Callers have keys, some are taken away, and one quota is exceeded. */
  bool organisations = false;
  /** Of traffic with faults; a quiet time follows. */
  milliseconds length{12'000};
  std::vector<Fault> faults;
};

/** A run of a request at an engine. */
struct Run {
  std::string instance;
  core::SteadyTime began;
  core::SteadyTime ended;
  bool over = false;
};

/** How an attempt of a caller ended. */
enum class AttemptEnd {
  kServed,
  kRefused,  ///< With a status that promises that it has not run.
  kFailed,   ///< Any other status.
  kBroken,   ///< The connection failed, or the answer was cut.
  kSilent,   ///< No final answer in time.
  kLeft,     ///< The caller gave up by itself.
};

struct Attempt {
  std::string id;
  routing::RequestKind kind = routing::RequestKind::kIdempotent;
  int entry = 0;
  core::SteadyTime sent;
  core::SteadyTime ended;
  AttemptEnd end = AttemptEnd::kServed;
  int status = 0;
  /** Empty: none was sent. */
  std::string key;
  /** A success whose body is not the engine's whole answer to this request. */
  bool spoiled = false;
};

/** A time in which something is not held to its promises. */
struct Disturbance {
  core::SteadyTime from;
  core::SteadyTime to;
};

/** When an engine's entry said that it is draining, or went. */
struct Draining {
  std::string instance;
  core::SteadyTime at;
};

/** When a key was taken away and another given in its place. */
struct Revocation {
  std::string key;
  std::string next;
  core::SteadyTime at;
};

/** An order that an engine was given. */
struct SeenOrder {
  std::string instance;
  std::string holder;
  std::int64_t fence = 0;
  core::SteadyTime at;
};

/** All that callers and engines saw. */
struct SoakRecord {
  std::map<std::string, std::vector<Run>> runs;
  std::vector<Attempt> attempts;
  std::vector<SeenOrder> orders;
  std::vector<Draining> drainings;
  std::vector<Revocation> revocations;
  /** Runs for another organisation than the caller's, or with its key. */
  std::vector<std::string> misattributed;
  std::vector<std::string> overfull;
  /** By entry. */
  std::map<int, std::vector<Disturbance>> entry_disturbed;
  std::vector<Disturbance> store_disturbed;
  /** By entry: it did not reach the store. */
  std::map<int, std::vector<Disturbance>> store_out_of_reach;
  /** Engines lost to one deadly request. */
  int deadly_crashes = 0;
  /** Programs that ended by themselves. */
  std::vector<std::string> ended_alone;
  core::SteadyTime quiet_from;
};

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_TYPE_H_

/** @file judge_func.h Judges a deployment by what the engines recorded. */
#ifndef SAPPHIRE_TESTS_JUDGE_FUNC_H_
#define SAPPHIRE_TESTS_JUDGE_FUNC_H_

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "tests/fleet_base.h"

namespace sapphire::tests {

/** One stay of a model in an engine's memory, wall time in milliseconds. */
struct ReplicaStay {
  std::string vm;
  std::string model;
  std::int64_t began = 0;
  /** 0 while it loads. */
  std::int64_t ready = 0;
  /** The largest number while it is held. */
  std::int64_t ended = 0;
  /** "held", "unloaded", "load_failed" or "crashed". */
  std::string end;
};

/** @return Wall time in milliseconds, as in the stand-ins' records. */
std::int64_t WallMillis();

/** @return The stays in an engine's record. */
std::vector<ReplicaStay> StaysOf(const std::string& vm,
                                 const boost::json::object& record);

/** @return The stays in the records of all of these engines. */
std::vector<ReplicaStay> StaysOf(Fleet& fleet,
                                 const std::vector<std::string>& vms);

/** @return The most replicas of these models, together, that all engines
 * together held at one time, a load counted from its beginning. */
int PeakReplicas(const std::vector<ReplicaStay>& stays,
                 const std::set<std::string>& models);

/** @return True if the reply is this request's own, whole answer. */
bool IsOwnWholeAnswer(const Reply& reply, const std::string& id, int tokens);

/** @return True if the reply is a refusal that names its type. */
bool IsTypedRefusal(const Reply& reply);

/** @return Requests that an engine started, or that ran in the plain service,
 * after this wall time. */
int StartedAfter(const boost::json::object& record, std::int64_t wall_ms);

/** @return Requests in an engine's record that are running now. */
int RunningIn(const boost::json::object& record);

}  // namespace sapphire::tests

#endif  // SAPPHIRE_TESTS_JUDGE_FUNC_H_

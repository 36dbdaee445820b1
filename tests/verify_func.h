/** @file verify_func.h Checks of replies and of the engines' records. */
#ifndef SAPPHIRE_TESTS_VERIFY_FUNC_H_
#define SAPPHIRE_TESTS_VERIFY_FUNC_H_

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "tests/fleet_base.h"

namespace sapphire::tests {

/** One replica in an engine's memory; wall times in milliseconds. */
struct ReplicaRecord {
  std::string vm;
  std::string model;
  std::int64_t began = 0;
  /** 0 while the replica is loading. */
  std::int64_t ready = 0;
  /** The largest value while the replica is held. */
  std::int64_t ended = 0;
  /** "held", "unloaded", "load_failed" or "crashed". */
  std::string end;
};

/** @return Wall time in milliseconds, as in the stand-ins' records. */
std::int64_t WallMillis();

/** @return The replicas in an engine's record. */
std::vector<ReplicaRecord> ReplicaRecordsOf(const std::string& vm,
                                            const boost::json::object& record);

/** @return The replicas in the records of these VMs' engines. */
std::vector<ReplicaRecord> ReplicaRecordsOf(
    Fleet& fleet, const std::vector<std::string>& vms);

/** @return The largest number of replicas of these models that all engines
 * together held at one time, counted from the start of each load. */
int PeakReplicaCount(const std::vector<ReplicaRecord>& replicas,
                     const std::set<std::string>& models);

/** @return True if the reply is the complete answer to this request. */
bool IsOwnCompleteAnswer(const Reply& reply, const std::string& id, int tokens);

/** @return True if the reply is an error with a problem type. */
bool IsTypedRefusal(const Reply& reply);

/** @return How many requests the engine or plain service started after this
 * wall time. */
int CountStartedAfter(const boost::json::object& record, std::int64_t wall_ms);

/** @return How many requests in an engine's record are running. */
int CountRunning(const boost::json::object& record);

}  // namespace sapphire::tests

#endif  // SAPPHIRE_TESTS_VERIFY_FUNC_H_

/** @file verify.cc Checks of replies and of the engines' records. */
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>

#include "tests/verify_func.h"

namespace sapphire::tests {

namespace json = boost::json;

namespace {

std::int64_t NumberAt(const json::object& object, std::string_view field) {
  return object.at(field).to_number<std::int64_t>();
}

}  // namespace

std::int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::vector<ReplicaRecord> ReplicaRecordsOf(const std::string& vm,
                                            const json::object& record) {
  std::vector<ReplicaRecord> replicas;
  for (const json::value& it : record.at("replicas").as_array()) {
    const json::object& object = it.as_object();
    ReplicaRecord& replica = replicas.emplace_back();
    replica.vm = vm;
    replica.model = std::string(object.at("model").as_string());
    replica.began = NumberAt(object, "load_began");
    replica.ready = NumberAt(object, "ready");
    replica.ended = NumberAt(object, "ended");
    replica.end = std::string(object.at("end").as_string());
    if (replica.ended == 0) {
      replica.ended = std::numeric_limits<std::int64_t>::max();
    }
  }
  return replicas;
}

std::vector<ReplicaRecord> ReplicaRecordsOf(
    Fleet& fleet, const std::vector<std::string>& vms) {
  std::vector<ReplicaRecord> replicas;
  for (const std::string& vm : vms) {
    for (ReplicaRecord& replica : ReplicaRecordsOf(vm, fleet.Record(vm))) {
      replicas.push_back(std::move(replica));
    }
  }
  return replicas;
}

int PeakReplicaCount(const std::vector<ReplicaRecord>& replicas,
                     const std::set<std::string>& models) {
  // Changes of the replica count by time, summed per millisecond because the
  // records don't show the order within one.
  std::map<std::int64_t, int> changes;
  for (const ReplicaRecord& it : replicas) {
    if (!models.contains(it.model)) continue;
    ++changes[it.began];
    --changes[it.ended];
  }
  int held = 0;
  int peak = 0;
  for (const auto& [at, change] : changes) {
    held += change;
    peak = std::max(peak, held);
  }
  return peak;
}

bool IsOwnCompleteAnswer(const Reply& reply, const std::string& id,
                         int tokens) {
  if (!reply.ok()) return false;
  for (int i = 0; i < tokens; ++i) {
    if (reply.body.find(fmt::format("{}#{}", id, i)) == std::string::npos) {
      return false;
    }
  }
  return true;
}

bool IsTypedRefusal(const Reply& reply) {
  return reply.failure.empty() && reply.status >= 400 &&
         !reply.problem().empty();
}

int CountStartedAfter(const json::object& record, std::int64_t wall_ms) {
  const bool engine = record.contains("requests");
  const auto& runs = record.at(engine ? "requests" : "runs").as_array();
  return static_cast<int>(std::ranges::count_if(runs, [&](const auto& run) {
    return NumberAt(run.as_object(), engine ? "started" : "at_ms") > wall_ms;
  }));
}

int CountRunning(const json::object& record) {
  const auto& runs = record.at("requests").as_array();
  return static_cast<int>(std::ranges::count_if(
      runs, [](const auto& run) { return run.at("outcome") == "running"; }));
}

}  // namespace sapphire::tests

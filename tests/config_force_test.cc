/** @file config_force_test.cc Tests that a confirmed configuration takes effect
 * on every VM within seconds and is never replaced by an older one. */
#define BOOST_TEST_MODULE config_force
#include <fmt/format.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "tests/verify_func.h"

namespace sapphire::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time limit for a confirmed configuration to be in force on every VM. */
constexpr seconds kInForceWithin{10};
constexpr milliseconds kPollInterval{50};
constexpr int kTokens = 4;
constexpr int kLongAnswer = 150;

/** @param max_replicas Limit of "itinerary".
 * @param more Names of further models, with one replica each. */
std::string Intent(int max_replicas, const std::vector<std::string>& more) {
  constexpr std::string_view kModel =
      "[[model]]\nname = \"{}\"\nservice = \"cabin\"\n"
      "weight_bytes = \"100 MB\"\nkv_budget_bytes = \"50 MB\"\n"
      "max_replicas = {}\nmax_concurrent = 4\n";
  std::string text =
      "deployment = \"meander\"\n[[service]]\nname = \"cabin\"\n"
      "max_replicas = 6\n";
  text += fmt::format(fmt::runtime(kModel), "itinerary", max_replicas);
  for (const std::string& it : more) {
    text += fmt::format(fmt::runtime(kModel), it, 1);
  }
  return text;
}

struct Deployment {
  Deployment() : fleet(SAPPHIRE_BIN_DIR "/bin", "config-force") {
    fleet.entry_settings =
        "vm_list_interval_ms = 200\nheartbeat_ms = 100\n"
        "dead_after_ms = 1000\nkv_timeout_ms = 500\n";
    fleet.endpoint_settings =
        "heartbeat_ms = 100\ndead_after_ms = 1000\nkv_timeout_ms = 500\n"
        "audit_ms = 1000\n";
    for (const std::string& vm : vms) {
      fleet.AddEngine(vm, "zone-a",
                      {"--memory-bytes", "1000000000", "--disk-tier",
                       "itinerary,lunch,dinner", "--disk-bytes-per-second",
                       "500000000", "--token-ms", "10"});
    }
    for (const std::string& entry : entries) fleet.AddEntry(entry, "zone-a");
    fleet.PublishVms();
    fleet.Confirm(Intent(2, {}));
  }

  /** @return The id of a new plan. */
  std::string Plan(const std::string& entry, const std::string& intent) {
    const auto plan =
        fleet.Admin(entry, {"POST",
                            "/admin/v1/plans",
                            {{"Content-Type", "application/toml"}},
                            intent});
    return std::string(plan.at("id").as_string());
  }

  std::future<Reply> ConfirmAsync(const std::string& entry,
                                  const std::string& plan) {
    return fleet.SendAsync(
        fleet.EntryAddress(entry),
        {"POST", "/admin/v1/plans/" + plan + "/confirm", {}, ""});
  }

  std::int64_t VersionAt(const std::string& entry) {
    return fleet.Admin(entry, {"GET", "/admin/v1/config", {}, ""})
        .at("version")
        .to_number<std::int64_t>();
  }

  /** @return Each VM's version as the entry reports it; 0 if not linked. */
  std::map<std::string, std::int64_t> VersionsReportedBy(
      const std::string& entry) {
    std::map<std::string, std::int64_t> versions;
    const Reply reply = fleet.Send(fleet.EntryAddress(entry),
                                   {"GET", "/admin/v1/status", {}, ""});
    if (!reply.ok()) return versions;
    const auto status = boost::json::parse(reply.body);
    for (const auto& it : status.at("vms").as_array()) {
      const auto& version = it.at("version");
      versions[std::string(it.at("vm").as_string())] =
          version.is_null() ? 0 : version.to_number<std::int64_t>();
    }
    return versions;
  }

  /** Waits until every entry reports this version for every VM.
   * @return False if that takes longer than kInForceWithin. */
  bool WaitUntilInForce(std::int64_t version) {
    return Eventually(
        [&] {
          for (const std::string& entry : entries) {
            const auto versions = VersionsReportedBy(entry);
            if (versions.size() != vms.size() + entries.size()) return false;
            for (const auto& [vm, it] : versions) {
              if (it != version) return false;
            }
          }
          return true;
        },
        kInForceWithin);
  }

  /** Confirms an intent, then makes the key-value service return the previous
   * head and restores the previous parts, as on a lagging replica.
   * @return The confirmed version. */
  std::int64_t ConfirmThenShowOldHead(const std::string& intent) {
    const std::string kv = fleet.StandInAddress("kv");
    const Reply before =
        fleet.Send(kv, {"GET", "/kv?prefix=config/parts/", {}, ""});
    const std::string plan = Plan("entry-1", intent);
    const Reply reply = ConfirmAsync("entry-1", plan).get();
    BOOST_REQUIRE_MESSAGE(reply.ok(), reply.body + reply.failure);
    const auto parts = boost::json::parse(before.body);
    for (const auto& it : parts.at("entries").as_array()) {
      const boost::json::object write{{"key", it.at("key")},
                                      {"expected", 0},
                                      {"value", it.at("value")},
                                      {"lease", ""}};
      fleet.Send(kv, {"POST", "/cas", {}, boost::json::serialize(write)});
    }
    fleet.SetFaults("kv", R"({"show_old_key":"config/head"})");
    return VersionAt("entry-1");
  }

  /** @return The configuration version with which the ledger was last
   * written. */
  std::int64_t LedgerVersion() {
    const Reply reply = fleet.Send(fleet.StandInAddress("kv"),
                                   {"GET", "/kv?key=ledger/cabin", {}, ""});
    const auto answer = boost::json::parse(reply.body);
    const auto& entry = answer.at("entry");
    const auto ledger = boost::json::parse(entry.at("value").as_string());
    return ledger.at("config").to_number<std::int64_t>();
  }

  /** Ends each entry's watch and reports a gap, so that the entries read the
   * head again. */
  void EndWatchesWithGap() {
    fleet.SetFaults("kv", fmt::format(R"({{"watch_gap":{}}})", entries.size()));
    const boost::json::object write{
        {"key", fmt::format("config/head/{}", sent++)},
        {"expected", 0},
        {"value", ""},
        {"lease", ""}};
    fleet.Send(fleet.StandInAddress("kv"),
               {"POST", "/cas", {}, boost::json::serialize(write)});
  }

  bool Serves(const std::string& entry, const std::string& model) {
    const std::string id = fmt::format("guest-{}", sent++);
    const Reply reply =
        fleet.Send(fleet.EntryAddress(entry),
                   ChatRequest(model, "hi", id, false, kTokens));
    return IsOwnCompleteAnswer(reply, id, kTokens);
  }

  const std::vector<std::string> vms = {"engine-1", "engine-2", "engine-3"};
  const std::vector<std::string> entries = {"entry-1", "entry-2"};
  Fleet fleet;
  int sent = 0;
};

/** Polls the version of each VM as reported by each entry. */
class VersionMonitor {
 public:
  explicit VersionMonitor(Deployment& deployment)
      : deployment_(deployment), thread_([this] { Run(); }) {}
  ~VersionMonitor() { Stop(); }

  /** Stops polling.
   * @return How often a version was lower than an earlier one. */
  int Stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
    BOOST_TEST(samples_ > 0);
    return decreases_;
  }

 private:
  void Run() {
    while (!stopped_) {
      for (const std::string& entry : deployment_.entries) {
        for (const auto& [vm, version] :
             deployment_.VersionsReportedBy(entry)) {
          RecordVersion({entry, vm}, version);
        }
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  /** Version 0 is ignored: a VM that isn't linked or has just started has no
   * version yet. */
  void RecordVersion(const std::pair<std::string, std::string>& view,
                     std::int64_t version) {
    if (version == 0) return;
    ++samples_;
    std::int64_t& newest = newest_[view];
    if (version < newest) ++decreases_;
    newest = std::max(newest, version);
  }

  Deployment& deployment_;
  std::atomic<bool> stopped_ = false;
  /** Keyed by the reporting entry and the VM. */
  std::map<std::pair<std::string, std::string>, std::int64_t> newest_;
  int samples_ = 0;
  int decreases_ = 0;
  std::thread thread_;
};

// Two operators confirm plans with the same base version at two entries at the
// same time. If both took effect, one would silently undo the other: exactly
// one must succeed, and the other must get `plan_conflict`.
BOOST_AUTO_TEST_CASE(OneOfTwoConflictingPlansIsConfirmed) {
  Deployment deployment;
  const VersionMonitor watch(deployment);
  for (int i = 0; i < 5; ++i) {
    const std::int64_t base = deployment.VersionAt("entry-1");
    const bool even = i % 2 == 0;
    const std::string lunch =
        deployment.Plan("entry-1", Intent(even ? 1 : 2, {"lunch"}));
    const std::string dinner =
        deployment.Plan("entry-2", Intent(even ? 1 : 2, {"dinner"}));
    auto first = deployment.ConfirmAsync("entry-1", lunch);
    auto second = deployment.ConfirmAsync("entry-2", dinner);
    const Reply one = first.get();
    const Reply two = second.get();
    BOOST_TEST(one.ok() != two.ok());
    const Reply& lost = one.ok() ? two : one;
    BOOST_TEST(lost.problem() == "plan_conflict", lost.body);
    BOOST_TEST(deployment.WaitUntilInForce(base + 1));
    const std::string winner = one.ok() ? "lunch" : "dinner";
    const std::string loser = one.ok() ? "dinner" : "lunch";
    BOOST_TEST(deployment.Serves("entry-1", winner));
    BOOST_TEST(!deployment.Serves("entry-2", loser));
  }
}

// The swap of a confirmation takes effect but its answer is lost, or the
// service closes the connection and applies the swap late. The operator must
// not see an error for a plan that took effect, and the plan must be applied
// only once.
BOOST_AUTO_TEST_CASE(LostOrLateSwapIsConfirmedOnce) {
  Deployment deployment;
  VersionMonitor watch(deployment);
  for (
      const char* fault :
      {R"({"write_prefix":"config/head","lose_answers":1})",
       R"({"write_prefix":"config/head","late_writes":1,"late_writes_ms":700})",
       R"({"write_prefix":"config/head","late_writes":2,"late_writes_ms":300})"}) {
    const std::int64_t base = deployment.VersionAt("entry-2");
    const std::string plan =
        deployment.Plan("entry-2", Intent(base % 2 == 0 ? 1 : 2, {}));
    deployment.fleet.SetFaults("kv", fault);
    const Reply reply = deployment.ConfirmAsync("entry-2", plan).get();
    BOOST_TEST(reply.ok(), reply.body << reply.failure);
    BOOST_TEST(deployment.WaitUntilInForce(base + 1));
    // Longer than the delay of the late swap.
    std::this_thread::sleep_for(seconds(1));
    BOOST_TEST(deployment.WaitUntilInForce(base + 1));
  }
  BOOST_TEST(watch.Stop() == 0);
}

// After a confirmation the key-value service returns the previous head, as a
// lagging replica would, and its watches report gaps, so that entries read the
// head again. None may return to the older version: limits that operators
// lowered would be raised again.
BOOST_AUTO_TEST_CASE(OlderHeadIsIgnored) {
  Deployment deployment;
  const std::int64_t version =
      deployment.ConfirmThenShowOldHead(Intent(2, {"lunch"}));
  BOOST_TEST(deployment.WaitUntilInForce(version));
  VersionMonitor watch(deployment);
  for (int i = 0; i < 10; ++i) {
    deployment.EndWatchesWithGap();
    std::this_thread::sleep_for(milliseconds(200));
    BOOST_TEST(deployment.Serves(i % 2 == 0 ? "entry-1" : "entry-2", "lunch"));
  }
  // An endpoint that starts now gets the current version from the entries.
  deployment.fleet.RestartEndpoint("engine-1");
  deployment.fleet.PublishVms();
  BOOST_TEST(deployment.WaitUntilInForce(version));
  BOOST_TEST(watch.Stop() == 0);
}

// An entry starts while the service returns the previous head. It must reach
// the version of the other entries, not keep the older one.
BOOST_AUTO_TEST_CASE(EntryThatStartsOnAnOlderHeadCatchesUp) {
  Deployment deployment;
  const std::int64_t version =
      deployment.ConfirmThenShowOldHead(Intent(2, {"lunch"}));
  deployment.fleet.RestartEntry("entry-2");
  deployment.fleet.PublishVms();
  BOOST_TEST(deployment.WaitUntilInForce(version));
  BOOST_TEST(deployment.Serves("entry-2", "lunch"));
}

// One entry and one endpoint are frozen during a confirmation, and resume after
// the key-value service has gone down. They must get the new configuration over
// the links, and the confirmation must have listed them in `not_yet`.
BOOST_AUTO_TEST_CASE(ConfigSpreadsOverLinksWhileKeyValueIsDown) {
  Deployment deployment;
  const std::int64_t base = deployment.VersionAt("entry-1");
  deployment.fleet.entry("entry-2").process->Signal(SIGSTOP);
  deployment.fleet.endpoint("engine-3").process->Signal(SIGSTOP);
  const std::string plan = deployment.Plan("entry-1", Intent(2, {"lunch"}));
  const Reply reply = deployment.ConfirmAsync("entry-1", plan).get();
  deployment.fleet.SetFaults("kv", R"({"down":true})");
  BOOST_REQUIRE_MESSAGE(reply.ok(), reply.body + reply.failure);
  std::set<std::string> not_yet;
  const auto answer = boost::json::parse(reply.body);
  for (const auto& it : answer.at("not_yet").as_array()) {
    not_yet.emplace(it.at("vm").as_string());
  }
  BOOST_TEST(not_yet.contains("entry-2"));
  BOOST_TEST(not_yet.contains("engine-3"));
  BOOST_TEST(not_yet.size() == 2U);
  deployment.fleet.entry("entry-2").process->Signal(SIGCONT);
  deployment.fleet.endpoint("engine-3").process->Signal(SIGCONT);
  BOOST_TEST(deployment.WaitUntilInForce(base + 1));
  // Processes that start without state while the service is still down.
  deployment.fleet.RestartEntry("entry-2");
  deployment.fleet.RestartEndpoint("engine-1");
  deployment.fleet.PublishVms();
  BOOST_TEST(deployment.WaitUntilInForce(base + 1));
}

// Callers stream from two replicas when the operator lowers the limit to one.
// The surplus replica is unloaded, but only after its streams have ended.
BOOST_AUTO_TEST_CASE(LoweredLimitUnloadsSurplusGracefully) {
  Deployment deployment;
  std::vector<std::pair<std::string, std::future<Reply>>> streams;
  const auto held = [&] {
    int n = 0;
    for (const ReplicaRecord& it :
         ReplicaRecordsOf(deployment.fleet, deployment.vms)) {
      n += it.end == "held" ? 1 : 0;
    }
    return n;
  };
  BOOST_REQUIRE(Eventually([&] {
    // Adds callers until a second replica is loaded.
    if (streams.size() < 60) {
      const std::string id = fmt::format("stream-{}", streams.size());
      streams.emplace_back(
          id, deployment.fleet.SendAsync(
                  deployment.fleet.EntryAddress("entry-1"),
                  ChatRequest("itinerary", "a walk", id, true, kLongAnswer)));
    }
    return held() == 2;
  }));
  deployment.fleet.Confirm(Intent(1, {}));
  const std::int64_t confirmed = WallMillis();
  int bad = 0;
  for (auto& [id, future] : streams) {
    const Reply reply = future.get();
    const bool whole = IsOwnCompleteAnswer(reply, id, kLongAnswer) &&
                       reply.body.find("[DONE]") != std::string::npos;
    bad += whole || IsTypedRefusal(reply) ? 0 : 1;
  }
  BOOST_TEST(bad == 0);
  BOOST_TEST(Eventually([&] { return held() == 1; }));
  BOOST_TEST(deployment.Serves("entry-1", "itinerary"));
  BOOST_TEST(held() == 1);
  // Loads after the confirmation must respect the new limit.
  std::vector<ReplicaRecord> later;
  for (const ReplicaRecord& it :
       ReplicaRecordsOf(deployment.fleet, deployment.vms)) {
    if (it.began > confirmed) later.push_back(it);
  }
  BOOST_TEST(PeakReplicaCount(later, {"itinerary"}) <= 1);
}

// An endpoint is frozen while the operator lowers a limit, and another restarts
// just after. Both must load by the confirmed limit: one that still used the
// old limit would load a replica too many.
BOOST_AUTO_TEST_CASE(NoReplicaIsLoadedByTheOldLimit) {
  Deployment deployment;
  BOOST_REQUIRE(deployment.Serves("entry-1", "itinerary"));
  deployment.fleet.endpoint("engine-2").process->Signal(SIGSTOP);
  const std::string plan = deployment.Plan("entry-1", Intent(1, {}));
  const Reply reply = deployment.ConfirmAsync("entry-1", plan).get();
  BOOST_TEST(reply.ok(), reply.body << reply.failure);
  const std::int64_t version = deployment.VersionAt("entry-1");
  deployment.fleet.SetFaults("kv", R"({"show_old_key":"config/head"})");
  deployment.fleet.endpoint("engine-2").process->Signal(SIGCONT);
  deployment.fleet.RestartEndpoint("engine-3");
  deployment.fleet.PublishVms();
  std::vector<std::future<Reply>> burst;
  burst.reserve(20);
  for (int i = 0; i < 20; ++i) {
    burst.push_back(deployment.fleet.SendAsync(
        deployment.fleet.EntryAddress(i % 2 == 0 ? "entry-1" : "entry-2"),
        ChatRequest("itinerary", "a walk", fmt::format("burst-{}", i), true,
                    50)));
  }
  int served = 0;
  for (auto& it : burst) served += it.get().ok() ? 1 : 0;
  BOOST_TEST(served > 0);
  BOOST_TEST(deployment.WaitUntilInForce(version));
  BOOST_TEST(
      PeakReplicaCount(ReplicaRecordsOf(deployment.fleet, deployment.vms),
                       {"itinerary"}) == 1);
}

// An endpoint is frozen while the operator lowers a limit. When it resumes, all
// processes that have the new version are frozen, and a restarted entry reads
// the older head: both use the old limit. The ledger alone must keep them from
// loading a replica too many.
BOOST_AUTO_TEST_CASE(LedgerEnforcesTheLoweredLimit) {
  Deployment deployment;
  BOOST_REQUIRE(deployment.Serves("entry-1", "itinerary"));
  const std::string holder =
      ReplicaRecordsOf(deployment.fleet, deployment.vms).front().vm;
  const std::string frozen = holder == "engine-2" ? "engine-3" : "engine-2";
  const auto signal_others = [&](int signal) {
    deployment.fleet.entry("entry-1").process->Signal(signal);
    for (const std::string& vm : deployment.vms) {
      if (vm != frozen) deployment.fleet.endpoint(vm).process->Signal(signal);
    }
  };
  deployment.fleet.endpoint(frozen).process->Signal(SIGSTOP);
  const std::int64_t version = deployment.ConfirmThenShowOldHead(Intent(1, {}));
  BOOST_TEST(Eventually([&] { return deployment.LedgerVersion() == version; }));
  // Watches must not deliver the newer head either.
  deployment.fleet.SetFaults("kv", R"({"watch_gap":100000})");
  signal_others(SIGSTOP);
  deployment.fleet.RestartEntry("entry-2");
  deployment.fleet.PublishVms();
  // Until the entry has read the older head it refuses every request, and the
  // burst would end without testing anything.
  BOOST_REQUIRE(Eventually(
      [&] { return deployment.VersionAt("entry-2") == version - 1; }));
  deployment.fleet.endpoint(frozen).process->Signal(SIGCONT);
  std::vector<std::future<Reply>> burst;
  for (int i = 0; i < 10; ++i) {
    http::Request request = ChatRequest("itinerary", "a walk",
                                        fmt::format("burst-{}", i), true, 20);
    request.headers.push_back({"X-Request-Timeout-Ms", "4000"});
    burst.push_back(deployment.fleet.SendAsync(
        deployment.fleet.EntryAddress("entry-2"), std::move(request)));
  }
  for (auto& it : burst) it.wait();
  BOOST_TEST(deployment.VersionAt("entry-2") == version - 1);
  signal_others(SIGCONT);
  BOOST_TEST(deployment.WaitUntilInForce(version));
  BOOST_TEST(
      PeakReplicaCount(ReplicaRecordsOf(deployment.fleet, deployment.vms),
                       {"itinerary"}) == 1);
}

}  // namespace
}  // namespace sapphire::tests

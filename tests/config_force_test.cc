/** @file config_force_test.cc A confirmed configuration is in force on every VM
 * within seconds, and never goes back. */
#define BOOST_TEST_MODULE config_force
#include <fmt/format.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "tests/judge_func.h"

namespace sapphire::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A confirmed configuration is in force everywhere after this long. */
constexpr seconds kInForceWithin{10};
constexpr milliseconds kWatchPause{50};
constexpr int kTokens = 4;
constexpr int kLongAnswer = 150;

/** @param max_replicas Of "itinerary". @param more Further models. */
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

  std::future<Reply> ConfirmLater(const std::string& entry,
                                  const std::string& plan) {
    return fleet.SendLater(
        fleet.EntryAddress(entry),
        {"POST", "/admin/v1/plans/" + plan + "/confirm", {}, ""});
  }

  std::int64_t VersionAt(const std::string& entry) {
    return fleet.Admin(entry, {"GET", "/admin/v1/config", {}, ""})
        .at("version")
        .to_number<std::int64_t>();
  }

  /** @return The version of each VM as an entry sees it; 0 if not linked. */
  std::map<std::string, std::int64_t> VersionsSeenBy(const std::string& entry) {
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

  /** @return True once every VM is at this version, in every entry's view. */
  bool InForce(std::int64_t version) {
    return Eventually(
        [&] {
          for (const std::string& entry : entries) {
            const auto versions = VersionsSeenBy(entry);
            if (versions.size() != vms.size() + entries.size()) return false;
            for (const auto& [vm, it] : versions) {
              if (it != version) return false;
            }
          }
          return true;
        },
        kInForceWithin);
  }

  /** Confirms an intent; the key-value service then shows the head, and keeps
   * the parts, from before, as a replica of it that lags would.
   * @return The version confirmed. */
  std::int64_t ConfirmAndShowOlder(const std::string& intent) {
    const std::string kv = fleet.StandInAddress("kv");
    const Reply before =
        fleet.Send(kv, {"GET", "/kv?prefix=config/parts/", {}, ""});
    const std::string plan = Plan("entry-1", intent);
    const Reply reply = ConfirmLater("entry-1", plan).get();
    BOOST_REQUIRE_MESSAGE(reply.ok(), reply.body + reply.failure);
    const auto parts = boost::json::parse(before.body);
    for (const auto& it : parts.at("entries").as_array()) {
      const boost::json::object write{{"key", it.at("key")},
                                      {"expected", 0},
                                      {"value", it.at("value")},
                                      {"lease", ""}};
      fleet.Send(kv, {"POST", "/cas", {}, boost::json::serialize(write)});
    }
    fleet.Fault("kv", R"({"show_old_key":"config/head"})");
    return VersionAt("entry-1");
  }

  /** @return The version under which the ledger was last written. */
  std::int64_t LedgerVersion() {
    const Reply reply = fleet.Send(fleet.StandInAddress("kv"),
                                   {"GET", "/kv?key=ledger/cabin", {}, ""});
    const auto answer = boost::json::parse(reply.body);
    const auto& entry = answer.at("entry");
    const auto ledger = boost::json::parse(entry.at("value").as_string());
    return ledger.at("config").to_number<std::int64_t>();
  }

  /** Has each entry's watch end, and the next one report a gap: the entries
   * read the head anew. */
  void EndWatchesWithAGap() {
    fleet.Fault("kv", fmt::format(R"({{"watch_gap":{}}})", entries.size()));
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
    return IsOwnWholeAnswer(reply, id, kTokens);
  }

  const std::vector<std::string> vms = {"engine-1", "engine-2", "engine-3"};
  const std::vector<std::string> entries = {"entry-1", "entry-2"};
  Fleet fleet;
  int sent = 0;
};

/** Looks again and again at the version of each VM, as each entry shows it. */
class VersionWatch {
 public:
  explicit VersionWatch(Deployment& deployment)
      : deployment_(deployment), thread_([this] { Run(); }) {}
  ~VersionWatch() { Stop(); }

  /** @return How often a version was lower than one seen before. */
  int Stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
    BOOST_TEST(looks_ > 0);
    return went_back_;
  }

 private:
  void Run() {
    while (!stopped_) {
      for (const std::string& entry : deployment_.entries) {
        for (const auto& [vm, version] : deployment_.VersionsSeenBy(entry)) {
          Note({entry, vm}, version);
        }
      }
      std::this_thread::sleep_for(kWatchPause);
    }
  }

  /** A VM that isn't linked, or has just started, shows none: that isn't a
   * version to act by. */
  void Note(const std::pair<std::string, std::string>& view,
            std::int64_t version) {
    if (version == 0) return;
    ++looks_;
    std::int64_t& newest = newest_[view];
    if (version < newest) ++went_back_;
    newest = std::max(newest, version);
  }

  Deployment& deployment_;
  std::atomic<bool> stopped_ = false;
  /** By the entry that shows it, and the VM. */
  std::map<std::pair<std::string, std::string>, std::int64_t> newest_;
  int looks_ = 0;
  int went_back_ = 0;
  std::thread thread_;
};

// Two operators, at two entries, have made plans on the same base and confirm
// them in the same moment. If both came into force one would undo the other
// without a word; exactly one may win, and the other is told.
BOOST_AUTO_TEST_CASE(OfTwoConflictingPlansOneWins) {
  Deployment deployment;
  const VersionWatch watch(deployment);
  for (int i = 0; i < 5; ++i) {
    const std::int64_t base = deployment.VersionAt("entry-1");
    const bool even = i % 2 == 0;
    const std::string lunch =
        deployment.Plan("entry-1", Intent(even ? 1 : 2, {"lunch"}));
    const std::string dinner =
        deployment.Plan("entry-2", Intent(even ? 1 : 2, {"dinner"}));
    auto first = deployment.ConfirmLater("entry-1", lunch);
    auto second = deployment.ConfirmLater("entry-2", dinner);
    const Reply one = first.get();
    const Reply two = second.get();
    BOOST_TEST(one.ok() != two.ok());
    const Reply& lost = one.ok() ? two : one;
    BOOST_TEST(lost.problem() == "plan_conflict", lost.body);
    BOOST_TEST(deployment.InForce(base + 1));
    const std::string winner = one.ok() ? "lunch" : "dinner";
    const std::string loser = one.ok() ? "dinner" : "lunch";
    BOOST_TEST(deployment.Serves("entry-1", winner));
    BOOST_TEST(!deployment.Serves("entry-2", loser));
  }
}

// The operator confirms, the swap takes effect and its answer is lost; or the
// service closes the connection and lands the swap late. The operator must not
// be told of a failure that was none, and the plan is in force once.
BOOST_AUTO_TEST_CASE(LostOrLateSwapConfirmsOnce) {
  Deployment deployment;
  VersionWatch watch(deployment);
  for (
      const char* fault :
      {R"({"write_prefix":"config/head","lose_answers":1})",
       R"({"write_prefix":"config/head","late_writes":1,"late_writes_ms":700})",
       R"({"write_prefix":"config/head","late_writes":2,"late_writes_ms":300})"}) {
    const std::int64_t base = deployment.VersionAt("entry-2");
    const std::string plan =
        deployment.Plan("entry-2", Intent(base % 2 == 0 ? 1 : 2, {}));
    deployment.fleet.Fault("kv", fault);
    const Reply reply = deployment.ConfirmLater("entry-2", plan).get();
    BOOST_TEST(reply.ok(), reply.body << reply.failure);
    BOOST_TEST(deployment.InForce(base + 1));
    // Past the time at which the late swap lands.
    std::this_thread::sleep_for(seconds(1));
    BOOST_TEST(deployment.InForce(base + 1));
  }
  BOOST_TEST(watch.Stop() == 0);
}

// After a confirmation the key-value service shows the head from before, as a
// replica of it that lags would, and its watches have gaps, so that entries
// read the head anew. None may go back: limits that operators lowered would be
// high again.
BOOST_AUTO_TEST_CASE(OlderHeadIsNotTakenUp) {
  Deployment deployment;
  const std::int64_t version =
      deployment.ConfirmAndShowOlder(Intent(2, {"lunch"}));
  BOOST_TEST(deployment.InForce(version));
  VersionWatch watch(deployment);
  for (int i = 0; i < 10; ++i) {
    deployment.EndWatchesWithAGap();
    std::this_thread::sleep_for(milliseconds(200));
    BOOST_TEST(deployment.Serves(i % 2 == 0 ? "entry-1" : "entry-2", "lunch"));
  }
  // An endpoint that starts now learns what is in force from the entries.
  deployment.fleet.RestartEndpoint("engine-1");
  deployment.fleet.PublishVms();
  BOOST_TEST(deployment.InForce(version));
  BOOST_TEST(watch.Stop() == 0);
}

// An entry starts while the service shows the head from before. It must come
// to the version that its fellows have, not keep the older one.
BOOST_AUTO_TEST_CASE(EntryThatStartsOnAnOlderHeadCatchesUp) {
  Deployment deployment;
  const std::int64_t version =
      deployment.ConfirmAndShowOlder(Intent(2, {"lunch"}));
  deployment.fleet.RestartEntry("entry-2");
  deployment.fleet.PublishVms();
  BOOST_TEST(deployment.InForce(version));
  BOOST_TEST(deployment.Serves("entry-2", "lunch"));
}

// One entry and one endpoint are away while the operator confirms; then the
// key-value service goes down for long, and they come back. They learn the
// newest configuration from the others, and the operator was told of them.
BOOST_AUTO_TEST_CASE(SpreadsOverLinksWhileTheServiceIsDown) {
  Deployment deployment;
  const std::int64_t base = deployment.VersionAt("entry-1");
  deployment.fleet.entry("entry-2").process->Signal(SIGSTOP);
  deployment.fleet.endpoint("engine-3").process->Signal(SIGSTOP);
  const std::string plan = deployment.Plan("entry-1", Intent(2, {"lunch"}));
  const Reply reply = deployment.ConfirmLater("entry-1", plan).get();
  deployment.fleet.Fault("kv", R"({"down":true})");
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
  BOOST_TEST(deployment.InForce(base + 1));
  // Processes that start from nothing, with the service still down.
  deployment.fleet.RestartEntry("entry-2");
  deployment.fleet.RestartEndpoint("engine-1");
  deployment.fleet.PublishVms();
  BOOST_TEST(deployment.InForce(base + 1));
}

// Guests stream from two replicas when the operator allows only one. The one
// too many goes, but not before its guests have their whole answers.
BOOST_AUTO_TEST_CASE(LoweredLimitUnloadsTheSurplusGracefully) {
  Deployment deployment;
  std::vector<std::pair<std::string, std::future<Reply>>> streams;
  const auto held = [&] {
    int n = 0;
    for (const ReplicaStay& it : StaysOf(deployment.fleet, deployment.vms)) {
      n += it.end == "held" ? 1 : 0;
    }
    return n;
  };
  BOOST_REQUIRE(Eventually([&] {
    // Callers come until there is work for a second replica.
    if (streams.size() < 60) {
      const std::string id = fmt::format("stream-{}", streams.size());
      streams.emplace_back(
          id, deployment.fleet.SendLater(
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
    const bool whole = IsOwnWholeAnswer(reply, id, kLongAnswer) &&
                       reply.body.find("[DONE]") != std::string::npos;
    bad += whole || IsTypedRefusal(reply) ? 0 : 1;
  }
  BOOST_TEST(bad == 0);
  BOOST_TEST(Eventually([&] { return held() == 1; }));
  BOOST_TEST(deployment.Serves("entry-1", "itinerary"));
  BOOST_TEST(held() == 1);
  // What was loaded after the confirmation came within the new limit.
  std::vector<ReplicaStay> later;
  for (const ReplicaStay& it : StaysOf(deployment.fleet, deployment.vms)) {
    if (it.began > confirmed) later.push_back(it);
  }
  BOOST_TEST(PeakReplicas(later, {"itinerary"}) <= 1);
}

// An endpoint is frozen while the operator lowers a limit, and another restarts
// just after. Both may only load by what was confirmed: one that still went by
// the old limit would load the replica that operators took away.
BOOST_AUTO_TEST_CASE(NobodyLoadsByTheLimitFromBefore) {
  Deployment deployment;
  BOOST_REQUIRE(deployment.Serves("entry-1", "itinerary"));
  deployment.fleet.endpoint("engine-2").process->Signal(SIGSTOP);
  const std::string plan = deployment.Plan("entry-1", Intent(1, {}));
  const Reply reply = deployment.ConfirmLater("entry-1", plan).get();
  BOOST_TEST(reply.ok(), reply.body << reply.failure);
  const std::int64_t version = deployment.VersionAt("entry-1");
  deployment.fleet.Fault("kv", R"({"show_old_key":"config/head"})");
  deployment.fleet.endpoint("engine-2").process->Signal(SIGCONT);
  deployment.fleet.RestartEndpoint("engine-3");
  deployment.fleet.PublishVms();
  std::vector<std::future<Reply>> burst;
  burst.reserve(20);
  for (int i = 0; i < 20; ++i) {
    burst.push_back(deployment.fleet.SendLater(
        deployment.fleet.EntryAddress(i % 2 == 0 ? "entry-1" : "entry-2"),
        ChatRequest("itinerary", "a walk", fmt::format("burst-{}", i), true,
                    50)));
  }
  int served = 0;
  for (auto& it : burst) served += it.get().ok() ? 1 : 0;
  BOOST_TEST(served > 0);
  BOOST_TEST(deployment.InForce(version));
  BOOST_TEST(PeakReplicas(StaysOf(deployment.fleet, deployment.vms),
                          {"itinerary"}) == 1);
}

// An endpoint is frozen while the operator lowers a limit. When it goes on,
// all who know of that are frozen in their turn, and an entry that starts anew
// is shown the older head: the two agree on the limit from before. The ledger
// itself must keep them from loading the replica that operators took away.
BOOST_AUTO_TEST_CASE(LedgerKeepsTheLoweredLimit) {
  Deployment deployment;
  BOOST_REQUIRE(deployment.Serves("entry-1", "itinerary"));
  const std::string holder =
      StaysOf(deployment.fleet, deployment.vms).front().vm;
  const std::string frozen = holder == "engine-2" ? "engine-3" : "engine-2";
  const auto signal_others = [&](int signal) {
    deployment.fleet.entry("entry-1").process->Signal(signal);
    for (const std::string& vm : deployment.vms) {
      if (vm != frozen) deployment.fleet.endpoint(vm).process->Signal(signal);
    }
  };
  deployment.fleet.endpoint(frozen).process->Signal(SIGSTOP);
  const std::int64_t version = deployment.ConfirmAndShowOlder(Intent(1, {}));
  BOOST_TEST(Eventually([&] { return deployment.LedgerVersion() == version; }));
  // Watches show nothing newer either.
  deployment.fleet.Fault("kv", R"({"watch_gap":100000})");
  signal_others(SIGSTOP);
  deployment.fleet.RestartEntry("entry-2");
  deployment.fleet.PublishVms();
  // Until it has read the older head it refuses everything, and the burst would
  // be over before it has shown anything.
  BOOST_REQUIRE(Eventually(
      [&] { return deployment.VersionAt("entry-2") == version - 1; }));
  deployment.fleet.endpoint(frozen).process->Signal(SIGCONT);
  std::vector<std::future<Reply>> burst;
  for (int i = 0; i < 10; ++i) {
    http::Request request = ChatRequest("itinerary", "a walk",
                                        fmt::format("burst-{}", i), true, 20);
    request.headers.push_back({"X-Request-Timeout-Ms", "4000"});
    burst.push_back(deployment.fleet.SendLater(
        deployment.fleet.EntryAddress("entry-2"), std::move(request)));
  }
  for (auto& it : burst) it.wait();
  BOOST_TEST(deployment.VersionAt("entry-2") == version - 1);
  signal_others(SIGCONT);
  BOOST_TEST(deployment.InForce(version));
  BOOST_TEST(PeakReplicas(StaysOf(deployment.fleet, deployment.vms),
                          {"itinerary"}) == 1);
}

}  // namespace
}  // namespace sapphire::tests

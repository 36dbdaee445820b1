/** @file memory_limit_test.cc Tests that no engine's memory is overcommitted.
 */
#define BOOST_TEST_MODULE memory_limit
#include <fmt/format.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <random>
#include <thread>

#include "tests/verify_func.h"

namespace sapphire::tests {
namespace {

using std::chrono::milliseconds;

constexpr int kModels = 10;
constexpr int kAdapters = 2;
constexpr int kBurst = 16;
constexpr int kBursts = 4;
constexpr int kTokens = 3;

/** @return An intent in which each replica takes 300 MB and each adapter 60 MB:
 * an engine of 1 GB holds three replicas, but not with all their adapters, and
 * two engines hold six of the ten models. */
std::string Intent() {
  std::string text =
      "deployment = \"meander\"\n[[service]]\nname = \"cabin\"\n"
      "max_replicas = 12\n";
  for (int i = 0; i < kModels; ++i) {
    text += fmt::format(
        "[[model]]\nname = \"model-{}\"\nservice = \"cabin\"\n"
        "weight_bytes = \"250 MB\"\nkv_budget_bytes = \"50 MB\"\n"
        "max_replicas = 2\nadapters = [\n"
        "  {{ name = \"a0\", version = \"1\", bytes = \"60 MB\" }},\n"
        "  {{ name = \"a1\", version = \"1\", bytes = \"60 MB\" }},\n]\n",
        i);
  }
  return text;
}

class Deployment {
 public:
  explicit Deployment(std::uint64_t seed)
      : random_(seed), fleet_(SAPPHIRE_BIN_DIR "/bin", "memory-limit") {
    fleet_.entry_settings = "vm_list_interval_ms = 200\n";
    fleet_.endpoint_settings = "audit_ms = 500\nsettle_ms = 300\n";
    AddEngine("engine-1", "--honours-fencing");
    AddEngine("engine-2", "--ignores-fencing");
    fleet_.AddEntry("entry-1", "zone-a");
    fleet_.AddEntry("entry-2", "zone-b");
    fleet_.PublishVms();
    fleet_.Confirm(Intent());
  }

  void StartBurst() {
    for (int i = 0; i < kBurst; ++i) {
      const std::string id = fmt::format("guest-{}", sent_++);
      std::string model = fmt::format("model-{}", Pick(kModels));
      if (Pick(3) > 0) model += fmt::format(":a{}", Pick(kAdapters));
      const std::string entry = Pick(2) == 0 ? "entry-1" : "entry-2";
      replies_.emplace_back(
          id, fleet_.SendAsync(
                  fleet_.EntryAddress(entry),
                  ChatRequest(model, "what is for lunch", id, false, kTokens)));
    }
  }

  void CollectReplies() {
    for (auto& [id, future] : replies_) {
      const Reply reply = future.get();
      const bool whole = IsOwnCompleteAnswer(reply, id, kTokens);
      served_ += whole ? 1 : 0;
      if (!whole) ++refusals_[reply.problem()];
      BOOST_TEST((whole || IsTypedRefusal(reply)),
                 id << ": " << reply.status << reply.body << reply.failure);
    }
    replies_.clear();
  }

  /** Requests each model in turn until it is served. Not all models fit, so
   * idle ones must be evicted. @return True if each was served. */
  bool ServesEachModel() {
    for (int i = 0; i < kModels; ++i) {
      const std::string model = fmt::format("model-{}:a{}", i, i % kAdapters);
      const bool served = Eventually([&] {
        const std::string id = fmt::format("again-{}", sent_++);
        const Reply reply =
            fleet_.Send(fleet_.EntryAddress("entry-1"),
                        ChatRequest(model, "and now", id, false, kTokens));
        served_ += IsOwnCompleteAnswer(reply, id, kTokens) ? 1 : 0;
        return IsOwnCompleteAnswer(reply, id, kTokens);
      });
      if (!served) return false;
    }
    return true;
  }

  /** Kills an endpoint process and restarts it beside the same engine. */
  void KillOneEndpoint() {
    const std::string vm = Pick(2) == 0 ? "engine-1" : "engine-2";
    std::this_thread::sleep_for(milliseconds(Pick(400)));
    fleet_.endpoint(vm).process->Signal(SIGKILL);
    fleet_.RestartEndpoint(vm);
    fleet_.PublishVms();
  }

  void LoseOrderAnswers() {
    for (const char* vm : {"engine-1", "engine-2"}) {
      fleet_.SetFaults(vm, R"({"lose_order_answers":2})");
    }
  }

  /** Checks the engines' records. */
  void CheckRecords() {
    int unloads = 0;
    for (const char* vm : {"engine-1", "engine-2"}) {
      const auto record = fleet_.Record(vm);
      BOOST_TEST(record.at("overcommits").as_array().empty());
      const auto peak = record.at("peak_used_bytes").to_number<std::int64_t>();
      const auto memory = record.at("memory_bytes").to_number<std::int64_t>();
      BOOST_TEST(peak <= memory);
      BOOST_TEST_MESSAGE("  " << vm << ": peak " << peak << " of " << memory);
      for (const ReplicaRecord& it : ReplicaRecordsOf(vm, record)) {
        unloads += it.end == "unloaded" ? 1 : 0;
      }
    }
    BOOST_TEST_MESSAGE("  served " << served_ << " of " << sent_ << ", "
                                   << unloads << " unloads");
    for (const auto& [problem, n] : refusals_) {
      BOOST_TEST_MESSAGE("  refused " << n << " as " << problem);
    }
    BOOST_TEST(served_ > 0);
    // Without evictions the memory limit was never reached.
    BOOST_TEST(unloads > 0);
  }

 private:
  int Pick(std::size_t n) { return static_cast<int>(random_() % n); }

  void AddEngine(const std::string& vm, const std::string& fencing) {
    std::string tier;
    for (int i = 0; i < kModels; ++i) {
      tier += fmt::format("model-{0},model-{0}:a0,model-{0}:a1,", i);
    }
    tier.pop_back();
    fleet_.AddEngine(vm, "zone-a",
                     {fencing, "--memory-bytes", "1000000000", "--disk-tier",
                      tier, "--disk-bytes-per-second", "2000000000"});
  }

  std::mt19937_64 random_;
  Fleet fleet_;
  std::vector<std::pair<std::string, std::future<Reply>>> replies_;
  int sent_ = 0;
  int served_ = 0;
  std::map<std::string, int> refusals_;
};

// Callers request more models and adapters than fit, so that loads and
// evictions overlap at each engine. An engine that is ordered to load more than
// fits would fail for all of its callers.
BOOST_DATA_TEST_CASE(BurstsBeyondMemoryCauseNoOvercommit,
                     boost::unit_test::data::make(std::vector<std::uint64_t>{
                         21, 22}),
                     seed) {
  Deployment deployment(seed);
  for (int i = 0; i < kBursts; ++i) {
    deployment.StartBurst();
    deployment.CollectReplies();
  }
  BOOST_TEST(deployment.ServesEachModel());
  deployment.CheckRecords();
}

// The same, but the endpoint process that accounts for an engine's memory is
// killed during the bursts, or the answers to its orders are lost. Its
// successor must count the load in progress, or it would assign that memory
// twice.
BOOST_DATA_TEST_CASE(RestartDuringBurstCausesNoOvercommit,
                     boost::unit_test::data::make(std::vector<std::uint64_t>{
                         31, 32}),
                     seed) {
  Deployment deployment(seed);
  for (int i = 0; i < kBursts; ++i) {
    if (i % 2 == 1) deployment.LoseOrderAnswers();
    deployment.StartBurst();
    deployment.KillOneEndpoint();
    deployment.CollectReplies();
  }
  BOOST_TEST(deployment.ServesEachModel());
  deployment.CheckRecords();
}

}  // namespace
}  // namespace sapphire::tests

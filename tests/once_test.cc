/** @file once_test.cc Tests, with the plain service's record, that a
 * non-idempotent request runs at most once and that `not_run` is reported only
 * if it is certain. */
#define BOOST_TEST_MODULE once
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <random>
#include <set>

#include "tests/fleet_base.h"

namespace sapphire::tests {
namespace {

using std::chrono::milliseconds;

constexpr const char* kIntent = R"(
deployment = "desk"
[[service]]
name = "desk"
kind = "plain"
max_concurrent = 64
non_idempotent = ["POST /bookings"]
)";

constexpr milliseconds kTimeout{8000};
/** Allowed delay of an answer after the request's timeout, for a busy machine.
 */
constexpr milliseconds kSlack{4000};

struct Desk {
  Desk() : fleet(SAPPHIRE_BIN_DIR "/bin", "sapphire-once") {
    fleet.endpoint_settings = "dead_after_ms = 1000\nheartbeat_ms = 200\n";
    fleet.entry_settings =
        "dead_after_ms = 1000\nheartbeat_ms = 200\nkv_timeout_ms = 400\n";
    fleet.AddPlain("desk-1", "zone-a", "desk");
    for (const char* vm : kEntries) fleet.AddEntry(vm, "zone-a");
    fleet.PublishVms();
    fleet.Confirm(kIntent);
  }

  static http::Request Booking(const std::string& key) {
    return {"POST",
            "/services/desk/bookings",
            {{"Idempotency-Key", key},
             {"X-Request-Timeout-Ms", std::to_string(kTimeout.count())}},
            "{\"cabin\": 7}"};
  }

  std::future<Reply> SendAsync(const std::string& entry,
                               const std::string& key) {
    return fleet.SendAsync(fleet.EntryAddress(entry), Booking(key));
  }

  Reply Send(const std::string& entry, const std::string& key) {
    Reply reply = SendAsync(entry, key).get();
    replies[key].push_back(reply);
    return reply;
  }

  /** Sends each key through every entry but `victim`, concurrently. */
  void SendToOtherEntries(
      const std::string& victim,
      const std::map<std::string, std::future<Reply>>& keys) {
    std::vector<std::pair<std::string, std::future<Reply>>> pending;
    for (const auto& [key, first] : keys) {
      for (const char* entry : kEntries) {
        if (entry != victim) pending.emplace_back(key, SendAsync(entry, key));
      }
    }
    for (auto& [key, reply] : pending) replies[key].push_back(reply.get());
  }

  int CountRuns(const std::string& key) {
    int n = 0;
    const auto record = fleet.Record("desk-1");
    for (const auto& run : record.at("runs").as_array()) {
      if (run.as_object().at("idempotency_key").as_string() == key) ++n;
    }
    return n;
  }

  bool WaitForRun(const std::string& key) {
    return Eventually([&] { return CountRuns(key) > 0; });
  }

  /** Checks every reply against the service's record. */
  void CheckReplies() {
    for (const auto& [key, list] : replies) {
      const int runs = CountRuns(key);
      BOOST_TEST_CONTEXT("key " << key) {
        BOOST_TEST(runs <= 1);
        bool all_not_run = true;
        for (const Reply& reply : list) {
          CheckReply(reply, runs);
          if (reply.outcome() != "not_run") all_not_run = false;
        }
        if (all_not_run) BOOST_TEST(runs == 0);
      }
    }
  }

  static void CheckReply(const Reply& reply, int runs) {
    BOOST_TEST_CONTEXT(reply.status << " " << reply.body << reply.failure) {
      if (reply.ok()) BOOST_TEST(runs == 1);
      // If the entry itself was killed, the connection is cut and there is no
      // outcome.
      if (reply.failure.empty() && !reply.ok()) {
        BOOST_TEST(!reply.outcome().empty());
      }
      BOOST_TEST((reply.took < kTimeout + kSlack));
    }
  }

  static constexpr std::array kEntries = {"entry-1", "entry-2", "entry-3"};
  Fleet fleet;
  std::map<std::string, std::vector<Reply>> replies;
};

// One booking arrives at every entry at the same time. Without a claim that all
// entries agree on, each would run it, three times in all.
BOOST_FIXTURE_TEST_CASE(SameKeyThroughAllEntriesRunsOnce, Desk) {
  constexpr int kKeys = 12;
  std::map<std::string, std::vector<std::future<Reply>>> pending;
  for (int i = 0; i < kKeys; ++i) {
    const std::string key = fmt::format("same-{}", i);
    for (const char* entry : kEntries) {
      pending[key].push_back(SendAsync(entry, key));
    }
  }
  for (auto& [key, futures] : pending) {
    std::set<std::string> bodies;
    for (auto& future : futures) {
      replies[key].push_back(future.get());
      BOOST_TEST(replies[key].back().ok());
      bodies.insert(replies[key].back().body);
    }
    BOOST_TEST(bodies.size() == 1U);
    BOOST_TEST(CountRuns(key) == 1);
  }
  CheckReplies();
}

// The service runs the request, but its answer is lost. The outcome must not be
// reported as `not_run`, and a retry must not run the request again.
BOOST_FIXTURE_TEST_CASE(LostAnswerIsUnknownOutcome, Desk) {
  fleet.SetFaults("desk-1", R"({"lose_answers": 1})");
  const Reply first = Send("entry-1", "lost");
  BOOST_TEST(first.outcome() == "unknown");
  for (const char* entry : kEntries) {
    BOOST_TEST(Send(entry, "lost").outcome() == "unknown");
  }
  BOOST_TEST(CountRuns("lost") == 1);
  CheckReplies();
}

// The connection breaks after half of the answer. The caller must get an error,
// not the half answer.
BOOST_FIXTURE_TEST_CASE(CutAnswerIsUnknownOutcome, Desk) {
  fleet.SetFaults("desk-1", R"({"cut_body": 1})");
  const Reply first = Send("entry-1", "cut");
  BOOST_TEST(!first.ok());
  BOOST_TEST(first.outcome() == "unknown");
  BOOST_TEST(!Send("entry-2", "cut").ok());
  BOOST_TEST(CountRuns("cut") == 1);
  CheckReplies();
}

// A key is reused for a different request. The stored answer of the first must
// not be returned for the second.
BOOST_FIXTURE_TEST_CASE(ReusedKeyForOtherRequestIsRefused, Desk) {
  BOOST_TEST(Send("entry-1", "reused").ok());
  http::Request other = Booking("reused");
  other.body = "{\"cabin\": 8}";
  const Reply reply = fleet.Send(fleet.EntryAddress("entry-2"), other);
  BOOST_TEST(reply.problem() == "bad_header");
  BOOST_TEST(CountRuns("reused") == 1);
}

// The key-value service is down, so that requests can't be claimed and must not
// run. They are refused at once with Retry-After, and run after recovery.
BOOST_FIXTURE_TEST_CASE(KeyValueDownRefusesAsNotRun, Desk) {
  fleet.SetFaults("kv", R"({"down": true})");
  const Reply refused = Send("entry-1", "down");
  BOOST_TEST(refused.outcome() == "not_run");
  BOOST_TEST(http::FindHeader(refused.headers, "Retry-After").has_value());
  BOOST_TEST((refused.took < kTimeout));
  BOOST_TEST(CountRuns("down") == 0);
  fleet.SetFaults("kv", R"({"down": false})");
  BOOST_TEST(Eventually([&] { return Send("entry-2", "down").ok(); }));
  BOOST_TEST(CountRuns("down") == 1);
}

// The claim is written, but the answer to the write is lost. Treating that as a
// failure, or the claim as another entry's, would refuse the request forever.
BOOST_FIXTURE_TEST_CASE(LostClaimAnswerStillServes, Desk) {
  fleet.SetFaults("kv", R"({"write_prefix": "claims/", "lose_answers": 1})");
  BOOST_TEST(Send("entry-1", "claim-lost").ok());
  BOOST_TEST(Send("entry-2", "claim-lost").ok());
  CheckReplies();
}

// The claim's write times out and takes effect a second later, after the
// request was refused or retried. The late claim must neither let it run twice
// nor block a request that never ran.
BOOST_FIXTURE_TEST_CASE(LateClaimRunsOnce, Desk) {
  fleet.SetFaults("kv", R"({"write_prefix": "claims/", "late_writes_ms": 1000,
                        "late_writes": 8})");
  for (int i = 0; i < 4; ++i) Send(kEntries[i % 3], "late");
  BOOST_TEST(Eventually([&] { return Send("entry-1", "late").ok(); }));
  BOOST_TEST(CountRuns("late") == 1);
}

/** Enough keys that each entry is the home of some of them. */
constexpr int kKeysPerVictim = 5;

// An entry is killed while its requests run, and the caller retries them
// through the other entries.
BOOST_FIXTURE_TEST_CASE(EntryKilledWhileItRuns, Desk) {
  fleet.SetFaults("desk-1", R"({"delay_ms": 700})");
  for (const char* victim : kEntries) {
    std::map<std::string, std::future<Reply>> first;
    for (int i = 0; i < kKeysPerVictim; ++i) {
      const std::string key = fmt::format("killed-{}-{}", victim, i);
      first[key] = SendAsync(victim, key);
    }
    std::this_thread::sleep_for(milliseconds(200));
    fleet.entry(victim).process->Signal(SIGKILL);
    for (auto& [key, future] : first) replies[key].push_back(future.get());
    SendToOtherEntries(victim, first);
    fleet.RestartEntry(victim);
    fleet.PublishVms();
    for (const auto& [key, future] : first) Send(victim, key);
  }
  CheckReplies();
}

// An entry freezes with requests in progress, past every timeout, while the
// caller retries them elsewhere; then it resumes where it stopped.
BOOST_FIXTURE_TEST_CASE(EntryFrozenWhileItRuns, Desk) {
  fleet.SetFaults("desk-1", R"({"delay_ms": 100})");
  for (const char* victim : kEntries) {
    std::map<std::string, std::future<Reply>> first;
    for (int i = 0; i < kKeysPerVictim; ++i) {
      const std::string key = fmt::format("frozen-{}-{}", victim, i);
      first[key] = SendAsync(victim, key);
    }
    std::this_thread::sleep_for(milliseconds(50));
    fleet.entry(victim).process->Signal(SIGSTOP);
    SendToOtherEntries(victim, first);
    fleet.entry(victim).process->Signal(SIGCONT);
    for (auto& [key, future] : first) {
      replies[key].push_back(future.get());
      // The timeout passed while the entry was frozen: only the outcome counts.
      replies[key].back().took = milliseconds(0);
    }
  }
  CheckReplies();
}

// The endpoint process freezes before it has read the request, and the entries
// close its link as dead. It then resumes and reads the request.
BOOST_FIXTURE_TEST_CASE(EndpointFrozenBeforeItStarts, Desk) {
  fleet.endpoint("desk-1").process->Signal(SIGSTOP);
  const Reply first = Send("entry-1", "stuck");
  BOOST_TEST(!first.ok());
  fleet.endpoint("desk-1").process->Signal(SIGCONT);
  for (const char* entry : kEntries) Send(entry, "stuck");
  CheckReplies();
}

// The endpoint process is killed while the service runs a request, and loses
// its record of started requests.
BOOST_FIXTURE_TEST_CASE(EndpointKilledWhileItRuns, Desk) {
  fleet.SetFaults("desk-1", R"({"delay_ms": 800})");
  auto first = SendAsync("entry-1", "orphan");
  std::this_thread::sleep_for(milliseconds(300));
  fleet.endpoint("desk-1").process->Signal(SIGKILL);
  fleet.RestartEndpoint("desk-1");
  fleet.PublishVms();
  replies["orphan"].push_back(first.get());
  BOOST_TEST(replies["orphan"].back().outcome() != "not_run");
  Send("entry-2", "orphan");
  CheckReplies();
}

/** A fault that is switched on and off while requests are sent. */
struct FaultKind {
  const char* name;
  std::function<void(Desk&)> begin;
  std::function<void(Desk&)> end;
};

std::vector<FaultKind> FaultKinds() {
  const auto signal = [](const char* vm, int number) {
    return [vm, number](Desk& desk) {
      if (std::string_view(vm) == "desk-1") {
        desk.fleet.endpoint(vm).process->Signal(number);
      } else {
        desk.fleet.entry(vm).process->Signal(number);
      }
    };
  };
  const auto fault = [](const char* stand_in, const char* json) {
    return
        [stand_in, json](Desk& desk) { desk.fleet.SetFaults(stand_in, json); };
  };
  return {
      {"kv down", fault("kv", R"({"down": true})"),
       fault("kv", R"({"down": false})")},
      {"kv slow", fault("kv", R"({"delay_ms": 300})"),
       fault("kv", R"({"delay_ms": 0})")},
      {"kv loses answers",
       fault("kv", R"({"write_prefix": "claims/", "lose_answers": 3})"),
       fault("kv", R"({"lose_answers": 0})")},
      {"kv writes late",
       fault("kv", R"({"write_prefix": "claims/", "late_writes_ms": 600,
                       "late_writes": 3})"),
       fault("kv", R"({"late_writes": 0})")},
      {"leases lapse", fault("kv", R"({"lapse_leases": true})"),
       fault("kv", R"({"lapse_leases": false})")},
      {"desk loses answers", fault("desk-1", R"({"lose_answers": 2})"),
       fault("desk-1", R"({"lose_answers": 0})")},
      {"desk slow", fault("desk-1", R"({"delay_ms": 300})"),
       fault("desk-1", R"({"delay_ms": 0})")},
      {"endpoint frozen", signal("desk-1", SIGSTOP), signal("desk-1", SIGCONT)},
      {"entry frozen", signal("entry-2", SIGSTOP), signal("entry-2", SIGCONT)},
  };
}

// Two faults, chosen by seed, overlap while each request is sent several times
// through all entries.
BOOST_FIXTURE_TEST_CASE(TwoFaultsAtATime, Desk) {
  const std::vector<FaultKind> kinds = FaultKinds();
  for (const unsigned seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U}) {
    std::mt19937 random(seed);
    const FaultKind& one = kinds[random() % kinds.size()];
    const FaultKind& two = kinds[random() % kinds.size()];
    std::map<std::string, std::vector<std::future<Reply>>> pending;
    const auto send_all = [&](int i) {
      const std::string key = fmt::format("seed-{}-{}", seed, i);
      for (const char* entry : kEntries) {
        pending[key].push_back(SendAsync(entry, key));
      }
    };
    send_all(0);
    one.begin(*this);
    send_all(1);
    two.begin(*this);
    send_all(2);
    std::this_thread::sleep_for(milliseconds(random() % 1500));
    one.end(*this);
    send_all(0);
    two.end(*this);
    for (int i = 0; i < 3; ++i) send_all(i);
    for (auto& [key, futures] : pending) {
      for (auto& future : futures) replies[key].push_back(future.get());
    }
    BOOST_TEST_CONTEXT("seed " << seed << ": " << one.name << ", "
                               << two.name) {
      CheckReplies();
    }
    replies.clear();
  }
}

}  // namespace
}  // namespace sapphire::tests

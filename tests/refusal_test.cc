/** @file refusal_test.cc Tests, with the engines' records, that every request
 * is answered completely or refused with the correct outcome, within its
 * timeout.
 */
#define BOOST_TEST_MODULE refusal
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
deployment = "cabins"
[[service]]
name = "cabins"
kind = "model"
max_replicas = 6
[[model]]
name = "itinerary"
service = "cabins"
weight_bytes = "300 MB"
kv_budget_bytes = "100 MB"
max_replicas = 3
max_concurrent = 8
[[model]]
name = "claims"
service = "cabins"
weight_bytes = "300 MB"
kv_budget_bytes = "100 MB"
max_replicas = 1
max_concurrent = 2
[[service]]
name = "desk"
kind = "plain"
)";

constexpr std::array kEntries = {"entry-1", "entry-2"};
constexpr std::array kEngines = {"engine-1", "engine-2", "engine-3"};
/** Allowed delay of an answer after the request's timeout, for a busy machine.
 */
constexpr milliseconds kSlack{5000};
constexpr int kTokens = 12;

struct Cabins {
  Cabins() : fleet(SAPPHIRE_BIN_DIR "/bin", "sapphire-refusal") {
    fleet.endpoint_settings = "dead_after_ms = 1000\nheartbeat_ms = 200\n";
    fleet.entry_settings =
        "dead_after_ms = 1000\nheartbeat_ms = 200\nkv_timeout_ms = 400\n";
    for (const char* vm : kEngines) {
      fleet.AddEngine(
          vm, "zone-a",
          {"--memory-bytes", "1000000000", "--token-ms", "10", "--disk-tier",
           "itinerary,claims", "--disk-bytes-per-second", "1000000000"});
    }
    for (const char* vm : kEntries) fleet.AddEntry(vm, "zone-a");
  }

  void Configure() {
    fleet.PublishVms();
    fleet.Confirm(kIntent);
  }

  static http::Request Chat(const std::string& model, const std::string& id,
                            milliseconds timeout, bool stream,
                            const std::string& prompt = "shore day",
                            int tokens = kTokens) {
    http::Request request = ChatRequest(model, prompt, id, stream, tokens);
    request.headers.push_back(
        {"X-Request-Timeout-Ms", std::to_string(timeout.count())});
    return request;
  }

  std::future<Reply> SendAsync(const std::string& entry,
                               http::Request request) {
    return fleet.SendAsync(fleet.EntryAddress(entry), std::move(request));
  }

  /** @return True if an engine's record shows that it started this request. */
  bool WasStarted(const std::string& id) {
    for (const char* vm : kEngines) {
      const auto record = fleet.Record(vm);
      for (const auto& run : record.at("requests").as_array()) {
        if (run.as_object().at("request_id").as_string() == id) return true;
      }
    }
    return false;
  }

  /** @return The request's outcome in an engine's record; empty if none. */
  std::string OutcomeAtEngine(const std::string& id) {
    for (const char* vm : kEngines) {
      const auto record = fleet.Record(vm);
      for (const auto& run : record.at("requests").as_array()) {
        if (run.as_object().at("request_id").as_string() != id) continue;
        return std::string(run.as_object().at("outcome").as_string());
      }
    }
    return "";
  }

  /** Checks the invariants that every reply must satisfy. */
  void CheckReply(const std::string& id, const Reply& reply,
                  milliseconds timeout, bool stream) {
    BOOST_TEST_CONTEXT(id << " " << reply.status << " " << reply.body
                          << reply.failure) {
      BOOST_TEST((reply.took < timeout + kSlack));
      BOOST_TEST(HasOnlyOwnTokens(reply.body, id));
      if (reply.ok()) {
        BOOST_TEST(IsComplete(reply.body, id, stream));
      } else if (reply.failure.empty()) {
        BOOST_TEST(!reply.outcome().empty());
        if (reply.outcome() == "not_run") BOOST_TEST(!WasStarted(id));
      } else {
        // A cut stream must not contain the end marker.
        BOOST_TEST(reply.body.find("[DONE]") == std::string::npos);
      }
    }
  }

  static bool IsComplete(const std::string& body, const std::string& id,
                         bool stream) {
    for (int i = 0; i < kTokens; ++i) {
      if (body.find(fmt::format("{}#{}", id, i)) == std::string::npos) {
        return false;
      }
    }
    return !stream || body.find("data: [DONE]") != std::string::npos;
  }

  /** Tokens are "ID#N": every '#' must follow this request's id. */
  static bool HasOnlyOwnTokens(const std::string& body, const std::string& id) {
    for (std::size_t at = body.find('#'); at != std::string::npos;
         at = body.find('#', at + 1)) {
      const bool own =
          at >= id.size() && body.compare(at - id.size(), id.size(), id) == 0;
      if (!own) return false;
    }
    return true;
  }

  /** Sends streamed and other requests through both entries and checks every
   * reply. @return How many were answered. */
  int SendAndCheck(const std::string& name, int count, milliseconds timeout,
                   const std::function<void()>& meanwhile) {
    std::vector<std::future<Reply>> pending;
    pending.reserve(count);
    for (int i = 0; i < count; ++i) {
      pending.push_back(
          SendAsync(kEntries[i % 2],
                    Chat("itinerary", Id(name, i), timeout, i % 3 == 0)));
    }
    meanwhile();
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      const Reply reply = pending[i].get();
      CheckReply(Id(name, i), reply, timeout, i % 3 == 0);
      if (reply.ok()) ++answered;
    }
    return answered;
  }

  static std::string Id(const std::string& name, int i) {
    return fmt::format("{}-{:03}-x", name, i);
  }

  std::size_t CountCrashes() {
    std::size_t n = 0;
    for (const char* vm : kEngines) {
      n += fleet.Record(vm).at("crashes").as_array().size();
    }
    return n;
  }

  Fleet fleet;
};

// Many concurrent requests have their answers interleaved on the same links.
// Each caller must get its own complete answer.
BOOST_FIXTURE_TEST_CASE(CrossedAnswersReachTheirOwnCallers, Cabins) {
  Configure();
  BOOST_TEST(SendAndCheck("crowd", 120, milliseconds(30'000), [] {}) == 120);
}

// More requests arrive than can be served within their timeouts. Those that
// can't be served must be refused early with Retry-After, not held until their
// timeouts.
BOOST_FIXTURE_TEST_CASE(OverloadIsRefusedEarly, Cabins) {
  Configure();
  constexpr int kCount = 80;
  constexpr milliseconds kTimeout{12'000};
  std::vector<std::future<Reply>> pending;
  pending.reserve(kCount);
  for (int i = 0; i < kCount; ++i) {
    pending.push_back(SendAsync(
        kEntries[i % 2],
        Chat("claims", Id("over", i), kTimeout, false, "a long claim", 100)));
  }
  int refused = 0;
  for (int i = 0; i < kCount; ++i) {
    const Reply reply = pending[i].get();
    if (reply.ok()) continue;
    ++refused;
    // Refused well before the deadline.
    BOOST_TEST((reply.took < kTimeout / 2));
    BOOST_TEST(reply.outcome() == "not_run");
    BOOST_TEST(http::FindHeader(reply.headers, "Retry-After").has_value());
    BOOST_TEST(!WasStarted(Id("over", i)));
  }
  BOOST_TEST(refused > 0);
  BOOST_TEST(refused < kCount);
}

// A request whose timeout is shorter than any load must be refused without
// being started.
BOOST_FIXTURE_TEST_CASE(ImpossibleDeadlineStartsNothing, Cabins) {
  Configure();
  const Reply reply =
      SendAsync("entry-1", Chat("itinerary", "hasty", milliseconds(50), false))
          .get();
  BOOST_TEST(reply.outcome() == "not_run");
  BOOST_TEST(http::FindHeader(reply.headers, "Retry-After").has_value());
  BOOST_TEST(!WasStarted("hasty"));
}

// An engine crashes under load. Its callers get a complete answer from another
// engine or an explicit error, never half an answer marked as complete.
BOOST_FIXTURE_TEST_CASE(EngineCrashUnderLoad, Cabins) {
  Configure();
  const int answered = SendAndCheck("crash", 60, milliseconds(20'000), [this] {
    std::this_thread::sleep_for(milliseconds(500));
    for (const char* vm : {"engine-1", "engine-2"}) {
      fleet.SetFaults(vm, R"({"crash_now": true})");
      std::this_thread::sleep_for(milliseconds(300));
    }
  });
  BOOST_TEST(answered > 0);
}

// A request crashes every engine that runs it, and its caller retries it
// through both entries. It must be quarantined before it crashes a third
// engine, and other requests must still be answered.
BOOST_FIXTURE_TEST_CASE(CrashingRequestIsQuarantined, Cabins) {
  Configure();
  for (const char* vm : kEngines) {
    fleet.SetFaults(vm, R"({"crash_on": "poison"})");
  }
  Reply last;
  for (int i = 0; i < 6; ++i) {
    last =
        SendAsync(kEntries[i % 2], Chat("itinerary", Id("bad", i),
                                        milliseconds(20'000), false, "poison"))
            .get();
    BOOST_TEST(!last.ok());
  }
  BOOST_TEST(CountCrashes() <= 2U);
  BOOST_TEST(last.problem() == "quarantined");
  BOOST_TEST(last.outcome() == "not_run");
  BOOST_TEST(SendAndCheck("good", 10, milliseconds(30'000), [] {}) == 10);
}

// A caller disconnects before the answer is complete. The engine must cancel
// the request, and a queued request must leave the queue.
BOOST_FIXTURE_TEST_CASE(DisconnectedCallerIsCancelled, Cabins) {
  Configure();
  BOOST_TEST(SendAndCheck("warm", 1, milliseconds(20'000), [] {}) == 1);
  for (const char* entry : kEntries) {
    const std::string id = fmt::format("left-{}", entry);
    const Reply reply = fleet.SendAndDisconnect(
        fleet.EntryAddress(entry),
        Chat("itinerary", id, milliseconds(60'000), false, "long", 4000),
        milliseconds(500));
    BOOST_TEST(!reply.failure.empty());
    BOOST_TEST(WasStarted(id));
    BOOST_TEST(Eventually([&] { return OutcomeAtEngine(id) == "cancelled"; }));
  }
}

// The entry that is the model's home freezes. Callers of the other entry must
// not wait for it until their timeouts.
BOOST_FIXTURE_TEST_CASE(FrozenHomeIsBypassed, Cabins) {
  Configure();
  for (const char* victim : kEntries) {
    const std::string other =
        victim == std::string_view("entry-1") ? "entry-2" : "entry-1";
    fleet.entry(victim).process->Signal(SIGSTOP);
    const std::string id = "while-frozen-" + other;
    const Reply reply =
        SendAsync(other, Chat("itinerary", id, milliseconds(20'000), false))
            .get();
    CheckReply(id, reply, milliseconds(20'000), false);
    BOOST_TEST(reply.ok());
    fleet.entry(victim).process->Signal(SIGCONT);
    // After it resumes, the entry finds its links lost, and load balancers send
    // it nothing until it is ready again. The pause lets it detect this.
    std::this_thread::sleep_for(milliseconds(300));
    BOOST_TEST(Eventually([&] {
      return fleet.Send(fleet.EntryAddress(victim), {"GET", "/readyz", {}, ""})
                 .status == 200;
    }));
  }
}

// The links to two of the three endpoints drop traffic in one or both
// directions while answers are in progress. Callers get a complete answer from
// another endpoint or an explicit error, and requests are served after the
// repair.
BOOST_FIXTURE_TEST_CASE(CutLinksCauseNoWrongAnswer, Cabins) {
  std::map<std::string, Relay*> relays;
  for (const char* vm : kEngines) relays[vm] = &fleet.AddRelay(vm);
  Configure();
  struct Cut {
    const char* name;
    bool to;
    bool from;
  };
  for (const Cut cut : {Cut{"to", true, false}, Cut{"from", false, true},
                        Cut{"both", true, true}}) {
    const int answered = SendAndCheck(cut.name, 30, milliseconds(20'000), [&] {
      std::this_thread::sleep_for(milliseconds(400));
      relays["engine-1"]->Cut(cut.to, cut.from);
      relays["engine-2"]->Cut(cut.to, cut.from);
    });
    BOOST_TEST_CONTEXT(cut.name) { BOOST_TEST(answered > 0); }
    relays["engine-1"]->Cut(false, false);
    relays["engine-2"]->Cut(false, false);
    BOOST_TEST(Eventually([&] {
      return SendAsync("entry-1",
                       Chat("itinerary", "after", milliseconds(9000), false))
          .get()
          .ok();
    }));
  }
}

// The key-value service is down for long. Loaded models must still be served;
// an unloaded one is refused with `not_run` and served after recovery.
BOOST_FIXTURE_TEST_CASE(KeyValueDownServesLoadedModels, Cabins) {
  Configure();
  BOOST_TEST(SendAndCheck("warm", 4, milliseconds(20'000), [] {}) == 4);
  fleet.SetFaults("kv", R"({"down": true})");
  BOOST_TEST(SendAndCheck("still", 8, milliseconds(20'000), [] {}) == 8);
  const Reply asleep =
      SendAsync("entry-2", Chat("claims", "asleep", milliseconds(6000), false))
          .get();
  BOOST_TEST(asleep.outcome() == "not_run");
  BOOST_TEST(http::FindHeader(asleep.headers, "Retry-After").has_value());
  fleet.SetFaults("kv", R"({"down": false})");
  BOOST_TEST(Eventually([&] {
    return SendAsync("entry-1",
                     Chat("claims", "awake", milliseconds(9000), false))
        .get()
        .ok();
  }));
}

// Each kind of bad input gets a typed error that names the bad field, and the
// entry keeps serving.
BOOST_FIXTURE_TEST_CASE(BadInputGetsTypedError, Cabins) {
  Configure();
  struct Row {
    http::Request request;
    int status;
    const char* problem;
    const char* names;
  };
  const auto post = [](std::string body) {
    return http::Request{"POST", "/v1/completions", {}, std::move(body)};
  };
  const auto with_header = [](const char* name, const char* value) {
    http::Request request = ChatRequest("itinerary", "x", "id");
    request.headers.push_back({name, value});
    return request;
  };
  const std::vector<Row> rows = {
      {post("{"), 400, "malformed_request", "body"},
      {post("[]"), 400, "malformed_request", "body"},
      {post(R"({"prompt":"x"})"), 400, "malformed_request", "model"},
      {post(R"({"model":"itinerary"})"), 400, "malformed_request", "prompt"},
      {post(R"({"model":"itinerary","prompt":"x","stream":1})"), 400,
       "malformed_request", "stream"},
      {post(R"({"model":"nobody","prompt":"x"})"), 404, "unknown_model",
       "nobody"},
      {post(R"({"model":"itinerary:none","prompt":"x"})"), 404,
       "unknown_adapter", "none"},
      {{"GET", "/services/none/x", {}, ""}, 404, "unknown_service", "none"},
      {{"GET", "/nowhere", {}, ""}, 404, "unknown_path", "nowhere"},
      {with_header("X-Request-Timeout-Ms", "soon"), 400, "bad_header",
       "X-Request-Timeout-Ms"},
      {with_header("X-Priority", "1e9"), 400, "bad_header", "X-Priority"},
      {with_header("Idempotency-Key", "a b"), 400, "bad_header",
       "Idempotency-Key"},
  };
  for (const Row& row : rows) {
    const Reply reply = SendAsync("entry-1", row.request).get();
    BOOST_TEST_CONTEXT(row.request.body.text() << " " << reply.body) {
      BOOST_TEST(reply.status == row.status);
      BOOST_TEST(reply.problem() == row.problem);
      BOOST_TEST(reply.outcome() == "not_run");
      BOOST_TEST(reply.body.find(row.names) != std::string::npos);
    }
  }
  BOOST_TEST(SendAndCheck("after", 3, milliseconds(20'000), [] {}) == 3);
}

}  // namespace
}  // namespace sapphire::tests

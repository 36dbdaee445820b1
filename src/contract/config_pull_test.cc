/** @file config_pull_test.cc Tests of distributing configurations over links.
 */
#define BOOST_TEST_MODULE config_pull
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "contract/config_pull_base.h"
#include "contract/testing_intent.h"
#include "link/link_base.h"

namespace sapphire::contract {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using testing::RandomIntent;

const core::PlanId kPlan("p");
/** One of this many chances to pull from the intact peer must be used. */
constexpr int kTries = 10;
/** Effectively disables heartbeats: frames are only sent for calls. */
constexpr milliseconds kNoHeartbeats{60'000};

/** A process that holds a configuration and links. */
struct Node {
  Node(asio::io_context& io, const std::string& vm, milliseconds heartbeat,
       const core::Clock& clock, const core::Logger& log)
      : puller(io.get_executor(), holder, parts, log),
        links(
            io.get_executor(), OptionsOf(vm, heartbeat),
            [this](std::shared_ptr<link::Call> call, gen::Message first) {
              return Handle(std::move(call), std::move(first));
            },
            puller.Hooks(), clock, log) {
    holder.OnChange([this](const Config&) { links.AnnounceVersion(); });
    address = links.Listen("127.0.0.1:0");
  }

  static link::LinkOptions OptionsOf(const std::string& vm,
                                     milliseconds heartbeat) {
    link::LinkOptions options;
    options.self.vm = vm;
    options.heartbeat_interval = heartbeat;
    options.dead_after = 2 * kNoHeartbeats;
    return options;
  }

  core::Task<> Handle(std::shared_ptr<link::Call> call, gen::Message first) {
    if (!first.__isset.config_pull) co_return;
    ++pulls;
    if (sends_corrupt_parts) {
      co_await call->Send(CorruptParts());
      co_return;
    }
    co_await puller.Serve(std::move(call), std::move(first.config_pull));
  }

  /** A part whose content does not match its hash. */
  [[nodiscard]] gen::Message CorruptParts() const {
    gen::Message message;
    gen::ConfigParts answer;
    answer.version = holder.version();
    answer.part_hashes = {PartHash("right")};
    gen::ConfigPart part;
    part.hash = answer.part_hashes[0];
    part.data = "wrong";
    answer.parts = {part};
    message.__set_config_parts(answer);
    return message;
  }

  ConfigHolder holder;
  PartCache parts{holder};
  ConfigPuller puller;
  link::LinkNode links;
  std::string address;
  bool sends_corrupt_parts = false;
  std::atomic<int> pulls = 0;
};

struct Fixture {
  Fixture() {
    for (auto& thread : threads) thread = std::thread([this] { io.run(); });
  }

  ~Fixture() {
    for (Node* node : {&a, &b, &c}) node->links.Close();
    io.stop();
    for (auto& thread : threads) thread.join();
  }

  /** Establishes a link. */
  void Connect(Node& from, const Node& to) {
    gen::Message message;
    message.__set_subscribe(gen::Subscribe());
    asio::co_spawn(asio::make_strand(io),
                   from.links.Open(to.address, std::move(message)),
                   asio::use_future)
        .get();
  }

  /** Waits for a version, for up to about 10 s. */
  static bool Reaches(const Node& node, std::int64_t version) {
    for (int i = 0; i < 2000; ++i) {
      if (node.holder.version() == version) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }

  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      asio::make_work_guard(io)};
  core::SystemClock clock;
  core::Logger log{{"test", core::VmId("t"), core::ZoneId("z")},
                   core::LogLevel::kError,
                   clock};
  testing::Random random{5};
  std::array<std::thread, 2> threads;
  Node a{io, "a", kNoHeartbeats, clock, log};
  Node b{io, "b", milliseconds(300), clock, log};
  /** Sends frames so often that one of them is the first after any pause. */
  Node c{io, "c", milliseconds(1), clock, log};
};

// The key-value service goes down right after a plan came into force at one
// entry. The other entries, and endpoints that this entry has no link to, get
// the plan from any peer that has it.
BOOST_FIXTURE_TEST_CASE(VersionsSpreadFromLinkToLink, Fixture) {
  Connect(b, a);
  Connect(c, b);
  for (int version = 1; version <= 3; ++version) {
    const Intent wanted = RandomIntent(random, 30);
    a.holder.Adopt({version, kPlan, wanted});
    BOOST_TEST(Reaches(b, version));
    BOOST_TEST(Reaches(c, version));
    BOOST_CHECK(c.holder.Current()->intent == wanted);
  }
}

// A VM is replaced while the key-value service is down, and its new process
// starts without a configuration. It gets the current one over its first link.
BOOST_FIXTURE_TEST_CASE(FreshProcessCatchesUp, Fixture) {
  a.holder.Adopt({41, kPlan, RandomIntent(random, 30)});
  Connect(b, a);
  BOOST_TEST(Reaches(b, 41));
}

BOOST_FIXTURE_TEST_CASE(OnlyChangedPartsAreSent, Fixture) {
  Intent intent = RandomIntent(random, 2'000);
  a.holder.Adopt({1, kPlan, intent});
  Connect(b, a);
  BOOST_TEST(Reaches(b, 1));
  const auto whole = a.links.counters().bytes_sent;
  testing::Mutate(random, intent);
  a.holder.Adopt({2, kPlan, intent});
  BOOST_TEST(Reaches(b, 2));
  const auto change = a.links.counters().bytes_sent - whole;
  BOOST_TEST_MESSAGE("whole " << whole << " bytes, change " << change);
  BOOST_TEST(change * 5 < whole);
}

// A configuration near the size limits exceeds the maximum frame of a link.
BOOST_FIXTURE_TEST_CASE(LargeConfigurationTakesSeveralMessages, Fixture) {
  Intent intent = RandomIntent(random, 200);
  for (auto& [name, model] : intent.models) {
    model.adapters.clear();
    for (int i = 0; i < 500; ++i) {
      model.adapters.push_back(
          {core::AdapterId(fmt::format("{:064}", i)), "1", 1});
    }
  }
  a.holder.Adopt({1, kPlan, intent});
  Connect(b, a);
  BOOST_TEST(Reaches(b, 1));
  BOOST_CHECK(b.holder.Current()->intent == intent);
}

// One peer with damaged memory announces a newer version but sends parts that
// don't match their hashes. No process may adopt them, and the peer must not
// prevent pulls of the correct parts from other peers.
BOOST_FIXTURE_TEST_CASE(DamagedPartsAreNotAdopted, Fixture) {
  const Intent wanted = RandomIntent(random, 30);
  c.sends_corrupt_parts = true;
  c.holder.Adopt({9, kPlan, RandomIntent(random, 30)});
  Connect(b, c);
  while (c.pulls < 2) std::this_thread::sleep_for(milliseconds(5));
  BOOST_TEST(b.holder.version() == 0);
  a.holder.Adopt({9, kPlan, wanted});
  // Each call brings a few frames of the intact peer. They must not all arrive
  // while pulls are paused after failures of the damaged peer.
  int tries = 0;
  for (; b.holder.version() == 0 && tries < kTries; ++tries) {
    Connect(b, a);
    std::this_thread::sleep_for(milliseconds(5));
  }
  BOOST_TEST(tries < kTries);
  BOOST_REQUIRE(Reaches(b, 9));
  BOOST_CHECK(b.holder.Current()->intent == wanted);
}

// A process that was frozen still announces an older version than its peers.
// No peer reverts to it, and the process catches up.
BOOST_FIXTURE_TEST_CASE(OlderVersionIsNotAdopted, Fixture) {
  a.holder.Adopt({5, kPlan, RandomIntent(random, 30)});
  b.holder.Adopt({4, kPlan, RandomIntent(random, 30)});
  Connect(a, b);
  BOOST_TEST(Reaches(b, 5));
  BOOST_TEST(a.holder.version() == 5);
}

}  // namespace
}  // namespace sapphire::contract

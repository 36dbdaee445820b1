/** @file config_pull_test.cc Configuration spreads over real links. */
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
/** Of ten chances to ask an honest peer one must be taken. */
constexpr int kTries = 10;
/** Frames come with calls only. */
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
    if (liar) {
      co_await call->Send(Lie());
      co_return;
    }
    co_await puller.Serve(std::move(call), std::move(first.config_pull));
  }

  /** A part whose content does not match its hash. */
  [[nodiscard]] gen::Message Lie() const {
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
  bool liar = false;
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

  /** Brings a link up. */
  void Connect(Node& from, const Node& to) {
    gen::Message message;
    message.__set_subscribe(gen::Subscribe());
    asio::co_spawn(asio::make_strand(io),
                   from.links.Open(to.address, std::move(message)),
                   asio::use_future)
        .get();
  }

  /** Waits, for a long time if need be, for a version. */
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
  /** Its frames come so often that after any pause they are first. */
  Node c{io, "c", milliseconds(1), clock, log};
};

// The key-value service is down when a plan has just come into force at one
// entry. The others, and endpoints that no operator's entry is linked to, get
// it from whoever has it.
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

// A VM is replaced, and its new process starts with nothing while the service
// is down. Its first link brings it up to date.
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

// A configuration near the limits is longer than any frame of a link may be.
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

// One peer's memory is damaged: it shows a newer version, and the parts that it
// sends don't match. Nobody may take them, and it must not keep others from
// being asked: the true ones still come from them.
BOOST_FIXTURE_TEST_CASE(DamagedPartsAreNotTaken, Fixture) {
  const Intent wanted = RandomIntent(random, 30);
  c.liar = true;
  c.holder.Adopt({9, kPlan, RandomIntent(random, 30)});
  Connect(b, c);
  while (c.pulls < 2) std::this_thread::sleep_for(milliseconds(5));
  BOOST_TEST(b.holder.version() == 0);
  a.holder.Adopt({9, kPlan, wanted});
  // Each brings a few frames of the honest peer; they must not all fall into
  // the pauses after the other's failures.
  int tries = 0;
  for (; b.holder.version() == 0 && tries < kTries; ++tries) {
    Connect(b, a);
    std::this_thread::sleep_for(milliseconds(5));
  }
  BOOST_TEST(tries < kTries);
  BOOST_REQUIRE(Reaches(b, 9));
  BOOST_CHECK(b.holder.Current()->intent == wanted);
}

// A process that was frozen still shows an older version after all others have
// moved on. Nobody goes back, and it catches up.
BOOST_FIXTURE_TEST_CASE(OlderVersionIsNotTaken, Fixture) {
  a.holder.Adopt({5, kPlan, RandomIntent(random, 30)});
  b.holder.Adopt({4, kPlan, RandomIntent(random, 30)});
  Connect(a, b);
  BOOST_TEST(Reaches(b, 5));
  BOOST_TEST(a.holder.version() == 5);
}

}  // namespace
}  // namespace sapphire::contract

/** @file crash_watch_test.cc Tests of refusing requests that crash engines. */
#define BOOST_TEST_MODULE crash_watch
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/task_func.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "routing/store_follower_base.h"
#include "serving/crash_watch_base.h"

namespace sapphire::serving {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

/** Longer than probing the engine and writing a crash take. */
constexpr milliseconds kSettled{400};
const std::string kCrashing = "deadly prompt";
const std::string kHarmless = "harmless prompt";

CallerRequest RequestOf(const std::string& body) {
  CallerRequest request;
  request.id = core::RequestId(body);
  request.model = core::ModelId("m");
  request.forward.method = "POST";
  request.forward.target = "/drafts/1";
  request.forward.body = body;
  return request;
}

ExchangeResult EndedAs(ExchangeEnd end) {
  ExchangeResult result;
  result.end = end;
  return result;
}

/** A port on loopback that accepts connections until it is closed. */
struct Port {
  explicit Port(boost::asio::io_context& io)
      : acceptor(io,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  tcp::acceptor acceptor;
  std::string address;
};

struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock) {}

  /** Adds the crash watch of another entry on the same store. */
  std::unique_ptr<CrashWatch> MakeWatch() {
    auto watch = std::make_unique<CrashWatch>(store, loads, io.get_executor(),
                                              clock, log);
    watch->Start();
    followers.push_back(std::make_unique<routing::StoreFollower>(
        routing::FollowOptions(), std::vector{watch->Hooks()}, store, clock,
        log));
    core::Spawn(io.get_executor(), log, "follow",
                [it = followers.back().get()] { return it->Run(); });
    return watch;
  }

  /** Sends a request from an entry to an engine; it ends with `end`. */
  void Send(CrashWatch& watch, const std::string& body,
            const std::string& instance, const std::string& address,
            ExchangeEnd end) {
    const CallerRequest request = RequestOf(body);
    WatchedSend send;
    send.fingerprint = FingerprintOf(request);
    send.request = request.id;
    send.model = request.model;
    send.instance = fleet::InstanceId(instance);
    send.address = address;
    watch.Begin(send);
    watch.End(send, EndedAs(end));
    Pass(kSettled);
  }

  void Pass(milliseconds time) { entry::testing::RunTask(io, Sleep(time)); }

  static core::Task<bool> Sleep(milliseconds time) {
    co_await core::SleepFor(time);
    co_return true;
  }

  static bool Refuses(const CrashWatch& watch, const std::string& body) {
    try {
      watch.Check(FingerprintOf(RequestOf(body)));
    } catch (const core::Error& e) {
      return e.code() == core::ErrorCode::kQuarantined;
    }
    return false;
  }

  boost::asio::io_context io;
  core::SystemClock clock;
  core::ManualClock store_clock;
  core::Logger log;
  entry::testing::MemoryKeyValue store{store_clock};
  fleet::EngineLoads loads{clock};
  std::vector<std::unique_ptr<routing::StoreFollower>> followers;
};

/** @return The address of a port that has been closed. */
std::string ClosedPort(boost::asio::io_context& io) { return Port(io).address; }

}  // namespace

/** Guards against one request that crashes engine after engine. Its caller
 * retries it at another entry each time, so that no entry sees two crashes
 * itself. */
BOOST_AUTO_TEST_CASE(ARequestThatCrashedTwoEnginesIsRefusedByEveryEntry) {
  Rig rig;
  const auto one = rig.MakeWatch();
  const auto two = rig.MakeWatch();
  const auto three = rig.MakeWatch();
  const std::string dead = ClosedPort(rig.io);
  rig.Send(*one, kCrashing, "i-1", dead, ExchangeEnd::kLost);
  BOOST_TEST(!Rig::Refuses(*three, kCrashing));
  rig.Send(*two, kCrashing, "i-2", dead, ExchangeEnd::kLost);
  BOOST_TEST(Rig::Refuses(*one, kCrashing));
  BOOST_TEST(Rig::Refuses(*two, kCrashing));
  BOOST_TEST(Rig::Refuses(*three, kCrashing));
  BOOST_TEST(!Rig::Refuses(*three, kHarmless));
}

/** Guards against a sound request that is refused permanently: it ran beside a
 * request that crashed the engine, was retried and completed; when the next
 * engine crashed under it, that counted as its second crash. */
BOOST_AUTO_TEST_CASE(CompletedRequestIsClearedOnEveryEntry) {
  Rig rig;
  const auto one = rig.MakeWatch();
  const auto two = rig.MakeWatch();
  const std::string dead = ClosedPort(rig.io);
  rig.Send(*one, kHarmless, "i-1", dead, ExchangeEnd::kLost);
  rig.Send(*two, kHarmless, "i-2", dead, ExchangeEnd::kServed);
  rig.Send(*one, kHarmless, "i-3", dead, ExchangeEnd::kCutMidway);
  BOOST_TEST(!Rig::Refuses(*one, kHarmless));
  BOOST_TEST(!Rig::Refuses(*two, kHarmless));
}

/** Guards against refused callers although no engine has crashed: a faulty
 * engine resets connections now and then and goes on serving. */
BOOST_AUTO_TEST_CASE(LostAnswerOfARunningEngineIsNoCrash) {
  Rig rig;
  const auto watch = rig.MakeWatch();
  const Port engine(rig.io);
  for (int i = 0; i < 3; ++i) {
    rig.Send(*watch, kHarmless, "i-1", engine.address, ExchangeEnd::kLost);
  }
  BOOST_TEST(!Rig::Refuses(*watch, kHarmless));
  BOOST_TEST(rig.store.Keys("quarantine/").empty());
}

/** Guards against a sound request that is blamed for a crash: its answer had
 * been arriving for seconds when the engine crashed. */
BOOST_AUTO_TEST_CASE(LongRunningAnswerIsNotSuspected) {
  Rig rig;
  const auto watch = rig.MakeWatch();
  WatchedSend send;
  send.fingerprint = FingerprintOf(RequestOf(kHarmless));
  send.instance = fleet::InstanceId("i-1");
  send.address = ClosedPort(rig.io);
  watch->Begin(send);
  send.first_byte = rig.clock.Now() - std::chrono::seconds(3);
  watch->End(send, EndedAs(ExchangeEnd::kCutMidway));
  rig.Pass(kSettled);
  BOOST_TEST(rig.store.Keys("quarantine/").empty());
}

}  // namespace sapphire::serving

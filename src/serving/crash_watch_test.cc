/** @file crash_watch_test.cc Tests of refusing requests that crash engines. */
#define BOOST_TEST_MODULE crash_watch
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
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

/** Longer than probing the engine and telling the others of a crash take. */
constexpr milliseconds kSettled{400};
const std::string kCrashing = "deadly prompt";
const std::string kHarmless = "harmless prompt";
constexpr std::uint64_t kCommonPart = 0xa1;
constexpr std::uint64_t kCrashingPart = 0xdead;
constexpr std::uint64_t kOwnPart = 0xc0;

CallerRequest RequestOf(const std::string& body) {
  CallerRequest request;
  request.id = core::RequestId(body);
  request.model = core::ModelId("m");
  request.forward.method = "POST";
  request.forward.target = "/drafts/1";
  request.forward.body = body;
  return request;
}

CallerRequest RequestWith(const std::string& body,
                          const std::vector<std::uint64_t>& parts) {
  CallerRequest request = RequestOf(body);
  for (const std::uint64_t it : parts) request.prompt_parts.push_back({it, 1});
  request.prompt_parts.push_back({kOwnPart, 1});
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

/** An entry, as far as it watches for crashes. */
struct Entry {
  Entry(std::string name, const fleet::EngineLoads& loads,
        const core::Clock& clock, const core::Logger& log)
      : peer_table(std::move(name), loads, clock, log) {}

  fleet::PeerTable peer_table;
  std::unique_ptr<CrashWatch> watch;
};

struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock) {}

  /** Adds the crash watch of another entry on the same store. */
  CrashWatch* MakeWatch() {
    const std::string name = "entries/" + std::to_string(entries.size() + 1);
    auto& entry = entries[name] =
        std::make_unique<Entry>(name, loads, clock, log);
    const auto send = [this](const std::string& address,
                             const gen::EntryDatagram& datagram) {
      Deliver(address, datagram);
    };
    entry->watch = std::make_unique<CrashWatch>(
        name,
        crash::SharingDependencies{entry->peer_table, send, store,
                                   io.get_executor(), clock, log},
        loads);
    entry->watch->Start();
    followers.push_back(std::make_unique<routing::StoreFollower>(
        routing::FollowOptions(), std::vector{entry->watch->Hooks()}, store,
        clock, log));
    core::Spawn(io.get_executor(), log, "follow",
                [it = followers.back().get()] { return it->Run(); });
    for (const auto& [one, its] : entries) {
      for (const auto& [other, any] : entries) {
        if (one == other) continue;
        gen::EntryPresence presence;
        presence.address = other;
        presence.vm = other;
        its->peer_table.PutEntry(other, presence);
      }
    }
    return entry->watch.get();
  }

  void Deliver(const std::string& address, const gen::EntryDatagram& datagram) {
    const auto it = entries.find(address);
    if (loses_datagrams || it == entries.end()) return;
    it->second->watch->OnDatagram(datagram.crash_evidence);
  }

  /** Sends a request from an entry to an engine; it ends with `end`. */
  void Send(CrashWatch& watch, const CallerRequest& request,
            const std::string& instance, const std::string& address,
            ExchangeEnd end) {
    SendAtOnce(watch, request, instance, address, end);
    Pass(kSettled);
  }

  static void SendAtOnce(CrashWatch& watch, const CallerRequest& request,
                         const std::string& instance,
                         const std::string& address, ExchangeEnd end) {
    WatchedSend send;
    send.traits = TraitsOf(request);
    send.request = request.id;
    send.model = request.model;
    send.instance = fleet::InstanceId(instance);
    send.address = address;
    watch.Begin(send);
    watch.End(send, EndedAs(end));
  }

  void Pass(milliseconds time) { entry::testing::RunTask(io, Sleep(time)); }

  static core::Task<bool> Sleep(milliseconds time) {
    co_await core::SleepFor(time);
    co_return true;
  }

  static bool Refuses(const CrashWatch& watch, const CallerRequest& request) {
    try {
      watch.Check({request.id, TraitsOf(request), false});
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
  bool loses_datagrams = false;
  std::map<std::string, std::unique_ptr<Entry>> entries;
  std::vector<std::unique_ptr<routing::StoreFollower>> followers;
};

/** @return The address of a port that has been closed. */
std::string ClosedPort(boost::asio::io_context& io) { return Port(io).address; }

}  // namespace

/** Guards against one request that crashes engine after engine. Its caller
 * retries it at another entry each time, so that no entry sees two crashes
 * itself. */
BOOST_AUTO_TEST_CASE(ARequestThatCrashedTwoEnginesIsRefusedByEveryEntry) {
  for (const bool loses_datagrams : {false, true}) {
    Rig rig;
    rig.loses_datagrams = loses_datagrams;
    CrashWatch& one = *rig.MakeWatch();
    CrashWatch& two = *rig.MakeWatch();
    CrashWatch& three = *rig.MakeWatch();
    const CallerRequest crashing = RequestOf(kCrashing);
    const std::string dead = ClosedPort(rig.io);
    rig.Send(one, crashing, "i-1", dead, ExchangeEnd::kLost);
    BOOST_TEST(!Rig::Refuses(three, crashing));
    rig.Send(two, crashing, "i-2", dead, ExchangeEnd::kLost);
    BOOST_TEST(Rig::Refuses(one, crashing));
    BOOST_TEST(Rig::Refuses(two, crashing));
    BOOST_TEST(Rig::Refuses(three, crashing));
    BOOST_TEST(!Rig::Refuses(three, RequestOf(kHarmless)));
  }
}

/** Guards against repeats of a crashing request that are tried again and again
 * because another request was beginning in the same engines. */
BOOST_AUTO_TEST_CASE(RepeatedRequestIsRefusedAlsoIfAnotherOneWasThere) {
  Rig rig;
  CrashWatch& watch = *rig.MakeWatch();
  const CallerRequest crashing = RequestOf(kCrashing);
  const std::string dead = ClosedPort(rig.io);
  for (const std::string instance : {"i-1", "i-2"}) {
    Rig::SendAtOnce(watch, RequestOf(kHarmless), instance, dead,
                    ExchangeEnd::kLost);
    rig.Send(watch, crashing, instance, dead, ExchangeEnd::kLost);
  }
  rig.Pass(milliseconds(1000));
  BOOST_TEST(Rig::Refuses(watch, crashing));
}

/** Guards against a sound request that is refused permanently: it ran beside a
 * request that crashed the engine, was retried and completed; when the next
 * engine crashed under it, that counted as its second crash. */
BOOST_AUTO_TEST_CASE(CompletedRequestIsClearedOnEveryEntry) {
  Rig rig;
  CrashWatch& one = *rig.MakeWatch();
  CrashWatch& two = *rig.MakeWatch();
  const CallerRequest harmless = RequestOf(kHarmless);
  const std::string dead = ClosedPort(rig.io);
  rig.Send(one, harmless, "i-1", dead, ExchangeEnd::kLost);
  rig.Send(two, harmless, "i-2", dead, ExchangeEnd::kServed);
  rig.Send(one, harmless, "i-3", dead, ExchangeEnd::kCutMidway);
  BOOST_TEST(!Rig::Refuses(one, harmless));
  BOOST_TEST(!Rig::Refuses(two, harmless));
}

/** Guards against refused callers although no engine has crashed: a faulty
 * engine resets connections now and then and goes on serving. */
BOOST_AUTO_TEST_CASE(LostAnswerOfARunningEngineIsNoCrash) {
  Rig rig;
  CrashWatch& watch = *rig.MakeWatch();
  const Port engine(rig.io);
  for (int i = 0; i < 3; ++i) {
    rig.Send(watch, RequestOf(kHarmless), "i-1", engine.address,
             ExchangeEnd::kLost);
  }
  BOOST_TEST(!Rig::Refuses(watch, RequestOf(kHarmless)));
  BOOST_TEST(rig.store.Keys(crash::kEvidencePrefix).empty());
}

/** Guards against a sound request that is blamed for a crash: its answer had
 * been arriving for seconds when the engine crashed. */
BOOST_AUTO_TEST_CASE(LongRunningAnswerIsNotSuspected) {
  Rig rig;
  CrashWatch& watch = *rig.MakeWatch();
  WatchedSend send;
  send.traits = TraitsOf(RequestOf(kHarmless));
  send.instance = fleet::InstanceId("i-1");
  send.address = ClosedPort(rig.io);
  watch.Begin(send);
  send.first_byte = rig.clock.Now() - std::chrono::seconds(3);
  watch.End(send, EndedAs(ExchangeEnd::kCutMidway));
  rig.Pass(kSettled);
  BOOST_TEST(rig.store.Keys(crash::kEvidencePrefix).empty());
}

/** Guards against a part that each entry has seen crash one engine only: no two
 * requests are alike, and every entry has to refuse the next one. */
BOOST_AUTO_TEST_CASE(PartThatCrashedThreeEnginesIsRefusedByEveryEntry) {
  for (const bool loses_datagrams : {false, true}) {
    Rig rig;
    rig.loses_datagrams = loses_datagrams;
    const std::vector<CrashWatch*> all{rig.MakeWatch(), rig.MakeWatch(),
                                       rig.MakeWatch(), rig.MakeWatch()};
    const std::string dead = ClosedPort(rig.io);
    rig.Send(*all[3], RequestWith("before", {kCommonPart}), "i-0", dead,
             ExchangeEnd::kServed);
    for (int i = 0; i < 3; ++i) {
      const auto crashing =
          RequestWith(std::to_string(i), {kCommonPart, kCrashingPart});
      rig.Send(*all[static_cast<std::size_t>(i)], crashing,
               "i-" + std::to_string(i), dead, ExchangeEnd::kLost);
    }
    for (CrashWatch* it : all) {
      BOOST_TEST(
          Rig::Refuses(*it, RequestWith("next", {kCommonPart, kCrashingPart})));
      BOOST_TEST(!Rig::Refuses(*it, RequestWith("sound", {kCommonPart})));
      BOOST_TEST(!Rig::Refuses(*it, RequestWith("other", {0xb2})));
    }
  }
}

/** Guards against crashes that are lost because two entries tell of the same
 * part at once. */
BOOST_AUTO_TEST_CASE(CrashesSeenAtOnceByManyEntriesAllCount) {
  Rig rig;
  rig.loses_datagrams = true;
  std::vector<CrashWatch*> all(6);
  for (CrashWatch*& it : all) it = rig.MakeWatch();
  const std::string dead = ClosedPort(rig.io);
  for (std::size_t i = 0; i < all.size(); ++i) {
    const std::string name = std::to_string(i);
    Rig::SendAtOnce(*all[i], RequestWith(name, {kCrashingPart}), "i-" + name,
                    dead, ExchangeEnd::kLost);
  }
  rig.Pass(kSettled);
  for (CrashWatch* it : all) {
    BOOST_TEST(Rig::Refuses(*it, RequestWith("next", {kCrashingPart})));
  }
}

/** Guards against one crash that counts several times because several entries
 * had requests in that engine. */
BOOST_AUTO_TEST_CASE(OneCrashSeenByManyEntriesCountsOnce) {
  Rig rig;
  const std::vector<CrashWatch*> all{rig.MakeWatch(), rig.MakeWatch(),
                                     rig.MakeWatch()};
  const std::string dead = ClosedPort(rig.io);
  for (CrashWatch* it : all) {
    Rig::SendAtOnce(*it, RequestWith(kHarmless, {kCommonPart}), "i-1", dead,
                    ExchangeEnd::kLost);
  }
  rig.Pass(kSettled);
  for (CrashWatch* it : all) {
    BOOST_TEST(!Rig::Refuses(*it, RequestWith("next", {kCommonPart})));
    BOOST_TEST(!Rig::Refuses(*it, RequestWith(kHarmless, {kCommonPart})));
  }
}

/** Guards against forgetting a part when the entries that saw it crash engines
 * are gone, and when the store was down as they did. */
BOOST_AUTO_TEST_CASE(EntryThatStartsLaterRefusesThePart) {
  Rig rig;
  CrashWatch& first = *rig.MakeWatch();
  const std::string dead = ClosedPort(rig.io);
  rig.store.down = true;
  for (int i = 0; i < 3; ++i) {
    rig.Send(first, RequestWith(std::to_string(i), {kCrashingPart}),
             "i-" + std::to_string(i), dead, ExchangeEnd::kLost);
  }
  rig.store.down = false;
  rig.Pass(milliseconds(1500));
  rig.loses_datagrams = true;
  CrashWatch& later = *rig.MakeWatch();
  rig.Pass(kSettled);
  BOOST_TEST(Rig::Refuses(later, RequestWith("next", {kCrashingPart})));
  BOOST_TEST(!Rig::Refuses(later, RequestWith("sound", {0xb2})));
}

/** Guards against an entry that has just started and blames a part which the
 * others know to be sound. */
BOOST_AUTO_TEST_CASE(PartThatOthersHaveSeenSurviveIsNotBlamed) {
  Rig rig;
  CrashWatch& old = *rig.MakeWatch();
  CrashWatch& fresh = *rig.MakeWatch();
  const std::string dead = ClosedPort(rig.io);
  rig.Send(old, RequestWith("served", {kCommonPart}), "i-0", dead,
           ExchangeEnd::kServed);
  for (int i = 1; i <= 3; ++i) {
    rig.Send(fresh, RequestWith(std::to_string(i), {kCommonPart}),
             "i-" + std::to_string(i), dead, ExchangeEnd::kLost);
  }
  BOOST_TEST(!Rig::Refuses(fresh, RequestWith("next", {kCommonPart})));
  BOOST_TEST(!Rig::Refuses(old, RequestWith("next", {kCommonPart})));
}

}  // namespace sapphire::serving

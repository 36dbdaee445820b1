/** @file engine_limit_test.cc Tests of engines that announce how many requests
 * per second they accept. */
#define BOOST_TEST_MODULE engine_limit
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <string>

#include "quota/quota_rig_test.h"
#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::RecordingWriter;
using testing::Rig;

/** Number of random fault sequences unless LIMIT_SEEDS is set. */
constexpr int kSeeds = 12;
/** Window in which operators count an engine's requests. */
constexpr milliseconds kWindow{4000};

/** @return The most requests that operators accept in one window. */
double Allowed(double per_second) {
  constexpr double kFactor = 1.5;
  constexpr double kExtra = 5;
  constexpr double kSeconds = 4;
  return kFactor * per_second * kSeconds + kExtra;
}

/** A fleet whose entries all send to one engine all the time. */
class Fleet {
 public:
  Fleet(int entries, double per_second)
      : rig(entries, EngineQuotaOptions()),
        limit_(EngineQuotaLimit(per_second)) {
    rig.Pass(milliseconds(3000));
  }

  void SendFor(milliseconds time) {
    constexpr milliseconds kPause{20};
    for (milliseconds gone{0}; gone < time; gone += kPause) {
      next_ = (next_ + 1) % rig.entries.size();
      if (!rig.At(next_).frozen) rig.Request(next_, kEngine, limit_, 1);
      rig.Pass(kPause);
    }
  }

  /** Ends the previous fault and injects another one. */
  void InjectFault(std::mt19937& random) {
    for (const auto& it : rig.entries) it->frozen = false;
    rig.is_cut = [](const std::string&, const std::string&) { return false; };
    rig.SyncPresences();
    const std::size_t coordinator = rig.CoordinatorOf(kEngine);
    const std::string vm = rig.At(coordinator).vm;
    switch (random() % 4) {
      case 0:
        rig.At(coordinator).frozen = true;
        break;
      case 1:
        rig.Kill(vm);
        rig.Start(vm);
        rig.SyncPresences();
        break;
      case 2:
        rig.is_cut = [vm](const std::string& a, const std::string& b) {
          return a == vm || b == vm;
        };
        break;
      default:
        rig.Start("joined-" + std::to_string(random()));
        rig.SyncPresences();
    }
  }

  quota::testing::QuotaRig rig;
  const quota::QuotaId kEngine{"engine#1"};

 private:
  const quota::SharedLimit limit_;
  std::size_t next_ = 0;
};

/** Answers with the rate that the engine accepts. */
http::Handler NamingLimit(std::string per_second) {
  return [per_second](const http::Request& request,
                      http::ResponseWriter& writer) -> core::Task<> {
    http::Response response = http::MakeResponse(200, "text/plain", "served");
    response.head.headers.push_back({"genuine", "1"});
    response.head.headers.push_back(
        {"id", std::string(*http::FindHeader(request.headers, "id"))});
    response.head.headers.push_back({"takes-per-second", per_second});
    co_await writer.Send(std::move(response));
  };
}

}  // namespace

/** Guards against requests beyond the rate that an engine has announced. */
BOOST_AUTO_TEST_CASE(EngineGetsNoMoreThanItsAnnouncedLimit) {
  constexpr int kRequests = 30;
  constexpr std::size_t kAllowedAtOnce = 6;
  Rig rig;
  const auto& limited = rig.AddEngine(testing::kPlain, NamingLimit("1"));
  rig.AddEngine(testing::kPlain, testing::Answering(200, false, "served"));
  for (int i = 0; i < kRequests; ++i) {
    RecordingWriter writer;
    rig.Serve("/safe/", milliseconds(2000), writer);
    BOOST_TEST(writer.status == 200);
  }
  BOOST_TEST(limited.requests.size() <= kAllowedAtOnce);
}

/** Guards against callers that get no answer, or a late one, when the only
 * engine of a service has used up its limit. */
BOOST_AUTO_TEST_CASE(CallerOfALimitedEngineIsServedOrRefusedInTime) {
  Rig rig;
  const auto& limited = rig.AddEngine(testing::kPlain, NamingLimit("2"));
  for (int i = 0; i < 6; ++i) {
    RecordingWriter writer;
    rig.Serve("/safe/", milliseconds(1500), writer);
    BOOST_TEST((writer.status == 200 || writer.status == 503));
  }
  BOOST_TEST(limited.requests.size() >= 3U);
  RecordingWriter hurried;
  rig.Serve("/safe/", milliseconds(40), hurried);
  BOOST_TEST(hurried.status == 503);
}

/** Guards against an engine that stays limited after it has stopped announcing
 * a limit. */
BOOST_AUTO_TEST_CASE(AnswerWithoutALimitEndsTheLimit) {
  Rig rig;
  const http::Handler announcing = NamingLimit("1");
  const http::Handler unlimited = testing::Answering(200, false, "");
  bool is_limited = true;
  rig.AddEngine(testing::kPlain, [&](const http::Request& request,
                                     http::ResponseWriter& writer) {
    return is_limited ? announcing(request, writer)
                      : unlimited(request, writer);
  });
  RecordingWriter first;
  rig.Serve("/safe/", milliseconds(2000), first);
  BOOST_TEST(rig.loads.limits().limited() == 1);
  is_limited = false;
  RecordingWriter second;
  rig.Serve("/safe/", milliseconds(3000), second);
  BOOST_TEST(second.status == 200);
  BOOST_TEST(rig.loads.limits().limited() == 0);
}

/** Guards against entries that each use an engine's whole limit. */
BOOST_AUTO_TEST_CASE(AllEntriesTogetherKeepAnEnginesLimit) {
  for (const int entries : {1, 2, 5, 22, 103}) {
    for (const double per_second : {0.0, 0.2, 1.0, 7.5, 40.0}) {
      Fleet fleet(entries, per_second);
      fleet.SendFor(milliseconds(12'000));
      BOOST_TEST(fleet.rig.MaxInWindow(kWindow) <= Allowed(per_second),
                 entries << " entries, " << per_second << " a second");
    }
  }
}

/** Guards against entries that leave much of an engine's limit unused. */
BOOST_AUTO_TEST_CASE(EntriesUseAnEnginesFullRate) {
  constexpr double kPerSecond = 5;
  Fleet fleet(5, kPerSecond);
  fleet.SendFor(milliseconds(12'000));
  BOOST_TEST(fleet.rig.Granted() >= kPerSecond * 11);
}

/** Guards against two entries that coordinate one engine's limit while its
 * coordinator ends and restarts and other entries join. */
BOOST_AUTO_TEST_CASE(LimitHoldsWhileEntriesRestartAndJoin) {
  constexpr double kPerSecond = 1;
  for (const int entries : {5, 22}) {
    Fleet fleet(entries, kPerSecond);
    fleet.SendFor(milliseconds(5000));
    const std::string vm =
        fleet.rig.At(fleet.rig.CoordinatorOf(fleet.kEngine)).vm;
    fleet.rig.Kill(vm);
    fleet.SendFor(milliseconds(3000));
    fleet.rig.Start(vm);
    fleet.rig.SyncPresences();
    fleet.SendFor(milliseconds(3000));
    for (int i = 0; i < entries; ++i) {
      fleet.rig.Start("new-" + std::to_string(i));
    }
    fleet.rig.SyncPresences();
    fleet.SendFor(milliseconds(5000));
    BOOST_TEST(fleet.rig.MaxInWindow(kWindow) <= Allowed(kPerSecond),
               entries << " entries");
  }
}

/** Guards against two entries that coordinate one engine's limit, in random
 * sequences of faults. */
BOOST_AUTO_TEST_CASE(LimitHoldsInRandomFaultSequences) {
  const char* text = std::getenv("LIMIT_SEEDS");
  const int seeds = text == nullptr ? kSeeds : std::atoi(text);
  constexpr int kFaults = 6;
  for (int seed = 1; seed <= seeds; ++seed) {
    std::mt19937 random(static_cast<unsigned>(seed));
    const double per_second = std::array{1.0, 4.0, 15.0}[random() % 3];
    Fleet fleet(std::array{2, 5, 22}[random() % 3], per_second);
    fleet.SendFor(milliseconds(3000));
    for (int i = 0; i < kFaults; ++i) {
      fleet.InjectFault(random);
      fleet.SendFor(milliseconds(4000));
    }
    BOOST_TEST(fleet.rig.MaxInWindow(kWindow) <= Allowed(per_second),
               "seed " << seed << ": " << fleet.rig.MaxInWindow(kWindow)
                       << " at " << per_second << " a second");
  }
}

}  // namespace sapphire::serving

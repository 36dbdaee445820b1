/** @file grant_ledger_test.cc Tests of the replica limits with failing writes.
 */
#define BOOST_TEST_MODULE grant_ledger
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "core/log_base.h"
#include "endpoint/fake_platform_test.h"
#include "endpoint/grant_func.h"
#include "endpoint/grant_ledger_base.h"

namespace sapphire::endpoint {

using core::ModelId;
using core::VmId;
using test::Error;
using test::ErrorCode;
using test::FakeStore;
using test::Millis;
using test::Task;
using Fault = FakeStore::Fault;

namespace {

const core::ServiceId kService("cabin");

std::shared_ptr<contract::Config> MakeConfig(int per_model, int per_service) {
  auto config = std::make_shared<contract::Config>();
  config->version = 1;
  contract::Service service;
  service.name = kService;
  service.max_replicas = per_service;
  config->intent.services[kService] = service;
  for (const char* name : {"a", "b", "c"}) {
    contract::Model model;
    model.name = ModelId(name);
    model.service = kService;
    model.max_replicas = per_model;
    config->intent.models[model.name] = model;
  }
  return config;
}

struct Rig {
  core::SystemClock clock;
  core::Logger log{
      {"test", VmId("vm"), core::ZoneId("z")}, core::LogLevel::kError, clock};
  boost::asio::io_context context;
  FakeStore store;
  GrantLedger ledger{VmId("vm1"), store, clock, log};
  std::shared_ptr<contract::Config> config = MakeConfig(1, 2);

  void Run(std::function<Task<>()> task) {
    core::Spawn(context.get_executor(), log, "test", std::move(task));
    context.restart();
    context.run();
  }

  /** @return The error, or none if a grant was taken. */
  std::optional<ErrorCode> Take(GrantLedger& taker, const char* model) {
    std::optional<ErrorCode> code;
    Run([&]() -> Task<> {
      try {
        co_await taker.Take(config, ModelId(model), 0,
                            clock.Now() + Millis(5000));
      } catch (const Error& e) {
        code = e.code();
      }
    });
    return code;
  }

  bool FlushPending() {
    bool settled = false;
    Run([&]() -> Task<> { settled = co_await ledger.FlushPending(); });
    return settled;
  }

  [[nodiscard]] LedgerValue StoredLedger() const {
    const std::string text = store.Value(LedgerKey(kService));
    return text.empty() ? LedgerValue{} : DecodeLedger(text);
  }
};

/** Applies `fault` to the next write only. */
void FailNextWrite(FakeStore& store, Fault fault) {
  store.fault = [next = fault]() mutable {
    return std::exchange(next, Fault::kNone);
  };
}

}  // namespace

BOOST_AUTO_TEST_CASE(LimitsOfModelAndServiceAreEnforced) {
  Rig rig;
  GrantLedger other(VmId("vm2"), rig.store, rig.clock, rig.log);
  GrantLedger third(VmId("vm3"), rig.store, rig.clock, rig.log);
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
  BOOST_TEST((rig.Take(other, "a") == ErrorCode::kReplicaLimit));
  BOOST_TEST(!rig.Take(other, "b"));
  BOOST_TEST((rig.Take(third, "c") == ErrorCode::kReplicaLimit));
  BOOST_TEST((rig.Take(third, "nope") == ErrorCode::kUnknownModel));
}

// Failure: a model could not be loaded on any VM, because its only grant
// belonged to a VM whose Take had failed. The swap had taken effect and its
// answer was lost.
BOOST_AUTO_TEST_CASE(TakeSucceedsIfOnlyTheSwapsAnswerIsLost) {
  Rig rig;
  FailNextWrite(rig.store, Fault::kAnswerLost);
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
  BOOST_TEST(rig.StoredLedger().grants.size() == 1U);
  BOOST_TEST(rig.ledger.pending() == 0);
}

// Failure: one VM holds two grants of a model, or one that it doesn't use. A
// swap timed out, the retry succeeded, and then the first swap took effect.
BOOST_AUTO_TEST_CASE(LateWriteOfARetriedTakeHasNoEffect) {
  Rig rig;
  FailNextWrite(rig.store, Fault::kAppliedLate);
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
  const LedgerValue before = rig.StoredLedger();
  rig.store.ApplyLateWrites();
  BOOST_TEST((rig.StoredLedger() == before));
  BOOST_TEST(before.grants.size() == 1U);
}

// Failure: the key-value service fails during a swap, and the caller is
// refused. The swap takes effect later, and no VM can load the model any more.
BOOST_AUTO_TEST_CASE(AbandonedTakeIsVoidedBeforeItTakesEffect) {
  Rig rig;
  rig.store.fault = [&] {
    rig.store.down = true;
    return Fault::kAppliedLate;
  };
  BOOST_TEST((rig.Take(rig.ledger, "a") == ErrorCode::kPlatformUnavailable));
  BOOST_TEST(rig.ledger.pending() == 1);
  BOOST_TEST(!rig.FlushPending());
  rig.store.down = false;
  rig.store.fault = [] { return Fault::kNone; };
  BOOST_TEST(rig.FlushPending());
  rig.store.ApplyLateWrites();
  BOOST_TEST(rig.StoredLedger().grants.empty());
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
}

// As above, but the swap takes effect while the service is still unreachable
// from this VM: the grant is in the ledger and has to be ended, not voided.
BOOST_AUTO_TEST_CASE(AbandonedTakeThatTookEffectIsEnded) {
  Rig rig;
  rig.store.fault = [&] {
    rig.store.down = true;
    return Fault::kAppliedLate;
  };
  rig.Take(rig.ledger, "a");
  rig.store.ApplyLateWrites();
  BOOST_TEST(rig.StoredLedger().grants.size() == 1U);
  rig.store.down = false;
  rig.store.fault = [] { return Fault::kNone; };
  BOOST_TEST(rig.FlushPending());
  BOOST_TEST(rig.StoredLedger().grants.empty());
}

// A model that is unloaded during an outage of the key-value service must still
// be loadable on the VM that has its grant, and on no other.
BOOST_AUTO_TEST_CASE(UnsentReleaseIsReclaimedInAnOutage) {
  Rig rig;
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
  const Grant grant = rig.StoredLedger().grants.at(0);
  rig.store.down = true;
  rig.ledger.Release(kService, grant);
  BOOST_TEST(!rig.FlushPending());
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
  BOOST_TEST(rig.ledger.pending() == 0);
  GrantLedger other(VmId("vm2"), rig.store, rig.clock, rig.log);
  BOOST_TEST((rig.Take(other, "a") == ErrorCode::kPlatformUnavailable));
}

// Failure: a release was sent and its answer was lost in an outage. If the
// grant was reclaimed, the release could still take effect while the model is
// loaded.
BOOST_AUTO_TEST_CASE(SentReleaseIsNotReclaimed) {
  Rig rig;
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
  rig.ledger.Release(kService, rig.StoredLedger().grants.at(0));
  rig.store.fault = [&] {
    rig.store.down = true;
    return Fault::kAppliedLate;
  };
  BOOST_TEST(!rig.FlushPending());
  BOOST_TEST((rig.Take(rig.ledger, "a") == ErrorCode::kPlatformUnavailable));
}

// A request for a model at the moment when its grant is released must not be
// refused while the key-value service is up.
BOOST_AUTO_TEST_CASE(TakeWaitsForAReleaseInProgress) {
  Rig rig;
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
  const std::int64_t fence = rig.StoredLedger().grants.at(0).fence;
  rig.ledger.Release(kService, rig.StoredLedger().grants.at(0));
  core::Spawn(rig.context.get_executor(), rig.log, "settle",
              [&]() -> Task<> { co_await rig.ledger.FlushPending(); });
  rig.context.poll_one();
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
  BOOST_TEST(rig.StoredLedger().grants.at(0).fence > fence);
}

// Failure: an operator lowered the limit, and an endpoint that didn't have the
// new configuration yet took a grant under the old limit.
BOOST_AUTO_TEST_CASE(OlderConfigurationCannotTakeAGrant) {
  Rig rig;
  rig.config->version = 5;
  BOOST_TEST(!rig.Take(rig.ledger, "a"));
  rig.config = MakeConfig(3, 3);
  rig.config->version = 4;
  BOOST_TEST((rig.Take(rig.ledger, "b") == ErrorCode::kNotConfigured));
}

namespace {

constexpr int kPerModel = 2;
constexpr int kPerService = 3;

/** One racing VM, and the grants it believes to hold. */
struct Racer {
  VmId vm;
  GrantLedger ledger;
  std::map<ModelId, Grant> held;
};
using Racers = std::vector<std::unique_ptr<Racer>>;

/** @return True if the grants of all racers together are within the limits. */
bool AreWithinLimits(const Racers& racers) {
  std::map<ModelId, int> held;
  int all = 0;
  for (const auto& it : racers) {
    for (const auto& [model, grant] : it->held) {
      ++all;
      if (++held[model] > kPerModel) return false;
    }
  }
  return all <= kPerService;
}

/** Takes and releases grants at random. */
Task<> Race(Rig& rig, const Racers& racers, Racer& self, std::mt19937& random) {
  for (int i = 0; i < 10; ++i) {
    const ModelId model(std::string(1, static_cast<char>('a' + random() % 3)));
    if (const auto it = self.held.find(model); it != self.held.end()) {
      self.ledger.Release(kService, it->second);
      self.held.erase(it);
    } else {
      try {
        self.held[model] = co_await self.ledger.Take(
            rig.config, model, 0, rig.clock.Now() + Millis(5000));
      } catch (const Error&) {
        self.held.erase(model);
      }
      BOOST_REQUIRE(AreWithinLimits(racers));
    }
    if (random() % 4 == 0) rig.store.ApplyLateWrites();
    if (random() % 2 != 0) continue;
    co_await self.ledger.FlushPending();
  }
}

/** @return A fault for three of ten writes, each kind equally likely. */
Fault RandomFault(std::mt19937& random) {
  switch (random() % 10) {
    case 0:
      return Fault::kAnswerLost;
    case 1:
      return Fault::kNeverArrived;
    case 2:
      return Fault::kAppliedLate;
    default:
      return Fault::kNone;
  }
}

}  // namespace

// All VMs take grants of the same models at the same time, while the key-value
// service loses answers and applies timed-out writes late. The limits may never
// be exceeded, and no grant may remain without a holder.
BOOST_AUTO_TEST_CASE(RacingVmsKeepTheLimitsWithFailingWrites) {
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    Rig rig;
    rig.config = MakeConfig(kPerModel, kPerService);
    rig.store.fault = [&] { return RandomFault(random); };
    Racers racers;
    for (int i = 0; i < 4; ++i) {
      const VmId vm("vm" + std::to_string(i));
      racers.emplace_back(
          new Racer{vm, {vm, rig.store, rig.clock, rig.log}, {}});
    }
    for (const auto& it : racers) {
      core::Spawn(
          rig.context.get_executor(), rig.log, "race",
          [&, racer = it.get()] { return Race(rig, racers, *racer, random); });
    }
    rig.context.run();
    rig.store.fault = [] { return Fault::kNone; };
    rig.store.ApplyLateWrites();
    std::size_t held = 0;
    for (const auto& it : racers) {
      rig.Run([&]() -> Task<> { co_await it->ledger.FlushPending(); });
      BOOST_REQUIRE_EQUAL(it->ledger.pending(), 0);
      for (const auto& [model, grant] : it->held) {
        const LedgerValue stands = rig.StoredLedger();
        BOOST_REQUIRE(FindGrant(stands, it->vm, model) != nullptr);
        ++held;
      }
    }
    BOOST_REQUIRE_EQUAL(rig.StoredLedger().grants.size(), held);
  }
}

}  // namespace sapphire::endpoint

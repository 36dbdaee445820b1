/** @file lease_history_test.cc Plays drawn histories of one engine's leases:
 * kills, pauses, a store that turns VMs away, lost and late writes. */
#define BOOST_TEST_MODULE lease_history
#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "fleet/entry_message_func.h"
#include "orders/engine_leases_base.h"
#include "orders/testing_vm_store.h"

namespace sapphire::orders {

namespace {

using core::SteadyTime;
using entry::testing::MemoryKeyValue;
using entry::testing::RunTask;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kEngine("10.0.0.1:80");
const std::string kKey(std::string(fleet::kEngineLeasePrefix) + kEngine);
constexpr milliseconds kHandoverGap{3000};
constexpr milliseconds kTick{100};
constexpr seconds kDuration{300};
/** Faults end this long before a history does: a VM is turned away or paused
 * for 27 s at most and away for 32 s, and the engine then changes hands once
 * more.
 */
constexpr seconds kQuietTime{60};

/** Draws from a seed. */
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : engine_(seed) {}
  bool OneIn(int n) { return engine_() % static_cast<unsigned>(n) == 0; }
  milliseconds Between(milliseconds low, milliseconds high) {
    const auto range = static_cast<std::uint64_t>((high - low).count() + 1);
    return low + milliseconds(engine_() % range);
  }

 private:
  std::mt19937_64 engine_;
};

/** What an engine reports of its orders. */
struct OrderState {
  int instance = 0;
  int order_count = 0;
  bool operator==(const OrderState&) const = default;
};

/** A VM and its process, which may be down or paused. */
struct Vm {
  Vm(std::string vm_name, std::string vm_address, MemoryKeyValue& shared)
      : name(std::move(vm_name)),
        address(std::move(vm_address)),
        store(shared) {}

  [[nodiscard]] bool IsRunning(SteadyTime now) const {
    return leases != nullptr && now >= paused_until;
  }

  const std::string name;
  const std::string address;
  VmStore store;
  std::unique_ptr<EngineLeases> leases;
  /** The engine's state when this process was last allowed to order. */
  std::optional<OrderState> last_held_state;
  SteadyTime restart_at;
  SteadyTime paused_until;
  SteadyTime served_from;
  SteadyTime renew_at;
  SteadyTime late_writes_at;
};

/** What a history has shown. */
struct HistoryResult {
  int orders = 0;
  /** Orders of another VM than the order before. */
  int changes = 0;
  /** Changes within kHandoverGap. */
  int too_early = 0;
  /** Orders with a lower token than the one before, or another VM's. */
  int token_faults = 0;
  /** The process beside the engine may order it once the faults are over. */
  bool returned = false;
};

/** One engine, the process beside it and two entries, on a manual clock. */
class History {
 public:
  explicit History(std::uint64_t seed)
      : draw_(seed),
        log_({"entry", core::VmId("vm"), core::ZoneId("z")},
             core::LogLevel::kError, clock_) {
    clock_.Advance(seconds(1000));
    vms_.push_back(std::make_unique<Vm>("side-1", "10.0.0.1:81", store_));
    vms_.push_back(std::make_unique<Vm>("front-1", "10.0.0.2:81", store_));
    vms_.push_back(std::make_unique<Vm>("front-2", "10.0.0.3:81", store_));
    last_held_ = clock_.Now();
  }

  HistoryResult Play() {
    const SteadyTime end = clock_.Now() + kDuration;
    while (clock_.Now() < end) {
      clock_.Advance(kTick);
      // The store deletes expired leases only when it is called.
      RunTask(io_, store_.List(""));
      const bool is_quiet = end - clock_.Now() < kQuietTime;
      if (!is_quiet && draw_.OneIn(300)) engine_ = {engine_.instance + 1, 0};
      for (const auto& it : vms_) {
        it->store.rejects = clock_.Now() < it->served_from;
        if (!is_quiet) DrawFault(*it);
        Run(*it);
        Order(*it);
      }
    }
    result_.returned =
        last_vm_ == vms_.front().get() && end - last_order_ < seconds(10);
    return result_;
  }

 private:
  [[nodiscard]] bool IsEndpoint(const Vm& vm) const {
    return &vm == vms_.front().get();
  }

  void DrawFault(Vm& vm) {
    const SteadyTime now = clock_.Now();
    if (draw_.OneIn(400)) Kill(vm);
    if (draw_.OneIn(600)) {
      vm.paused_until = now + draw_.Between(seconds(1), seconds(20));
    }
    if (draw_.OneIn(400)) {
      vm.served_from = now + draw_.Between(seconds(1), seconds(27));
    }
    if (draw_.OneIn(100)) {
      static constexpr std::array kFaults = {NextWrite::kAnswerLost,
                                             NextWrite::kTakesEffectLate,
                                             NextWrite::kKilled};
      vm.store.next_write = kFaults.at(static_cast<std::size_t>(
          draw_.Between(milliseconds(0), milliseconds(2)).count()));
    }
  }

  void Kill(Vm& vm) {
    vm.leases.reset();
    vm.last_held_state.reset();
    vm.store.killed = false;
    vm.store.next_write = NextWrite::kSound;
    vm.restart_at = clock_.Now() + draw_.Between(milliseconds(200), seconds(2));
    // Some processes stay away for so long that another takes over.
    if (draw_.OneIn(4)) vm.restart_at += draw_.Between(seconds(1), seconds(30));
  }

  void Start(Vm& vm) {
    LeaseOptions options;
    options.self.vm = vm.name;
    options.self.address = vm.address;
    options.handover_gap = kHandoverGap;
    vm.leases = std::make_unique<EngineLeases>(
        options,
        [this](const gen::EngineHolder& holder, const std::string&) {
          return ReleaseAt(holder.vm);
        },
        vm.store, clock_, log_);
    vm.renew_at = clock_.Now();
    if (IsEndpoint(vm)) vm.leases->RequestLease(kEngine);
  }

  core::Task<> ReleaseAt(std::string holder) {
    for (const auto& it : vms_) {
      if (it->name != holder || IsEndpoint(*it)) continue;
      if (!it->IsRunning(clock_.Now()) || draw_.OneIn(4)) continue;
      released_at_ = clock_.Now();
      try {
        co_await it->leases->Release(kEngine);
      } catch (const core::Error&) {
        // The entry's store does not answer; the endpoint asks again.
      }
    }
  }

  void Run(Vm& vm) {
    const SteadyTime now = clock_.Now();
    if (now >= vm.late_writes_at) {
      RunTask(io_, vm.store.ApplyLateWrites());
      vm.late_writes_at = now + draw_.Between(seconds(1), seconds(12));
    }
    if (vm.leases == nullptr && now >= vm.restart_at) Start(vm);
    if (!vm.IsRunning(now)) return;
    if (!IsEndpoint(vm)) ClaimAsEntry(vm);
    if (now >= vm.renew_at) {
      bool all_held = false;
      try {
        all_held = RunTask(io_, vm.leases->RenewOnce());
      } catch (const core::Error&) {
        // As in Run, the next round tries again.
      }
      vm.renew_at = now + (all_held ? seconds(3) : seconds(1));
    }
    if (vm.store.killed) Kill(vm);
  }

  /** Follows the rules of ControllerPool, with a view of the store that is
   * current unless the store turns the VM away. */
  void ClaimAsEntry(Vm& vm) {
    if (vm.store.rejects) return;
    const SteadyTime now = clock_.Now();
    const auto entry = store_.Peek(kKey);
    if (entry) {
      const auto holder = fleet::DecodeEngineHolder(entry->value);
      last_held_ = now;
      held_by_entry_ = holder.vm != vms_.front()->name;
      const bool is_own = holder.vm == vm.name;
      if (!is_own) vm.leases->CancelRequest(kEngine);
      if (is_own && now - released_at_ > seconds(4)) {
        vm.leases->RequestLease(kEngine);
      }
      return;
    }
    const milliseconds delay =
        held_by_entry_ ? milliseconds(500) : milliseconds(4000);
    const bool is_first = &vm == FirstEntry(now);
    if (is_first && now - last_held_ >= delay &&
        now - released_at_ > seconds(4)) {
      vm.leases->RequestLease(kEngine);
    }
  }

  [[nodiscard]] const Vm* FirstEntry(SteadyTime now) const {
    for (const auto& it : vms_) {
      if (!IsEndpoint(*it) && it->IsRunning(now)) return it.get();
    }
    return nullptr;
  }

  /** Orders at every tick at which the VM may. */
  void Order(Vm& vm) {
    const SteadyTime now = clock_.Now();
    if (!vm.IsRunning(now)) return;
    // Only the process beside the engine goes by the engine's report.
    const bool no_foreign_orders =
        IsEndpoint(vm) && vm.last_held_state == engine_;
    std::int64_t fence = 0;
    try {
      fence = vm.leases->FencingToken(kEngine, no_foreign_orders);
    } catch (const core::Error&) {
      return;
    }
    ++result_.orders;
    ++engine_.order_count;
    vm.last_held_state = engine_;
    if (last_vm_ != nullptr && last_vm_ != &vm) {
      ++result_.changes;
      if (now - last_order_ < kHandoverGap) ++result_.too_early;
      if (fence == last_fence_) ++result_.token_faults;
    }
    if (fence < last_fence_) ++result_.token_faults;
    last_vm_ = &vm;
    last_order_ = now;
    last_fence_ = fence;
  }

  Draw draw_;
  boost::asio::io_context io_;
  core::ManualClock clock_;
  core::Logger log_;
  MemoryKeyValue store_{clock_};
  std::vector<std::unique_ptr<Vm>> vms_;
  OrderState engine_;
  SteadyTime last_held_;
  bool held_by_entry_ = false;
  SteadyTime released_at_;
  const Vm* last_vm_ = nullptr;
  SteadyTime last_order_;
  std::int64_t last_fence_ = 0;
  HistoryResult result_;
};

/** @return The number of seeds to play; more are played by hand. */
int SeedCount() {
  const char* text = std::getenv("LEASE_SEEDS");
  return text == nullptr ? 200 : std::atoi(text);
}

}  // namespace

/** Guards against orders of two VMs within the handover gap, and against an
 * engine that nobody may order in the end, whatever happens to the processes,
 * their writes, the store and the engine. */
BOOST_AUTO_TEST_CASE(OrdersOfTwoVmsAreTheHandoverGapApart) {
  HistoryResult total;
  int broken = 0;
  int not_returned = 0;
  for (int seed = 1; seed <= SeedCount(); ++seed) {
    const HistoryResult result =
        History(static_cast<std::uint64_t>(seed)).Play();
    total.orders += result.orders;
    total.changes += result.changes;
    total.token_faults += result.token_faults;
    if (!result.returned) {
      ++not_returned;
      BOOST_TEST_MESSAGE("seed " << seed << ": the engine did not return");
    }
    if (result.too_early == 0) continue;
    ++broken;
    BOOST_TEST_MESSAGE("seed " << seed << ": " << result.too_early
                               << " changes within the gap");
  }
  BOOST_TEST_MESSAGE(total.orders << " orders, " << total.changes
                                  << " changes of VM");
  BOOST_TEST(broken == 0);
  BOOST_TEST(total.token_faults == 0);
  BOOST_TEST(not_returned == 0);
  // A history in which no engine changes hands shows nothing.
  BOOST_TEST(total.changes >= SeedCount());
}

}  // namespace sapphire::orders

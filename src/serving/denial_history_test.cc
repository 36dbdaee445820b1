/** @file denial_history_test.cc Plays drawn histories of what one entry knows
 * of the configuration, and checks each denial that it confirms. */
#define BOOST_TEST_MODULE denial_history
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/error_type.h"
#include "core/signal_base.h"
#include "core/task_func.h"
#include "external/key_value_base.h"
#include "routing/routing_table_base.h"
#include "routing/store_follower_base.h"
#include "serving/configuration_refresh_base.h"

namespace sapphire::serving {

namespace {

using core::SteadyTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kKey = "config";
constexpr milliseconds kStep{10};
constexpr seconds kDuration{25};
/** Watches of a store that drops its history hear nothing for this long. */
constexpr seconds kDeafTime{1};
/** A store that is silent makes a call fail after this time. */
constexpr milliseconds kCallLimit{1000};

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

/** What watches tell of changes that are made while they hear nothing. */
enum class Deafness {
  kTold,         ///< Them, once they hear again, unless history was dropped.
  kUnmentioned,  ///< Nothing; they name the revision that they were asked
                 ///< after.
  kLeftOut,      ///< Later changes only, ever after.
};

/** Until when each fault lasts. */
struct Faults {
  SteadyTime slow;
  SteadyTime rejecting;
  SteadyTime silent;
  SteadyTime deaf;
  /** The thread of the entry does nothing. */
  SteadyTime busy;
};

/** A store in simulated time: its calls travel, wait and are answered as the
 * simulation advances. */
class DrawnStore final : public external::KeyValueStore {
 public:
  DrawnStore(Deafness deafness, const core::ManualClock& clock, Draw& draw)
      : deafness_(deafness), clock_(clock), draw_(draw) {}

  Faults faults;

  void Write(const std::string& key, const std::string& value) {
    ++revision_;
    values_[key] = {key, value, revision_};
    const bool is_left_out =
        deafness_ == Deafness::kLeftOut && clock_.Now() < faults.deaf;
    if (!is_left_out) history_.push_back({key, value, revision_});
  }

  void DropHistory() {
    dropped_until_ = revision_;
    history_.clear();
    CutWatches();
  }

  /** Ends all watches that wait, with an answer that has no changes. */
  void CutWatches() {
    for (const auto& it : calls_) {
      if (it->is_watch && it->arrived) it->cut = true;
    }
  }

  /** Advances all calls. */
  void Step() {
    for (const auto& it : calls_) Advance(*it);
    const bool any = std::ranges::any_of(
        calls_, [this](const auto& it) { return IsDelivered(*it); });
    if (any) delivered_.Notify();
  }

  core::Task<std::optional<external::KvEntry>> Get(std::string key) override {
    const auto call = Begin({.is_watch = false, .prefix = std::move(key)});
    co_await Finish(call);
    co_return call->found;
  }
  core::Task<external::WatchBatch> Watch(std::string prefix,
                                         std::int64_t revision,
                                         milliseconds wait) override {
    const auto call = Begin({.is_watch = true,
                             .prefix = std::move(prefix),
                             .after = revision,
                             .wait = wait});
    co_await Finish(call);
    co_return std::move(call->batch);
  }
  core::Task<external::KvSnapshot> Snapshot(std::string prefix) override {
    const auto call = Begin({.is_watch = false, .prefix = std::move(prefix)});
    co_await Finish(call);
    external::KvSnapshot snapshot;
    snapshot.entries = std::move(call->listed);
    snapshot.revision = call->batch.revision;
    co_return snapshot;
  }
  core::Task<std::vector<external::KvEntry>> List(std::string) override {
    co_return std::vector<external::KvEntry>();
  }
  core::Task<external::CasResult> CompareAndSwap(std::string, std::int64_t,
                                                 std::string,
                                                 std::string) override {
    co_return external::CasResult();
  }
  core::Task<bool> DeleteIf(std::string, std::int64_t) override {
    co_return false;
  }
  core::Task<external::KvLease> GrantLease(milliseconds) override {
    co_return external::KvLease();
  }
  core::Task<bool> KeepAlive(std::string) override { co_return false; }

 private:
  struct Call {
    bool is_watch = false;
    std::string prefix;
    std::int64_t after = 0;
    milliseconds wait{0};
    SteadyTime arrives;
    bool arrived = false;
    bool cut = false;
    SteadyTime ends;
    std::optional<SteadyTime> answer_arrives;
    bool failed = false;
    external::WatchBatch batch;
    std::optional<external::KvEntry> found;
    std::vector<external::KvEntry> listed;
  };

  std::shared_ptr<Call> Begin(Call call) {
    call.arrives = clock_.Now() + Travel();
    calls_.push_back(std::make_shared<Call>(std::move(call)));
    return calls_.back();
  }

  core::Task<> Finish(std::shared_ptr<Call> call) {
    while (!IsDelivered(*call)) {
      co_await delivered_.Wait(delivered_.epoch(), seconds(60));
    }
    std::erase(calls_, call);
    if (!call->failed) co_return;
    throw core::Error(core::ErrorCode::kPlatformUnavailable, "drawn");
  }

  milliseconds Travel() {
    return clock_.Now() < faults.slow
               ? draw_.Between(milliseconds(50), milliseconds(900))
               : draw_.Between(milliseconds(1), milliseconds(8));
  }

  [[nodiscard]] bool IsDelivered(const Call& call) const {
    return call.answer_arrives && clock_.Now() >= *call.answer_arrives;
  }

  void Advance(Call& call) {
    const SteadyTime now = clock_.Now();
    if (call.answer_arrives || now < call.arrives) return;
    if (now < faults.rejecting) return Answer(call, true);
    if (now < faults.silent) {
      call.failed = true;
      call.answer_arrives = now + kCallLimit;
      return;
    }
    if (!call.arrived) {
      call.arrived = true;
      call.ends = now + call.wait;
    }
    if (!call.is_watch) return Read(call);
    call.batch.gap = call.after < dropped_until_;
    const bool hears = now >= faults.deaf;
    if (hears) call.batch.events = ChangesAfter(call);
    const bool names_newest = hears || deafness_ != Deafness::kUnmentioned;
    call.batch.revision = names_newest ? revision_ : call.after;
    const bool ended = call.cut || now >= call.ends || call.batch.gap;
    if (ended || !call.batch.events.empty()) Answer(call, false);
  }

  void Read(Call& call) {
    for (const auto& [key, entry] : values_) {
      if (key == call.prefix) call.found = entry;
      if (key.starts_with(call.prefix)) call.listed.push_back(entry);
    }
    call.batch.revision = revision_;
    Answer(call, false);
  }

  void Answer(Call& call, bool failed) {
    call.failed = failed;
    call.answer_arrives = clock_.Now() + Travel();
  }

  [[nodiscard]] std::vector<external::KvEvent> ChangesAfter(
      const Call& call) const {
    std::vector<external::KvEvent> found;
    std::ranges::copy_if(history_, std::back_inserter(found),
                         [&call](const external::KvEvent& it) {
                           return it.revision > call.after &&
                                  it.key.starts_with(call.prefix);
                         });
    return found;
  }

  const Deafness deafness_;
  const core::ManualClock& clock_;
  Draw& draw_;
  std::vector<std::shared_ptr<Call>> calls_;
  core::Signal delivered_;
  std::map<std::string, external::KvEntry> values_;
  std::vector<external::KvEvent> history_;
  std::int64_t revision_ = 0;
  std::int64_t dropped_until_ = 0;
};

/** One entry that follows a store and is asked for routes that it lacks. */
class History {
 public:
  History(std::uint64_t seed, Deafness deafness)
      : deafness_(deafness), draw_(seed) {
    has_many_changes_ = draw_.OneIn(2);
    Configure();
  }

  /** @return What was wrong with the first false denial; empty if none was. */
  std::string Run() {
    core::Spawn(io_.get_executor(), log_, "follow",
                [this] { return follower_.Run(); });
    const SteadyTime end = clock_.Now() + kDuration;
    while (clock_.Now() < end && failure_.empty()) {
      clock_.Advance(kStep);
      ChangeStore();
      DrawFault();
      store_.Step();
      if (clock_.Now() >= store_.faults.busy) RunThread();
    }
    return failure_;
  }

  [[nodiscard]] int denials() const { return denials_; }

 private:
  static routing::FollowOptions FollowOptionsOf() {
    routing::FollowOptions options;
    options.watch_wait = milliseconds(2000);
    options.batch_pause = milliseconds(0);
    options.retry_pause = milliseconds(0);
    options.late_after = milliseconds(5000);
    return options;
  }

  std::vector<routing::FollowHooks> Hooks() {
    routing::FollowHooks hooks;
    hooks.prefix = kKey;
    hooks.listed = [this](const std::vector<external::KvEntry>& entries,
                          routing::LapseGraceEnd) {
      for (const external::KvEntry& it : entries) Adopt(it);
    };
    hooks.changed = [this](const external::KvEvent& it,
                           routing::LapseGraceEnd) {
      if (it.value) Adopt({it.key, *it.value, it.revision});
    };
    return {hooks};
  }

  static routing::Configuration Read(const std::string& text) {
    routing::Configuration configuration;
    configuration.version = std::stoll(text);
    return configuration;
  }

  void Adopt(const external::KvEntry& document) {
    routing::AdoptDocument(holder_, Read, document, log_);
  }

  void Configure() {
    written_.push_back(clock_.Now());
    store_.Write(kKey, std::to_string(written_.size()));
    next_version_ =
        clock_.Now() + draw_.Between(milliseconds(300), milliseconds(6000));
  }

  void ChangeStore() {
    if (clock_.Now() >= next_version_) Configure();
    if (draw_.OneIn(has_many_changes_ ? 5 : 200)) store_.Write("engine", "x");
    if (is_deaf_ && clock_.Now() >= store_.faults.deaf) {
      is_deaf_ = false;
      if (deafness_ != Deafness::kLeftOut) store_.DropHistory();
    }
  }

  void DrawFault() {
    if (!draw_.OneIn(150)) return;
    Faults& faults = store_.faults;
    const SteadyTime end =
        clock_.Now() + draw_.Between(milliseconds(300), milliseconds(4000));
    if (draw_.OneIn(6)) faults.slow = end;
    if (draw_.OneIn(8)) faults.rejecting = end;
    if (draw_.OneIn(8)) faults.silent = end;
    if (draw_.OneIn(4)) store_.CutWatches();
    if (draw_.OneIn(4)) faults.busy = end;
    if (draw_.OneIn(4)) {
      is_deaf_ = true;
      faults.deaf = clock_.Now() + kDeafTime;
      // Changes are made while watches hear nothing.
      next_version_ = clock_.Now() + draw_.Between(milliseconds(0), kDeafTime);
    }
  }

  void RunThread() {
    if (draw_.OneIn(10)) {
      core::Spawn(io_.get_executor(), log_, "deny",
                  [this, asked = clock_.Now()] { return Deny(asked); });
    }
    constexpr int kTurns = 6;
    for (int i = 0; i < kTurns; ++i) io_.poll();
    io_.restart();
  }

  core::Task<> Deny(SteadyTime asked) {
    const bool confirmed = co_await refresh_.Confirm(asked);
    if (!confirmed) co_return;
    ++denials_;
    const SteadyTime since = asked - options_.max_age;
    const auto newest = std::ranges::count_if(
        written_, [since](SteadyTime it) { return it <= since; });
    if (holder_.version() >= newest || !failure_.empty()) co_return;
    const SteadyTime missed =
        written_[static_cast<std::size_t>(holder_.version())];
    failure_ = "denied by version " + std::to_string(holder_.version()) +
               ", version " + std::to_string(holder_.version() + 1) + " is " +
               std::to_string((asked - missed) / milliseconds(1)) + " ms old";
  }

  const Deafness deafness_;
  Draw draw_;
  boost::asio::io_context io_;
  core::ManualClock clock_;
  core::Logger log_{{"entry", core::VmId("v"), core::ZoneId("z")},
                    core::LogLevel::kError,
                    clock_};
  DrawnStore store_{deafness_, clock_, draw_};
  routing::ConfigurationHolder holder_;
  routing::StoreFollower follower_{FollowOptionsOf(), Hooks(), store_, clock_,
                                   log_};
  const RefreshOptions options_{kKey};
  ConfigurationRefresh refresh_{options_,
                                MakeFollowedState(holder_, follower_),
                                store_,
                                [this](const external::KvEntry& it) {
                                  Adopt(it);
                                  return !holder_.LacksNewest();
                                },
                                io_.get_executor(),
                                clock_,
                                log_};
  /** When each version was written; the first is version 1. */
  std::vector<SteadyTime> written_;
  SteadyTime next_version_;
  bool has_many_changes_ = false;
  bool is_deaf_ = false;
  int denials_ = 0;
  std::string failure_;
};

int HistoryCount() {
  constexpr int kUsual = 300;
  const char* const text = std::getenv("HISTORY_SEEDS");
  return text == nullptr ? kUsual : std::atoi(text);
}

/** Plays histories of one kind, and checks that no denial rests on a
 * configuration that had been replaced. */
void CheckDenials(Deafness deafness) {
  int failed = 0;
  int denials = 0;
  const int n = HistoryCount();
  for (int seed = 1; seed <= n; ++seed) {
    History history(static_cast<std::uint64_t>(seed), deafness);
    const std::string failure = history.Run();
    denials += history.denials();
    if (failure.empty()) continue;
    ++failed;
    BOOST_TEST_MESSAGE("seed " << seed << ": " << failure);
  }
  BOOST_TEST(failed == 0, failed << " of " << n << " histories");
  BOOST_TEST(denials > 20 * n);
}

}  // namespace

/** Guards against denials by a configuration that had been replaced for longer
 * than the evidence for them may be old. HISTORY_SEEDS sets their number. */
BOOST_AUTO_TEST_CASE(ConfirmedDenialsRestOnTheNewestConfiguration) {
  CheckDenials(Deafness::kTold);
}

/** Guards against the same where nothing tells that an answer lacks changes. */
BOOST_AUTO_TEST_CASE(ASilentWatchConfirmsNoDenial) {
  CheckDenials(Deafness::kUnmentioned);
}

/** Guards against the same where watches report later changes than the one that
 * they have left out. */
BOOST_AUTO_TEST_CASE(AWatchThatLeavesAChangeOutConfirmsNoDenial) {
  CheckDenials(Deafness::kLeftOut);
}

}  // namespace sapphire::serving

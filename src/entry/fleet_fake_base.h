/** @file fleet_fake_base.h Fakes of the parts of a fleet, for tests. */
#ifndef SAPPHIRE_ENTRY_FLEET_FAKE_BASE_H_
#define SAPPHIRE_ENTRY_FLEET_FAKE_BASE_H_

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "contract/config_base.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "entry/directory_base.h"
#include "entry/scheduler_base.h"
#include "external/key_value_base.h"
#include "external/vm_list_base.h"
#include "link/link_base.h"

namespace sapphire::entry::fake {

/** Thread pool that runs coroutines until the end of a test. */
class Threads {
 public:
  Threads() : work_(io_.get_executor()) {
    for (int i = 0; i < 3; ++i) threads_.emplace_back([this] { io_.run(); });
  }
  ~Threads() { Stop(); }
  Threads(const Threads&) = delete;
  Threads& operator=(const Threads&) = delete;

  void Stop() {
    io_.stop();
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }
  core::Executor executor() { return io_.get_executor(); }

  template <typename T>
  std::future<T> Start(core::Task<T> task) {
    return boost::asio::co_spawn(boost::asio::make_strand(io_), std::move(task),
                                 boost::asio::use_future);
  }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::thread> threads_;
};

/** Waits for a condition; the bound only ends a test that would hang. */
template <typename Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 2000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(core::Millis(5));
  }
  return false;
}

class FakeVmList final : public external::VmList {
 public:
  core::Task<std::vector<external::VmRecord>> Read() override {
    const std::lock_guard lock(mutex_);
    ++reads_;
    if (down) throw core::Error(core::ErrorCode::kPlatformUnavailable);
    std::vector<external::VmRecord> all;
    for (const auto& [vm, record] : records_) all.push_back(record);
    co_return all;
  }
  void Add(const std::string& vm, external::VmRole role,
           const std::string& address) {
    const std::lock_guard lock(mutex_);
    records_[vm] = {core::VmId(vm), core::ZoneId("a"), role,
                    external::VmState::kLive, address};
  }
  void Remove(const std::string& vm) {
    const std::lock_guard lock(mutex_);
    records_.erase(vm);
  }
  int reads() const { return reads_; }

  std::atomic<bool> down{false};

 private:
  std::mutex mutex_;
  std::atomic<int> reads_{0};
  std::map<std::string, external::VmRecord> records_;
};

class FakeStore final : public external::KeyValueStore {
 public:
  core::Task<std::optional<external::KvEntry>> Get(std::string key) override {
    ThrowIfDown();
    co_return Find(key);
  }
  core::Task<std::vector<external::KvEntry>> List(std::string prefix) override {
    ThrowIfDown();
    const std::lock_guard lock(mutex_);
    std::vector<external::KvEntry> found;
    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(prefix)) found.push_back(entry);
    }
    co_return found;
  }
  core::Task<external::CasResult> CompareAndSwap(
      std::string key, std::int64_t expected, std::string value,
      std::string /*lease_id*/) override {
    ThrowIfDown();
    const auto current = Find(key);
    if ((current ? current->revision : 0) != expected) {
      co_return external::CasResult{false, 0, current};
    }
    const std::lock_guard lock(mutex_);
    entries_[key] = {key, value, ++revision_};
    changed_.insert(key);
    co_return external::CasResult{true, revision_, std::nullopt};
  }
  core::Task<bool> DeleteIf(std::string key, std::int64_t expected) override {
    ThrowIfDown();
    const auto current = Find(key);
    if (!current || current->revision != expected) co_return false;
    const std::lock_guard lock(mutex_);
    entries_.erase(key);
    ++revision_;
    co_return true;
  }
  core::Task<external::KvLease> GrantLease(core::Millis ttl) override {
    co_return external::KvLease{"lease", ttl};
  }
  core::Task<bool> KeepAlive(std::string /*lease_id*/) override {
    co_return true;
  }
  /** Reports a gap after a short while, so that followers list again. */
  core::Task<external::WatchBatch> Watch(std::string /*prefix*/,
                                         std::int64_t revision,
                                         core::Millis /*wait*/) override {
    co_await core::SleepFor(core::Millis(20));
    ThrowIfDown();
    co_return external::WatchBatch{revision, {}, true};
  }

  std::optional<external::KvEntry> Find(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(key);
    if (it == entries_.end()) return std::nullopt;
    return it->second;
  }
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    entries_[key] = {key, value, ++revision_};
  }

  std::atomic<bool> down{false};

 private:
  void ThrowIfDown() const {
    if (down) throw core::Error(core::ErrorCode::kPlatformUnavailable);
  }
  std::mutex mutex_;
  std::map<std::string, external::KvEntry> entries_;
  std::set<std::string> changed_;
  std::int64_t revision_ = 0;
};

inline gen::Hello HelloOf(const std::string& vm, gen::Role::type role) {
  gen::Hello hello;
  hello.vm = vm;
  hello.zone = "a";
  hello.role = role;
  hello.incarnation = core::RandomPositive();
  return hello;
}

inline link::VersionHooks NoVersions() {
  return {.current = [] { return std::int64_t{0}; },
          .on_newer_version = [](auto, auto) {}};
}

inline link::LinkOptions LinkOptionsOf(const std::string& vm,
                                       gen::Role::type role) {
  link::LinkOptions options;
  options.self = HelloOf(vm, role);
  options.heartbeat_interval = core::Millis(100);
  options.dead_after = core::Millis(1000);
  return options;
}

/** How a fake endpoint handles load orders. */
enum class LoadMode {
  kSucceed,
  kFail,
  kHang,
  kOutlast,  ///< Refuses for lack of time while the load continues.
};

/** An endpoint that counts load orders and reports the loaded models. */
class FakeEndpoint {
 public:
  FakeEndpoint(Threads& threads, const std::string& name,
               const core::Clock& clock, const core::Logger& log,
               std::string kind = "model")
      : node_(
            threads.executor(), LinkOptionsOf(name, gen::Role::ENDPOINT),
            [this](std::shared_ptr<link::Call> call, gen::Message first) {
              return Answer(std::move(call), std::move(first));
            },
            NoVersions(), clock, log) {
    report_.endpoint = name;
    report_.zone = "a";
    report_.incarnation = 1;
    report_.kind = std::move(kind);
    report_.memory_bytes = 1000;
    report_.engine_up = true;
    address_ = node_.Listen("127.0.0.1:0");
  }

  const std::string& address() const { return address_; }
  link::LinkNode& node() { return node_; }

  void SetReady(const std::string& model, const std::string& adapter = "") {
    const std::lock_guard lock(mutex_);
    auto it = std::find_if(
        report_.replicas.begin(), report_.replicas.end(),
        [&model](const auto& replica) { return replica.model == model; });
    if (it == report_.replicas.end()) {
      gen::ReplicaReport replica;
      replica.model = model;
      replica.state = gen::ReplicaState::READY;
      replica.bytes = 100;
      report_.reserved_bytes += replica.bytes;
      it = report_.replicas.insert(it, replica);
    }
    if (!adapter.empty()) it->adapters.push_back(adapter);
  }
  void SetLoading(const std::string& model) {
    SetReady(model);
    const std::lock_guard lock(mutex_);
    report_.replicas.back().state = gen::ReplicaState::LOADING;
  }
  void FinishLoading() {
    const std::lock_guard lock(mutex_);
    report_.replicas.back().state = gen::ReplicaState::READY;
  }
  void SetLeaving() {
    const std::lock_guard lock(mutex_);
    report_.leaving = true;
  }

  std::atomic<LoadMode> mode{LoadMode::kSucceed};
  std::atomic<int> loads{0};

 private:
  core::Task<> Answer(std::shared_ptr<link::Call> call, gen::Message first) {
    if (first.__isset.subscribe) {
      co_await SendReports(call);
    } else if (first.__isset.ensure_model) {
      co_await LoadModel(call, first.ensure_model);
    }
  }

  core::Task<> SendReports(std::shared_ptr<link::Call> call) {
    while (!call->ended()) {
      gen::Message message;
      {
        const std::lock_guard lock(mutex_);
        message.__set_endpoint_report(report_);
      }
      co_await call->Send(std::move(message));
      co_await core::SleepFor(core::Millis(30));
    }
  }

  core::Task<> LoadModel(std::shared_ptr<link::Call> call,
                         gen::EnsureModel order) {
    ++loads;
    co_await core::SleepFor(core::Millis(50));
    while (mode == LoadMode::kHang && !call->ended()) {
      co_await core::SleepFor(core::Millis(10));
    }
    if (mode == LoadMode::kOutlast) {
      SetLoading(order.model);
      co_await core::SleepFor(core::Millis(300));
      throw core::Error(core::ErrorCode::kDeadlineTooShort, order.model);
    }
    if (mode == LoadMode::kFail) {
      throw core::Error(core::ErrorCode::kLoadFailed, "broken");
    }
    SetReady(order.model, order.adapter);
    gen::Message message;
    gen::ModelReady ready;
    ready.model = order.model;
    message.__set_model_ready(ready);
    co_await call->Send(std::move(message));
  }

  std::mutex mutex_;
  gen::EndpointReport report_;
  std::string address_;
  link::LinkNode node_;
};

/** One entry: its links, directory and scheduler. */
class FakeEntry {
 public:
  FakeEntry(Threads& threads, const std::string& name, FakeVmList& list,
            FakeStore& store, contract::ConfigHolder& config,
            const core::Clock& clock, const core::Logger& log)
      : node_(
            threads.executor(), LinkOptionsOf(name, gen::Role::ENTRY),
            [this](std::shared_ptr<link::Call> call, gen::Message first) {
              return Answer(std::move(call), std::move(first));
            },
            NoVersions(), clock, log),
        directory_(threads.executor(),
                   {.self = core::VmId(name),
                    .list_interval = core::Millis(20),
                    .removal_grace = core::Millis(100),
                    .max_backoff = core::Millis(200)},
                   list, node_, clock, log) {
    address_ = node_.Listen("127.0.0.1:0");
    list.Add(name, external::VmRole::kEntry, address_);
    SchedulerOptions options;
    options.self = core::VmId(name);
    options.zone = core::ZoneId("a");
    options.max_queue = 1200;
    options.ledger_interval = core::Millis(200);
    options.removal_grace = core::Millis(100);
    scheduler_ =
        std::make_unique<Scheduler>(threads.executor(), options, config,
                                    directory_, node_, store, clock, log);
    directory_.Start();
  }

  Scheduler& scheduler() { return *scheduler_; }
  Directory& directory() { return directory_; }
  link::LinkNode& node() { return node_; }
  const std::string& address() const { return address_; }

 private:
  core::Task<> Answer(std::shared_ptr<link::Call> call, gen::Message first) {
    if (first.__isset.place) {
      co_await scheduler_->Serve(std::move(call), std::move(first.place));
      co_return;
    }
    throw core::Error(core::ErrorCode::kUnknownPath);
  }

  std::string address_;
  link::LinkNode node_;
  Directory directory_;
  std::unique_ptr<Scheduler> scheduler_;
};

/** Result of a Place call. */
struct Outcome {
  std::unique_ptr<Placement> placement;
  std::optional<core::Error> error;
};

inline core::Task<Outcome> TryPlace(Scheduler& scheduler, gen::Place request) {
  Outcome outcome;
  try {
    outcome.placement = co_await scheduler.Place(std::move(request));
  } catch (const core::Error& e) {
    outcome.error = e;
  }
  co_return outcome;
}

inline gen::Place PlaceOf(const std::string& model, core::Millis remaining,
                          std::int64_t fingerprint = 0,
                          const std::string& owner = "one") {
  gen::Place place;
  place.request_id = core::RandomHexId();
  place.model = model;
  place.remaining_ms = remaining.count();
  place.fingerprint = fingerprint;
  place.owner = owner;
  return place;
}

/** @return A configuration of one service with one model of 100 bytes. */
inline contract::Config ConfigOf(const std::string& model, int max_replicas,
                                 int max_concurrent) {
  contract::Config config;
  config.version = 1;
  const core::ServiceId service("cabin");
  config.intent.services[service] = {
      .name = service, .max_replicas = max_replicas, .non_idempotent = {}};
  contract::Model declared;
  declared.name = core::ModelId(model);
  declared.service = service;
  declared.weight_bytes = 80;
  declared.kv_budget_bytes = 20;
  declared.max_replicas = max_replicas;
  declared.max_concurrent = max_concurrent;
  declared.adapters.push_back({.name = core::AdapterId("lake")});
  config.intent.models[declared.name] = declared;
  return config;
}

}  // namespace sapphire::entry::fake

#endif  // SAPPHIRE_ENTRY_FLEET_FAKE_BASE_H_

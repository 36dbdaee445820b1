/** @file soak_runner_base.h Runs a soak with the real programs on this
 * machine. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_RUNNER_BASE_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_RUNNER_BASE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "platform/testing_store.h"
#include "soak_caller_base.h"
#include "soak_engine_base.h"
#include "soak_subnet_base.h"
#include "soak_type.h"
#include "tests/process_base.h"
#include "tests/relay_base.h"

namespace sapphire::deploy::soak {

struct SoakOptions {
  /** Directory of the programs. */
  std::string bin_dir;
  /** Existing directory for settings and logs. */
  std::string directory;
  /** The entries' fresh_within_ms setting: how recent their view of the store
   * has to be. */
  milliseconds fresh_within{3000};
};

/**
 * Starts entries and endpoint processes, simulates the store, the engines and
 * the callers in this process, and injects the plan's faults from outside:
 * signals to the processes, and relays in front of the engines and of the store
 * of each entry. Single-threaded. Signals only processes that it has started,
 * by id.
 */
class SoakRunner {
 public:
  SoakRunner(SoakOptions options, SoakPlan plan);

  /** Runs the plan to its end. */
  SoakRecord Run();

 private:
  /** An engine, the relay in front of it, and its endpoint process. */
  struct EngineVm {
    std::string vm;
    std::string service;
    std::string address;
    std::unique_ptr<SoakEngine> engine;
    std::unique_ptr<tests::Relay> relay;
    /** The endpoint process; null if the engine has none. */
    std::unique_ptr<tests::Process> process;
    bool down = false;
    bool endpoint_down = false;
  };
  struct EntryVm {
    std::string vm;
    std::string address;
    std::unique_ptr<tests::Relay> store;
    std::unique_ptr<tests::Process> process;
    bool stopping = false;
  };

  [[nodiscard]] std::string Ip(int part, int number) const;
  void AddEntry(int number);
  void AddEngine(int number);
  void StartEntry(EntryVm& entry);
  void StartEndpoint(EngineVm& vm);
  void WriteConfiguration();
  void Register(EngineVm& vm, bool draining);
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string NextInstance();

  core::Task<> RunPlan();
  core::Task<> Inject(Fault fault);
  core::Task<> InjectEntry(Fault fault);
  core::Task<> InjectEngine(Fault fault);
  core::Task<> InjectEndpoint(Fault fault);
  core::Task<> InjectStore(Fault fault);
  core::Task<> CrashEngine(EngineVm& vm, milliseconds down);
  core::Task<> DrainEngine(EngineVm& vm, milliseconds serving_time);
  core::Task<> DeregisterEngine(EngineVm& vm, milliseconds serving_time);
  core::Task<> LeaveWithNotice(EngineVm& vm, milliseconds serving_time);
  core::Task<> ReplaceEngine(EngineVm& vm);
  core::Task<> CutStore(Fault fault);
  void RevokeKey(int organisation);
  void GiveKey(int organisation, int holder);
  void SetHolder(const std::string& key, int holder);
  core::Task<> KillAllEntries(milliseconds down);
  [[nodiscard]] std::set<std::string> ServingVersions() const;
  core::Task<> StopEntry(int number);
  core::Task<> DeregisterAfterSilence(std::string instance);
  void DisturbEntry(int number, milliseconds duration);
  void RecordUnexpectedExits();

  const SoakOptions options_;
  const SoakSubnet subnet_;
  const SoakPlan plan_;
  boost::asio::io_context io_;
  core::SystemClock clock_;
  core::Logger log_;
  SoakRecord record_;
  platform::testing::TestingStore store_;
  std::vector<std::string> models_;
  std::vector<std::unique_ptr<EngineVm>> engines_;
  std::vector<std::unique_ptr<EntryVm>> entries_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  std::int64_t version_ = 0;
  KeyGenerations keys_{};
  KeyHolders holders_;
  bool all_entries_down_ = false;
  int instance_count_ = 0;
  int registration_seq_ = 0;
  bool finished_ = false;
};

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_RUNNER_BASE_H_

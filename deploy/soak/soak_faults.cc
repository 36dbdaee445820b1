/** @file soak_faults.cc Injects the faults of a soak from outside the
 * programs. */
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/task_func.h"
#include "soak_runner_base.h"

namespace sapphire::deploy::soak {

namespace {

/** The platform deregisters a silent engine after three heartbeat intervals. */
constexpr milliseconds kSilenceLimit{3600};
/** How long an engine keeps serving after it was registered as draining. */
constexpr milliseconds kServingAfterDrain{4000};
constexpr milliseconds kExitTimeout{8000};
constexpr milliseconds kPollInterval{20};
constexpr milliseconds kDelay{150};

}  // namespace

core::Task<> SoakRunner::Inject(Fault fault) {
  if (fault.kind == FaultKind::kAllEntriesKill) {
    co_await KillAllEntries(fault.duration);
  } else if (fault.kind == FaultKind::kKeyMove) {
    GiveKey(fault.target, fault.to);
  } else if (fault.kind <= FaultKind::kEntryReload) {
    co_await InjectEntry(fault);
  } else if (fault.kind < FaultKind::kStoreBusy ||
             fault.kind == FaultKind::kEngineDeregistration ||
             fault.kind >= FaultKind::kEndpointOutage) {
    co_await InjectEngine(fault);
  } else {
    co_await InjectStore(fault);
  }
}

core::Task<> SoakRunner::InjectEntry(Fault fault) {
  EntryVm& entry = *entries_.at(static_cast<std::size_t>(fault.target));
  if (entry.stopping) co_return;
  switch (fault.kind) {
    case FaultKind::kEntryKill:
      DisturbEntry(fault.target, milliseconds(1000));
      entry.process->Signal(SIGKILL);
      entry.process->WaitForExit(kExitTimeout);
      StartEntry(entry);
      break;
    case FaultKind::kEntryPause:
      DisturbEntry(fault.target, fault.duration);
      entry.process->Signal(SIGSTOP);
      co_await core::SleepFor(fault.duration);
      entry.process->Signal(SIGCONT);
      break;
    case FaultKind::kEntryStop:
      co_await StopEntry(fault.target);
      break;
    default:
      entry.process->Signal(SIGHUP);
  }
}

/** Stops the entry gracefully and restarts it. Callers keep using their
 * connections until the process has exited. */
core::Task<> SoakRunner::StopEntry(int number) {
  EntryVm& entry = *entries_.at(static_cast<std::size_t>(number));
  entry.stopping = true;
  const core::SteadyTime began = clock_.Now();
  entry.process->Signal(SIGTERM);
  while (!entry.process->WaitForExit(milliseconds(0)) &&
         clock_.Now() - began < kExitTimeout) {
    co_await core::SleepFor(kPollInterval);
  }
  entry.process->Signal(SIGKILL);
  entry.process->WaitForExit(kExitTimeout);
  while (all_entries_down_) {
    co_await core::SleepFor(kPollInterval);
  }
  record_.entry_stopping[number].push_back({began, clock_.Now()});
  DisturbEntry(number, milliseconds(1000));
  StartEntry(entry);
  entry.stopping = false;
}

core::Task<> SoakRunner::KillAllEntries(milliseconds down) {
  if (std::exchange(all_entries_down_, true)) co_return;
  const std::set<std::string> before = ServingVersions();
  record_.kills_of_all_entries.push_back(clock_.Now());
  std::vector<EntryVm*> killed;
  for (const auto& it : entries_) {
    it->process->Signal(SIGKILL);
    it->process->WaitForExit(kExitTimeout);
    if (!std::exchange(it->stopping, true)) killed.push_back(it.get());
  }
  for (int i = 0; i < plan_.entries; ++i) {
    DisturbEntry(i, down + milliseconds(1000));
  }
  co_await core::SleepFor(down);
  for (EntryVm* it : killed) {
    StartEntry(*it);
    it->stopping = false;
  }
  const std::set<std::string> after = ServingVersions();
  if (!std::ranges::includes(after, before)) ++record_.versions_lost;
  all_entries_down_ = false;
}

std::set<std::string> SoakRunner::ServingVersions() const {
  std::set<std::string> versions;
  for (int i = 0; i < plan_.engines; ++i) {
    const EngineVm& vm = *engines_.at(static_cast<std::size_t>(i));
    versions.insert(vm.engine->software_version());
  }
  return versions;
}

core::Task<> SoakRunner::InjectEngine(Fault fault) {
  EngineVm& vm = *engines_.at(static_cast<std::size_t>(fault.target));
  if (fault.kind == FaultKind::kEndpointKill ||
      fault.kind == FaultKind::kEndpointPause ||
      fault.kind == FaultKind::kEndpointOutage) {
    co_await InjectEndpoint(fault);
    co_return;
  }
  if (vm.down) co_return;
  switch (fault.kind) {
    case FaultKind::kEngineCrash:
      co_await CrashEngine(vm, fault.duration);
      break;
    case FaultKind::kEngineDrain:
      co_await DrainEngine(vm, kServingAfterDrain);
      break;
    case FaultKind::kEngineDeregistration:
      co_await DeregisterEngine(vm, fault.duration);
      break;
    case FaultKind::kEngineLeave:
      co_await LeaveWithNotice(vm, fault.duration);
      break;
    case FaultKind::kEngineRelease:
      vm.down = true;
      vm.engine->SetSoftwareVersion(fmt::format("@v{}", fault.to));
      co_await ReplaceEngine(vm);
      break;
    case FaultKind::kEngineRest:
      vm.engine->TurnAway(clock_.Now() + fault.duration, fault.rest);
      break;
    case FaultKind::kEngineReset:
      vm.relay->Reset();
      break;
    case FaultKind::kEngineDelay:
      vm.relay->Delay(kDelay);
      co_await core::SleepFor(fault.duration);
      vm.relay->Delay(milliseconds(0));
      break;
    default:
      record_.engine_silences.push_back(
          {vm.engine->instance(),
           {clock_.Now(), clock_.Now() + fault.duration}});
      vm.relay->Cut(fault.kind == FaultKind::kEngineCut, true);
      co_await core::SleepFor(fault.duration);
      vm.relay->Cut(false, false);
      // The dropped bytes are missing in the middle of answers.
      vm.relay->Reset();
  }
}

core::Task<> SoakRunner::InjectEndpoint(Fault fault) {
  EngineVm& vm = *engines_.at(static_cast<std::size_t>(fault.target));
  const bool lost = fault.kind == FaultKind::kEndpointOutage;
  // While the engine is down, only a long outage is injected.
  if (!vm.process || vm.endpoint_down || (vm.down && !lost)) co_return;
  if (fault.kind == FaultKind::kEndpointPause) {
    vm.process->Signal(SIGSTOP);
    co_await core::SleepFor(fault.duration);
    vm.process->Signal(SIGCONT);
    co_return;
  }
  vm.process->Signal(SIGKILL);
  vm.process->WaitForExit(kExitTimeout);
  if (lost) {
    vm.endpoint_down = true;
    co_await core::SleepFor(fault.duration);
    vm.endpoint_down = false;
  }
  StartEndpoint(vm);
}

core::Task<> SoakRunner::CrashEngine(EngineVm& vm, milliseconds down) {
  if (vm.down) co_return;
  vm.down = true;
  vm.relay->Close();
  vm.engine->Crash();
  core::Spawn(io_.get_executor(), log_, "forget",
              [this, instance = vm.engine->instance()] {
                return DeregisterAfterSilence(instance);
              });
  co_await core::SleepFor(down);
  vm.engine->Restart(NextInstance());
  vm.relay->Reopen();
  Register(vm, false);
  vm.down = false;
}

core::Task<> SoakRunner::DeregisterAfterSilence(std::string instance) {
  co_await core::SleepFor(kSilenceLimit);
  Remove("servers/" + instance);
}

core::Task<> SoakRunner::DrainEngine(EngineVm& vm, milliseconds serving_time) {
  vm.down = true;
  Register(vm, true);
  const std::string instance = vm.engine->instance();
  record_.engine_departures.push_back({instance, clock_.Now()});
  co_await core::SleepFor(serving_time);
  co_await ReplaceEngine(vm);
}

core::Task<> SoakRunner::DeregisterEngine(EngineVm& vm,
                                          milliseconds serving_time) {
  vm.down = true;
  const std::string instance = vm.engine->instance();
  Remove("servers/" + instance);
  record_.engine_departures.push_back({instance, clock_.Now()});
  co_await core::SleepFor(serving_time);
  co_await ReplaceEngine(vm);
}

/** The engine says in its answers that it leaves, while its registration is
 * written once more as if it did not. */
core::Task<> SoakRunner::LeaveWithNotice(EngineVm& vm,
                                         milliseconds serving_time) {
  vm.down = true;
  vm.engine->Leave();
  co_await core::SleepFor(serving_time / 2);
  Register(vm, false);
  co_await core::SleepFor(serving_time / 2);
  co_await ReplaceEngine(vm);
}

/** Stops the engine and starts a new instance in its place. */
core::Task<> SoakRunner::ReplaceEngine(EngineVm& vm) {
  const std::string instance = vm.engine->instance();
  vm.relay->Close();
  vm.engine->Restart(NextInstance());
  Remove("servers/" + instance);
  co_await core::SleepFor(kPollInterval);
  vm.relay->Reopen();
  Register(vm, false);
  vm.down = false;
}

void SoakRunner::RevokeKey(int organisation) {
  int& generation = keys_.at(static_cast<std::size_t>(organisation));
  SetHolder(KeyOf(organisation, generation), kNobody);
  ++generation;
  SetHolder(KeyOf(organisation, generation), organisation);
  WriteConfiguration();
}

/** Gives the key that the organisation's callers use to another one. */
void SoakRunner::GiveKey(int organisation, int holder) {
  const int generation = keys_.at(static_cast<std::size_t>(organisation));
  SetHolder(KeyOf(organisation, generation), holder);
  WriteConfiguration();
}

void SoakRunner::SetHolder(const std::string& key, int holder) {
  holders_[key] = holder;
  record_.key_changes.push_back(
      {key, holder == kNobody ? "" : OrganisationName(holder), clock_.Now()});
}

core::Task<> SoakRunner::InjectStore(Fault fault) {
  if (fault.kind == FaultKind::kKeyRevoke) {
    RevokeKey(fault.target);
    co_return;
  }
  if (fault.kind == FaultKind::kConfigChange) {
    record_.routes_added.push_back(clock_.Now());
    WriteConfiguration();
    co_return;
  }
  const bool of_one_entry = fault.kind == FaultKind::kStoreCut ||
                            fault.kind == FaultKind::kStorePartition;
  if (of_one_entry) {
    co_await CutStore(fault);
    co_return;
  }
  const core::SteadyTime now = clock_.Now();
  record_.store_disturbed.push_back({now, now + fault.duration});
  store_.fault = fault.kind == FaultKind::kStoreBusy
                     ? platform::testing::Fault::kBusy
                 : fault.kind == FaultKind::kStoreSilent
                     ? platform::testing::Fault::kSilent
                     : platform::testing::Fault::kAnswerLost;
  co_await core::SleepFor(fault.duration);
  store_.fault = platform::testing::Fault::kNone;
}

core::Task<> SoakRunner::CutStore(Fault fault) {
  const core::SteadyTime now = clock_.Now();
  record_.store_unreachable[fault.target].push_back(
      {now, now + fault.duration});
  tests::Relay& relay =
      *entries_.at(static_cast<std::size_t>(fault.target))->store;
  relay.Cut(true, true);
  co_await core::SleepFor(fault.duration);
  relay.Cut(false, false);
  if (fault.kind == FaultKind::kStoreCut) relay.Reset();
}

void SoakRunner::DisturbEntry(int number, milliseconds duration) {
  const core::SteadyTime now = clock_.Now();
  record_.entry_disturbed[number].push_back({now, now + duration});
}

}  // namespace sapphire::deploy::soak

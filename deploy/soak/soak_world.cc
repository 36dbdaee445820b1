/** @file soak_world.cc Plays a soak with real programs on this machine. */
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "core/task_func.h"
#include "soak_world_base.h"

namespace sapphire::deploy::soak {

namespace json = boost::json;

namespace {

constexpr int kPort = 8000;
constexpr int kLinkPort = 7380;
/** Parts of the addresses: 127.SUBNET.PART.NUMBER. */
constexpr int kEnginePart = 1;
constexpr int kBehindRelayPart = 2;
constexpr int kEntryPart = 3;
constexpr int kStoreRelayPart = 4;
constexpr int kStorePart = 5;
constexpr std::size_t kHistory = 100;
constexpr int kModels = 8;
constexpr std::size_t kRoom = 3;
constexpr int kModelMegabytes = 10'000;
/** Traffic begins once programs know each other. */
constexpr milliseconds kWarmUp{2500};
/** Traffic without faults at the end; judged after it has settled. */
constexpr milliseconds kQuiet{9000};
/** Callers and engines end what they are at. */
constexpr milliseconds kWindDown{6500};
/** The platform's three heartbeats without a word. */
constexpr milliseconds kSilenceLimit{3600};
/** How long an engine serves on after it said that it leaves. */
constexpr milliseconds kServesOn{4000};
constexpr milliseconds kGrace{8000};
constexpr milliseconds kPoll{20};
constexpr milliseconds kDelay{150};

const char* const kDrafts = "drafts";
const char* const kPlain = "booking";

json::object Route(std::string_view prefix, std::string_view kind,
                   std::string_view service) {
  const bool stream = kind == "stream";
  return {{"name", prefix},
          {"host", kHost},
          {"prefix", prefix},
          {"kind", kind},
          {"service", service},
          {"timeoutMs", kRouteTimeout.count()},
          {"sloMs", 1000},
          {"gapAimMs", 300},
          {"attempts", kind == "unsafe" ? 1 : 2},
          {"priority", 1},
          {"canResume", stream},
          {"sticky", stream}};
}

}  // namespace

SoakWorld::SoakWorld(SoakOptions options, SoakPlan plan)
    : options_(std::move(options)),
      plan_(std::move(plan)),
      log_({"soak", core::VmId("soak"), core::ZoneId("z")},
           core::LogLevel::kError, clock_),
      store_(io_, clock_, log_, fmt::format("{}:{}", Ip(kStorePart, 1), kPort),
             kHistory) {
  store_.watches_wait = true;
  for (int i = 0; i < kModels; ++i) models_.push_back(fmt::format("m{}", i));
  WriteConfiguration();
  for (int i = 0; i < plan_.engines + plan_.plain; ++i) AddEngine(i);
  for (int i = 0; i < plan_.entries; ++i) AddEntry(i);
}

std::string SoakWorld::Ip(int part, int number) const {
  return fmt::format("127.{}.{}.{}", options_.subnet, part, number);
}

void SoakWorld::AddEngine(int number) {
  auto vm = std::make_unique<EngineVm>();
  const bool plain = number >= plan_.engines;
  vm->vm = fmt::format("engine-{}", number);
  vm->service = plain ? kPlain : kDrafts;
  vm->address = fmt::format("{}:{}", Ip(kEnginePart, number + 1), kPort);
  SoakEngineOptions engine;
  engine.listen = fmt::format("{}:{}", Ip(kBehindRelayPart, number + 1), kPort);
  engine.instance = NextInstance();
  engine.room = kRoom;
  if (!plain) {
    engine.disk.insert(models_.begin(), models_.end());
    for (int i = 0; i < 2; ++i) {
      engine.models.insert(
          models_.at(static_cast<std::size_t>(number + i) % models_.size()));
    }
  }
  EngineVm* raw = vm.get();
  vm->engine = std::make_unique<SoakEngine>(
      io_, engine, record_,
      [this, raw] {
        core::Spawn(io_.get_executor(), log_, "crash", [this, raw] {
          return CrashEngine(*raw, milliseconds(2000));
        });
      },
      clock_, log_);
  vm->relay = std::make_unique<tests::Relay>(io_, engine.listen, vm->address);
  if (!plain) StartEndpoint(*vm);
  Register(*vm, false);
  engines_.push_back(std::move(vm));
}

void SoakWorld::AddEntry(int number) {
  auto entry = std::make_unique<EntryVm>();
  entry->vm = fmt::format("entry-{}", number);
  entry->address = fmt::format("{}:{}", Ip(kEntryPart, number + 1), kPort);
  entry->store = std::make_unique<tests::Relay>(
      io_, store_.server.address(),
      fmt::format("{}:{}", Ip(kStoreRelayPart, number + 1), kPort));
  StartEntry(*entry);
  entries_.push_back(std::move(entry));
}

void SoakWorld::StartEntry(EntryVm& entry) {
  const std::string ip = entry.address.substr(0, entry.address.rfind(':'));
  const std::string path =
      fmt::format("{}/{}.toml", options_.directory, entry.vm);
  std::ofstream(path) << fmt::format(
      "vm = \"{}\"\nzone = \"z\"\nlisten = \"{}\"\nready_listen = \"{}:8001\"\n"
      "link_listen = \"{}:{}\"\nmetrics_listen = \"{}:9464\"\n"
      "endpoint_link_port = {}\nstore = \"{}\"\nrepeat_ratio = 0.2\n"
      "repeat_extra = 56\nrepeat_window_s = 10\nleave_limit_s = 8\n"
      "fresh_within_ms = {}\n",
      entry.vm, entry.address, ip, ip, kLinkPort, ip, kLinkPort,
      entry.store->address(), options_.fresh_within.count());
  entry.process = std::make_unique<tests::Process>(
      entry.vm,
      std::vector<std::string>{options_.bin_dir + "/sapphire-platform-entry",
                               "--config", path},
      options_.directory);
}

void SoakWorld::StartEndpoint(EngineVm& vm) {
  const std::string ip = vm.address.substr(0, vm.address.rfind(':'));
  const std::string behind = "127." + std::to_string(options_.subnet) + "." +
                             std::to_string(kBehindRelayPart) +
                             ip.substr(ip.rfind('.'));
  const std::string path = fmt::format("{}/{}.toml", options_.directory, vm.vm);
  std::ofstream(path) << fmt::format(
      "vm = \"{}\"\nzone = \"z\"\nlisten = \"{}:{}\"\n"
      "metrics_listen = \"{}:9464\"\nengine = \"{}:{}\"\nservice = \"{}\"\n"
      "store = \"{}\"\n",
      vm.vm, ip, kLinkPort, ip, behind, kPort, vm.service,
      store_.server.address());
  vm.process = std::make_unique<tests::Process>(
      vm.vm,
      std::vector<std::string>{options_.bin_dir + "/sapphire-platform-endpoint",
                               "--config", path},
      options_.directory);
}

void SoakWorld::WriteConfiguration() {
  json::array routes = {Route(kStreamPath, "stream", kDrafts),
                        Route(kOncePath, "unsafe", kPlain),
                        Route(kSafePath, "safe", kPlain)};
  for (int i = 0; i < routes_; ++i) {
    routes.push_back(Route(fmt::format("/added{}/", i), "safe", kPlain));
  }
  json::array models;
  for (const std::string& it : models_) {
    models.push_back(json::object{{"name", it},
                                  {"mb", kModelMegabytes},
                                  {"loadS", 2.0},
                                  {"diskS", 0.4},
                                  {"warmS", 0.4}});
  }
  const json::object engine{{"slots", 64},
                            {"kvCapacity", 100'000},
                            {"mb", kModelMegabytes * kRoom},
                            {"adapterSlots", 8},
                            {"loadsPerS", 4.0},
                            {"models", models}};
  const json::object limits{{"maxHeaderBytes", 16384},
                            {"maxBodyBytes", 1 << 20},
                            {"headerTimeoutMs", 5000},
                            {"idleTimeoutMs", 8000}};
  json::object drafts{{"name", kDrafts}, {"engine", engine}};
  version_ += 3;
  Put("op/config",
      json::serialize(json::object{
          {"version", version_},
          {"routes", routes},
          {"services",
           json::array{std::move(drafts), json::object{{"name", kPlain}}}},
          {"limits", limits}}));
}

void SoakWorld::Register(EngineVm& vm, bool draining) {
  json::array models;
  for (const std::string& it : vm.engine->held()) {
    models.push_back(json::object{{"name", it}, {"version", 1}});
  }
  Put("servers/" + vm.engine->instance(),
      json::serialize(json::object{{"service", vm.service},
                                   {"address", vm.address},
                                   {"zone", "z"},
                                   {"version", "v1"},
                                   {"slots", vm.service == kPlain ? 6 : 64},
                                   {"state", draining ? "draining" : "ready"},
                                   {"coldLeftMs", 0},
                                   {"seq", ++entries_written_},
                                   {"models", models}}));
}

void SoakWorld::Put(const std::string& key, const std::string& value) {
  const auto current = store_.state.Get(key);
  store_.state.CompareAndSwap(key, current ? current->revision : 0, value, "");
}

void SoakWorld::Remove(const std::string& key) {
  const auto current = store_.state.Get(key);
  if (current) store_.state.DeleteIf(key, current->revision);
}

std::string SoakWorld::NextInstance() {
  return fmt::format("i-{}", ++instances_);
}

SoakRecord SoakWorld::Play() {
  core::Spawn(io_.get_executor(), log_, "direct", [this] { return Direct(); });
  while (!over_) io_.run_one();
  return record_;
}

core::Task<> SoakWorld::Direct() {
  co_await core::SleepFor(kWarmUp);
  const core::SteadyTime began = clock_.Now();
  const core::SteadyTime end = began + plan_.length + kQuiet;
  record_.quiet_from = began + plan_.length;
  for (int i = 0; i < plan_.callers; ++i) {
    SoakCallerOptions caller;
    for (const auto& it : entries_) caller.entries.push_back(it->address);
    caller.models = models_;
    caller.seed = plan_.seed;
    caller.number = i;
    // A crash by it is a fault: none in the quiet time.
    if (i == 0) caller.deadly_until = record_.quiet_from;
    callers_.push_back(std::make_unique<SoakCaller>(caller, record_, clock_));
    SoakCaller* raw = callers_.back().get();
    core::Spawn(io_.get_executor(), log_, "caller",
                [raw, end] { return raw->Run(end); });
  }
  for (const Fault& fault : plan_.faults) {
    const auto wait = std::chrono::duration_cast<milliseconds>(
        began + fault.at - clock_.Now());
    co_await core::SleepFor(std::max(wait, milliseconds(0)));
    core::Spawn(io_.get_executor(), log_, "inject",
                [this, fault] { return Inject(fault); });
  }
  const auto rest =
      std::chrono::duration_cast<milliseconds>(end + kWindDown - clock_.Now());
  co_await core::SleepFor(rest);
  NoteEnds();
  over_ = true;
}

core::Task<> SoakWorld::Inject(Fault fault) {
  if (fault.kind <= FaultKind::kEntryReload) {
    co_await InjectEntry(fault);
  } else if (fault.kind < FaultKind::kStoreBusy ||
             fault.kind == FaultKind::kEngineLeave) {
    co_await InjectEngine(fault);
  } else {
    co_await InjectStore(fault);
  }
}

core::Task<> SoakWorld::InjectEntry(Fault fault) {
  EntryVm& entry = *entries_.at(static_cast<std::size_t>(fault.target));
  if (entry.leaving) co_return;
  switch (fault.kind) {
    case FaultKind::kEntryKill:
      DisturbEntry(fault.target, milliseconds(1000));
      entry.process->Signal(SIGKILL);
      entry.process->WaitForExit(kGrace);
      StartEntry(entry);
      break;
    case FaultKind::kEntryPause:
      DisturbEntry(fault.target, fault.length);
      entry.process->Signal(SIGSTOP);
      co_await core::SleepFor(fault.length);
      entry.process->Signal(SIGCONT);
      break;
    case FaultKind::kEntryStop:
      co_await StopEntry(fault.target);
      break;
    default:
      entry.process->Signal(SIGHUP);
  }
}

/** Callers go on using their connections until the process is gone. */
core::Task<> SoakWorld::StopEntry(int number) {
  EntryVm& entry = *entries_.at(static_cast<std::size_t>(number));
  entry.leaving = true;
  const core::SteadyTime began = clock_.Now();
  entry.process->Signal(SIGTERM);
  while (!entry.process->WaitForExit(milliseconds(0)) &&
         clock_.Now() - began < kGrace) {
    co_await core::SleepFor(kPoll);
  }
  entry.process->Signal(SIGKILL);
  entry.process->WaitForExit(kGrace);
  DisturbEntry(number, milliseconds(1000));
  StartEntry(entry);
  entry.leaving = false;
}

core::Task<> SoakWorld::InjectEngine(Fault fault) {
  EngineVm& vm = *engines_.at(static_cast<std::size_t>(fault.target));
  if (vm.down) co_return;
  switch (fault.kind) {
    case FaultKind::kEndpointKill:
      vm.process->Signal(SIGKILL);
      vm.process->WaitForExit(kGrace);
      StartEndpoint(vm);
      break;
    case FaultKind::kEndpointPause:
      vm.process->Signal(SIGSTOP);
      co_await core::SleepFor(fault.length);
      vm.process->Signal(SIGCONT);
      break;
    case FaultKind::kEngineCrash:
      co_await CrashEngine(vm, fault.length);
      break;
    case FaultKind::kEngineDrain:
      co_await DrainEngine(vm, kServesOn);
      break;
    case FaultKind::kEngineLeave:
      co_await LeaveEngine(vm, fault.length);
      break;
    case FaultKind::kEngineReset:
      vm.relay->Reset();
      break;
    case FaultKind::kEngineDelay:
      vm.relay->Delay(kDelay);
      co_await core::SleepFor(fault.length);
      vm.relay->Delay(milliseconds(0));
      break;
    default:
      // What a caller's leaving ends can't be told through a cut.
      DisturbAllEntries(fault.length);
      vm.relay->Cut(fault.kind == FaultKind::kEngineCut, true);
      co_await core::SleepFor(fault.length);
      vm.relay->Cut(false, false);
      // What was swallowed is missing in the middle of answers.
      vm.relay->Reset();
  }
}

core::Task<> SoakWorld::CrashEngine(EngineVm& vm, milliseconds down) {
  if (vm.down) co_return;
  vm.down = true;
  vm.relay->Close();
  vm.engine->Crash();
  core::Spawn(io_.get_executor(), log_, "forget",
              [this, instance = vm.engine->instance()] {
                return ForgetSilent(instance);
              });
  co_await core::SleepFor(down);
  vm.engine->Restart(NextInstance());
  vm.relay->Reopen();
  Register(vm, false);
  vm.down = false;
}

core::Task<> SoakWorld::ForgetSilent(std::string instance) {
  co_await core::SleepFor(kSilenceLimit);
  Remove("servers/" + instance);
}

core::Task<> SoakWorld::DrainEngine(EngineVm& vm, milliseconds serves_on) {
  vm.down = true;
  Register(vm, true);
  const std::string instance = vm.engine->instance();
  record_.drainings.push_back({instance, clock_.Now()});
  co_await core::SleepFor(serves_on);
  co_await ReplaceEngine(vm);
}

core::Task<> SoakWorld::LeaveEngine(EngineVm& vm, milliseconds serves_on) {
  vm.down = true;
  const std::string instance = vm.engine->instance();
  Remove("servers/" + instance);
  record_.drainings.push_back({instance, clock_.Now()});
  co_await core::SleepFor(serves_on);
  co_await ReplaceEngine(vm);
}

/** The engine ends, and another starts in its place. */
core::Task<> SoakWorld::ReplaceEngine(EngineVm& vm) {
  const std::string instance = vm.engine->instance();
  vm.relay->Close();
  vm.engine->Restart(NextInstance());
  Remove("servers/" + instance);
  co_await core::SleepFor(kPoll);
  vm.relay->Reopen();
  Register(vm, false);
  vm.down = false;
}

core::Task<> SoakWorld::InjectStore(Fault fault) {
  if (fault.kind == FaultKind::kConfigChange) {
    ++routes_;
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
  record_.store_disturbed.push_back({now, now + fault.length});
  store_.trouble = fault.kind == FaultKind::kStoreBusy
                       ? platform::testing::Trouble::kBusy
                   : fault.kind == FaultKind::kStoreSilent
                       ? platform::testing::Trouble::kSilent
                       : platform::testing::Trouble::kAnswerLost;
  co_await core::SleepFor(fault.length);
  store_.trouble = platform::testing::Trouble::kNone;
}

core::Task<> SoakWorld::CutStore(Fault fault) {
  const core::SteadyTime now = clock_.Now();
  record_.store_out_of_reach[fault.target].push_back({now, now + fault.length});
  tests::Relay& relay =
      *entries_.at(static_cast<std::size_t>(fault.target))->store;
  relay.Cut(true, true);
  co_await core::SleepFor(fault.length);
  relay.Cut(false, false);
  if (fault.kind == FaultKind::kStoreCut) relay.Reset();
}

void SoakWorld::DisturbEntry(int number, milliseconds length) {
  const core::SteadyTime now = clock_.Now();
  record_.entry_disturbed[number].push_back({now, now + length});
}

void SoakWorld::DisturbAllEntries(milliseconds length) {
  for (int i = 0; i < plan_.entries; ++i) DisturbEntry(i, length);
}

void SoakWorld::NoteEnds() {
  for (const auto& it : entries_) {
    const bool ended = it->process->WaitForExit(milliseconds(0)).has_value();
    if (ended) record_.ended_alone.push_back(it->vm);
  }
  for (const auto& it : engines_) {
    if (!it->process) continue;
    const bool ended = it->process->WaitForExit(milliseconds(0)).has_value();
    if (ended) record_.ended_alone.push_back(it->vm);
  }
}

}  // namespace sapphire::deploy::soak

/** @file soak_runner.cc Runs a soak with the real programs on this
 * machine. */
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <string>
#include <utility>

#include "core/task_func.h"
#include "soak_runner_base.h"

namespace sapphire::deploy::soak {

namespace json = boost::json;

namespace {

constexpr int kPort = 8000;
constexpr int kLinkPort = 7380;
/** Third octets of the addresses 127.SUBNET.PART.NUMBER. */
constexpr int kEnginePart = 1;
constexpr int kBehindRelayPart = 2;
constexpr int kEntryPart = 3;
constexpr int kStoreRelayPart = 4;
constexpr int kStorePart = 5;
constexpr std::size_t kStoreHistory = 100;
constexpr int kModels = 8;
constexpr std::size_t kMaxModels = 3;
constexpr int kModelMegabytes = 10'000;
/** Time before traffic starts, for the programs to discover each other. */
constexpr milliseconds kWarmUp{2500};
/** Duration of the traffic without faults at the end. The share of served
 * attempts is checked once it has settled. */
constexpr milliseconds kFaultFreeTime{9000};
/** Time for callers and engines to finish their last requests. */
constexpr milliseconds kWindDown{6500};

/** Callers take streams up for this long if all entries may be down, whose
 * restart takes up to 2 s. */
constexpr milliseconds kTakeUpTime{4000};

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

core::Task<> SleepUntil(core::SteadyTime time, const core::Clock& clock) {
  const auto left = std::chrono::ceil<milliseconds>(time - clock.Now());
  co_await core::SleepFor(std::max(left, milliseconds(0)));
}

}  // namespace

SoakRunner::SoakRunner(SoakOptions options, SoakPlan plan)
    : options_(std::move(options)),
      subnet_(::getpid()),
      plan_(std::move(plan)),
      log_({"soak", core::VmId("soak"), core::ZoneId("z")},
           core::LogLevel::kError, clock_),
      store_(io_, clock_, log_, fmt::format("{}:{}", Ip(kStorePart, 1), kPort),
             kStoreHistory) {
  store_.watches_wait = true;
  for (int i = 0; i < kModels; ++i) models_.push_back(fmt::format("m{}", i));
  for (int i = 0; plan_.organisations && i < kOrganisations; ++i) {
    SetHolder(KeyOf(i, 0), i);
  }
  WriteConfiguration();
  for (int i = 0; i < plan_.engines + plan_.plain; ++i) AddEngine(i);
  for (int i = 0; i < plan_.entries; ++i) AddEntry(i);
}

std::string SoakRunner::Ip(int part, int number) const {
  return subnet_.Ip(part, number);
}

void SoakRunner::AddEngine(int number) {
  auto vm = std::make_unique<EngineVm>();
  const bool plain = number >= plan_.engines;
  vm->vm = fmt::format("engine-{}", number);
  vm->service = plain ? kPlain : kDrafts;
  vm->address = fmt::format("{}:{}", Ip(kEnginePart, number + 1), kPort);
  SoakEngineOptions engine;
  engine.listen = fmt::format("{}:{}", Ip(kBehindRelayPart, number + 1), kPort);
  engine.instance = NextInstance();
  engine.max_models = kMaxModels;
  if (plan_.software_versions && !plain) {
    const bool is_old = number % 2 == 0 || plan_.kills_of_all_entries > 0;
    engine.software_version = is_old ? "@v1" : "@v2";
  }
  if (plan_.broken_answers) engine.broken_answers_seed = plan_.seed;
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
  if (!plain && number >= plan_.engines_without_endpoint) StartEndpoint(*vm);
  Register(*vm, false);
  engines_.push_back(std::move(vm));
}

void SoakRunner::AddEntry(int number) {
  auto entry = std::make_unique<EntryVm>();
  entry->vm = fmt::format("entry-{}", number);
  entry->address = fmt::format("{}:{}", Ip(kEntryPart, number + 1), kPort);
  entry->store = std::make_unique<tests::Relay>(
      io_, store_.server.address(),
      fmt::format("{}:{}", Ip(kStoreRelayPart, number + 1), kPort));
  StartEntry(*entry);
  entries_.push_back(std::move(entry));
}

void SoakRunner::StartEntry(EntryVm& entry) {
  const std::string ip = entry.address.substr(0, entry.address.rfind(':'));
  const std::string path =
      fmt::format("{}/{}.toml", options_.directory, entry.vm);
  std::ofstream(path) << fmt::format(
      "vm = \"{}\"\nzone = \"z\"\nlisten = \"{}\"\nready_listen = \"{}:8001\"\n"
      "link_listen = \"{}:{}\"\nmetrics_listen = \"{}:9464\"\n"
      "endpoint_link_port = {}\nstore = \"{}\"\nrepeat_ratio = 0.2\n"
      "repeat_extra = 56\nrepeat_window_s = 10\nleave_limit_s = 8\n"
      "fresh_within_ms = {}\nquota_window_s = {}\nquota_excess = {}\n"
      "quota_slack = {}\n",
      entry.vm, entry.address, ip, ip, kLinkPort, ip, kLinkPort,
      entry.store->address(), options_.fresh_within.count(),
      kQuotaWindowSeconds, kQuotaExcess, kQuotaSlack);
  entry.process = std::make_unique<tests::Process>(
      entry.vm,
      std::vector<std::string>{options_.bin_dir + "/sapphire-platform-entry",
                               "--config", path},
      options_.directory);
}

void SoakRunner::StartEndpoint(EngineVm& vm) {
  const std::string ip = vm.address.substr(0, vm.address.rfind(':'));
  const int host = std::stoi(ip.substr(ip.rfind('.') + 1));
  const std::string behind = Ip(kBehindRelayPart, host);
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

void SoakRunner::WriteConfiguration() {
  json::array routes = {Route(kStreamPath, "stream", kDrafts),
                        Route(kOncePath, "unsafe", kPlain),
                        Route(kSafePath, "safe", kPlain)};
  for (std::size_t i = 0; i < record_.routes_added.size(); ++i) {
    routes.push_back(Route(AddedPath(i), "safe", kPlain));
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
                            {"mb", kModelMegabytes * kMaxModels},
                            {"adapterSlots", 8},
                            {"loadsPerS", 4.0},
                            {"models", models}};
  const json::object limits{{"maxHeaderBytes", 16384},
                            {"maxBodyBytes", 1 << 20},
                            {"headerTimeoutMs", 5000},
                            {"idleTimeoutMs", 8000}};
  json::object drafts{{"name", kDrafts}, {"engine", engine}};
  version_ += 3;
  json::object document{
      {"version", version_},
      {"routes", routes},
      {"services",
       json::array{std::move(drafts), json::object{{"name", kPlain}}}},
      {"limits", limits}};
  if (plan_.organisations) document["tenants"] = OrganisationsOf(holders_);
  Put("op/config", json::serialize(document));
}

void SoakRunner::Register(EngineVm& vm, bool draining) {
  json::array models;
  for (const std::string& it : vm.engine->loaded_models()) {
    models.push_back(json::object{{"name", it}, {"version", 1}});
  }
  Put("servers/" + vm.engine->instance(),
      json::serialize(
          json::object{{"service", vm.service},
                       {"address", vm.address},
                       {"zone", "z"},
                       {"version", "v" + vm.engine->software_version()},
                       {"slots", vm.service == kPlain ? 6 : 64},
                       {"state", draining ? "draining" : "ready"},
                       {"coldLeftMs", 0},
                       {"seq", ++registration_seq_},
                       {"models", models}}));
}

void SoakRunner::Put(const std::string& key, const std::string& value) {
  const auto current = store_.state.Get(key);
  store_.state.CompareAndSwap(key, current ? current->revision : 0, value, "");
}

void SoakRunner::Remove(const std::string& key) {
  const auto current = store_.state.Get(key);
  if (current) store_.state.DeleteIf(key, current->revision);
}

std::string SoakRunner::NextInstance() {
  return fmt::format("i-{}", ++instance_count_);
}

SoakRecord SoakRunner::Run() {
  core::Spawn(io_.get_executor(), log_, "direct", [this] { return RunPlan(); });
  while (!finished_) io_.run_one();
  return record_;
}

core::Task<> SoakRunner::RunPlan() {
  co_await core::SleepFor(kWarmUp);
  const core::SteadyTime began = clock_.Now();
  const core::SteadyTime end = began + plan_.duration + kFaultFreeTime;
  record_.fault_free_from = began + plan_.duration;
  for (int i = 0; i < plan_.callers; ++i) {
    SoakCallerOptions caller;
    for (const auto& it : entries_) caller.entries.push_back(it->address);
    caller.models = models_;
    caller.seed = plan_.seed;
    caller.number = i;
    // A deadly request is a fault, so none is sent in the fault-free time.
    if (i == 0) caller.deadly_until = record_.fault_free_from;
    if (plan_.crashing_part) {
      caller.crashing_part_until = record_.fault_free_from;
    }
    caller.takes_up_streams = plan_.software_versions;
    if (plan_.kills_of_all_entries > 0) caller.take_up_time = kTakeUpTime;
    if (plan_.organisations) caller.keys = &keys_;
    callers_.push_back(std::make_unique<SoakCaller>(caller, record_, clock_));
    SoakCaller* raw = callers_.back().get();
    core::Spawn(io_.get_executor(), log_, "caller",
                [raw, end] { return raw->Run(end); });
  }
  for (const Fault& fault : plan_.faults) {
    co_await SleepUntil(began + fault.at, clock_);
    core::Spawn(io_.get_executor(), log_, "inject",
                [this, fault] { return Inject(fault); });
  }
  co_await SleepUntil(record_.fault_free_from, clock_);
  for (const auto& it : engines_) it->engine->StopBreakingAnswers();
  co_await SleepUntil(end + kWindDown, clock_);
  RecordUnexpectedExits();
  finished_ = true;
}

void SoakRunner::RecordUnexpectedExits() {
  for (const auto& it : entries_) {
    const bool ended = it->process->WaitForExit(milliseconds(0)).has_value();
    if (ended) record_.unexpected_exits.push_back(it->vm);
  }
  for (const auto& it : engines_) {
    if (!it->process || it->endpoint_down) continue;
    const bool ended = it->process->WaitForExit(milliseconds(0)).has_value();
    if (ended) record_.unexpected_exits.push_back(it->vm);
  }
}

}  // namespace sapphire::deploy::soak

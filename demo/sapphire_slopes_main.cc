/** @file sapphire_slopes_main.cc Measures what requests, tokens, links, models
 * and changes cost real processes, by size, for docs/CAPACITY.md. */
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "bench/load_func.h"
#include "contract/intent_func.h"
#include "tests/fleet_base.h"

namespace sapphire::demo {

using tests::Fleet;
using tests::Process;
using tests::Reply;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdle{4'000};
/** Time for a change to reach all processes before the next measurement. */
constexpr milliseconds kSettleTime{500};
constexpr double kNanosPerMilli = 1e6;

std::vector<std::string> EngineArgs() {
  return {"--memory-bytes", "2000000000", "--token-ms", "1"};
}

/** @return Processor time of all threads, from the kernel's nanosecond counters
 * rather than clock ticks. */
double CpuMillis(const Process& process) {
  double nanos = 0;
  const auto tasks = fmt::format("/proc/{}/task", process.pid());
  for (const auto& task : std::filesystem::directory_iterator(tasks)) {
    double own = 0;
    std::ifstream(task.path() / "schedstat") >> own;
    nanos += own;
  }
  return nanos / kNanosPerMilli;
}

double ResidentKilobytes(const Process& process) {
  std::ifstream status(fmt::format("/proc/{}/status", process.pid()));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) return std::stod(line.substr(6));
  }
  return 0;
}

/** @return The sum of all metric lines that start with `prefix`. */
double Metric(Fleet& fleet, const std::string& address,
              const std::string& prefix) {
  const Reply reply = fleet.Send(address, {"GET", "/metrics", {}, ""});
  std::istringstream lines(reply.body);
  std::string line;
  double sum = 0;
  while (std::getline(lines, line)) {
    if (!line.starts_with(prefix)) continue;
    sum += std::stod(line.substr(line.rfind(' ') + 1));
  }
  return sum;
}

/** Resources that one entry and one endpoint have used so far. */
struct ResourceUse {
  double entry_ms = 0;
  double endpoint_ms = 0;
  double link_bytes = 0;
  double entry_kv = 0;
  double endpoint_kv = 0;
  std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now();
};

ResourceUse MeasureUse(Fleet& fleet) {
  ResourceUse spent;
  const std::string entry = fleet.EntryAddress("entry-1");
  spent.link_bytes =
      Metric(fleet, entry, "sapphire_entry_level{name=\"link_bytes_");
  spent.entry_kv = Metric(fleet, entry, "sapphire_entry_key_value_calls_total");
  const std::string endpoint =
      fleet.endpoint("engine-1").process->Address("http");
  spent.endpoint_kv =
      Metric(fleet, endpoint, "sapphire_endpoint_key_value_calls_total");
  spent.entry_ms = CpuMillis(*fleet.entry("entry-1").process);
  spent.endpoint_ms = CpuMillis(*fleet.endpoint("engine-1").process);
  spent.at = std::chrono::steady_clock::now();
  return spent;
}

ResourceUse Difference(const ResourceUse& after, const ResourceUse& before,
                       double parts) {
  ResourceUse each;
  each.entry_ms = (after.entry_ms - before.entry_ms) / parts;
  each.endpoint_ms = (after.endpoint_ms - before.endpoint_ms) / parts;
  each.link_bytes = (after.link_bytes - before.link_bytes) / parts;
  each.entry_kv = (after.entry_kv - before.entry_kv) / parts;
  each.endpoint_kv = (after.endpoint_kv - before.endpoint_kv) / parts;
  return each;
}

/** Prints a table of costs by size and the least-squares slope of each. */
class Table {
 public:
  explicit Table(const std::string& what) {
    fmt::print(
        "\n## {}\n\n| size | entry CPU ms | endpoint CPU ms | link bytes | "
        "entry kv calls | endpoint kv calls | entry KB | endpoint KB |\n"
        "|---|---|---|---|---|---|---|---|\n",
        what);
  }
  void Add(Fleet& fleet, double size, const ResourceUse& spent) {
    const std::vector<double> row = {
        spent.entry_ms,
        spent.endpoint_ms,
        spent.link_bytes,
        spent.entry_kv,
        spent.endpoint_kv,
        ResidentKilobytes(*fleet.entry("entry-1").process),
        ResidentKilobytes(*fleet.endpoint("engine-1").process)};
    sizes_.push_back(size);
    rows_.push_back(row);
    Print(fmt::format("{}", size), row);
  }
  void PrintSlopes() const {
    std::vector<double> slopes;
    for (std::size_t i = 0; i < rows_.front().size(); ++i) {
      slopes.push_back(SlopeOf(i));
    }
    Print("slope", slopes);
    std::fflush(stdout);
  }

 private:
  static void Print(const std::string& name, const std::vector<double>& row) {
    fmt::print("| {} |", name);
    for (const double it : row) fmt::print(" {:.4g} |", it);
    fmt::print("\n");
  }
  [[nodiscard]] double SlopeOf(std::size_t column) const {
    const auto n = static_cast<double>(sizes_.size());
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (std::size_t i = 0; i < sizes_.size(); ++i) {
      x += sizes_[i];
      y += rows_[i][column];
      xx += sizes_[i] * sizes_[i];
      xy += sizes_[i] * rows_[i][column];
    }
    return (n * xy - x * y) / (n * xx - x * x);
  }

  std::vector<double> sizes_;
  std::vector<std::vector<double>> rows_;
};

std::string IntentOf(int models, int adapters, int max_replicas) {
  contract::Intent intent;
  intent.deployment = "slopes";
  const core::ServiceId service("drafts");
  intent.services[service] = {
      service, contract::ServiceKind::kModel, 100, {}, 16};
  for (int i = 0; i < models; ++i) {
    const core::ModelId name(fmt::format("model-{:05}", i));
    contract::Model& model = intent.models[name];
    model.name = name;
    model.service = service;
    model.weight_bytes = 1'000'000;
    model.kv_budget_bytes = 1'000'000;
    model.max_concurrent = 64;
    model.max_replicas = i == 0 ? max_replicas : 1;
  }
  auto it = intent.models.begin();
  for (int i = 0; i < adapters; ++i) {
    const core::AdapterId name(fmt::format("adapter-{:05}", i));
    it->second.adapters.push_back({name, "1", 1'000});
    if (++it == intent.models.end()) it = intent.models.begin();
  }
  return contract::ToToml(intent);
}

bench::LoadPlan PlanFor(Fleet& fleet) {
  bench::LoadPlan plan;
  plan.target = fleet.EntryAddress("entry-1");
  plan.model = "model-00001";
  plan.concurrency = 8;
  return plan;
}

void RunOrFail(const bench::LoadPlan& plan) {
  const auto result = bench::RunLoad(plan);
  if (!result.failures.empty()) {
    throw std::runtime_error(bench::FormatLoad("load", result, false));
  }
}

void MeasureRequests(Fleet& fleet) {
  Table table("Requests, 8 at once, 1 token each");
  for (const int requests : {500, 1000, 1500, 2000}) {
    bench::LoadPlan plan = PlanFor(fleet);
    plan.requests = requests;
    plan.max_tokens = 1;
    const ResourceUse before = MeasureUse(fleet);
    RunOrFail(plan);
    const ResourceUse after = MeasureUse(fleet);
    table.Add(fleet, requests, Difference(after, before, 1));
  }
  table.PrintSlopes();
}

void MeasureTokens(Fleet& fleet) {
  constexpr int kStreams = 100;
  Table table(fmt::format("Tokens of each of {} streams, 8 at once", kStreams));
  for (const int tokens : {16, 64, 128, 256}) {
    bench::LoadPlan plan = PlanFor(fleet);
    plan.requests = kStreams;
    plan.max_tokens = tokens;
    plan.stream = true;
    const ResourceUse before = MeasureUse(fleet);
    RunOrFail(plan);
    const ResourceUse after = MeasureUse(fleet);
    table.Add(fleet, tokens, Difference(after, before, kStreams));
  }
  table.PrintSlopes();
}

/** Compares the path through the entry with direct calls to the engine.
 * Alternates the batches, so that other load on the machine affects both. */
void MeasureAddedLatency(Fleet& fleet) {
  fmt::print("\n## Path beside the engine called directly\n\n");
  for (const int concurrency : {1, 8}) {
    bench::LoadResult sums[2];
    for (int round = 0; round < 10; ++round) {
      for (const bool direct : {false, true}) {
        bench::LoadPlan plan = PlanFor(fleet);
        if (direct) plan.target = fleet.StandInAddress("engine-1");
        plan.requests = 100;
        plan.concurrency = concurrency;
        plan.max_tokens = 1;
        plan.stream = true;
        const auto result = bench::RunLoad(plan);
        auto& sum = sums[direct ? 1 : 0];
        sum.took += result.took;
        sum.tokens += result.tokens;
        sum.total.insert(sum.total.end(), result.total.begin(),
                         result.total.end());
        sum.first.insert(sum.first.end(), result.first.begin(),
                         result.first.end());
        for (const auto& [kind, n] : result.failures) sum.failures[kind] += n;
      }
    }
    for (auto& sum : sums) {
      std::sort(sum.total.begin(), sum.total.end());
      std::sort(sum.first.begin(), sum.first.end());
    }
    fmt::print("{} at once\n{}{}", concurrency,
               bench::FormatLoad("through the entry", sums[0], false),
               bench::FormatLoad("engine directly", sums[1], false));
  }
  std::fflush(stdout);
}

/** @return Costs per second without requests. */
ResourceUse IdleSecond(Fleet& fleet) {
  std::this_thread::sleep_for(kSettleTime);
  const ResourceUse before = MeasureUse(fleet);
  std::this_thread::sleep_for(kIdle);
  const ResourceUse after = MeasureUse(fleet);
  const std::chrono::duration<double> took = after.at - before.at;
  return Difference(after, before, took.count());
}

void MeasureLinks(Fleet& fleet) {
  Table by_endpoint("Endpoints linked, a second of rest");
  int endpoints = 1;
  for (const int wanted : {1, 5, 10, 15}) {
    while (endpoints < wanted) {
      fleet.AddEngine(fmt::format("engine-{}", ++endpoints), "zone-a",
                      EngineArgs());
    }
    fleet.PublishVms();
    fleet.Confirm(IntentOf(50, 0, 1 + wanted));
    by_endpoint.Add(fleet, wanted, IdleSecond(fleet));
  }
  by_endpoint.PrintSlopes();
  Table by_entry("Entries linked, a second of rest");
  int entries = 1;
  for (const int wanted : {1, 2, 4, 6}) {
    while (entries < wanted) {
      fleet.AddEntry(fmt::format("entry-{}", ++entries), "zone-a");
    }
    fleet.PublishVms();
    fleet.Confirm(IntentOf(50, 0, 20 + wanted));
    by_entry.Add(fleet, wanted, IdleSecond(fleet));
  }
  by_entry.PrintSlopes();
}

void MeasureCatalogue(Fleet& fleet) {
  constexpr int kModels = 1500;
  Table by_model("Models known, one plan and confirmation of them all");
  const auto confirm = [&](Table& table, double size,
                           const std::string& intent) {
    std::this_thread::sleep_for(kSettleTime);
    const ResourceUse before = MeasureUse(fleet);
    fleet.Confirm(intent);
    std::this_thread::sleep_for(kSettleTime);
    table.Add(fleet, size, Difference(MeasureUse(fleet), before, 1));
  };
  for (const int models : {50, 500, 1000, kModels}) {
    confirm(by_model, models, IntentOf(models, 0, 1));
  }
  by_model.PrintSlopes();
  Table by_adapter("Adapters known, 1500 models");
  for (const int adapters : {1000, 5000, 10000, 14000}) {
    confirm(by_adapter, adapters, IntentOf(kModels, adapters, 1));
  }
  by_adapter.PrintSlopes();
  Table changes("Changes of one model, one after another, full catalogue");
  int replicas = 1;
  for (const int count : {1, 2, 3, 4}) {
    const ResourceUse before = MeasureUse(fleet);
    for (int i = 0; i < count; ++i) {
      fleet.Confirm(IntentOf(kModels, 14000, ++replicas));
    }
    std::this_thread::sleep_for(kSettleTime);
    changes.Add(fleet, count, Difference(MeasureUse(fleet), before, 1));
  }
  changes.PrintSlopes();
}

void MeasureColdStarts(Fleet& fleet) {
  Table table("Models woken one after another");
  int model = 10;
  for (const int count : {2, 4, 6, 8}) {
    const ResourceUse before = MeasureUse(fleet);
    for (int i = 0; i < count; ++i) {
      bench::LoadPlan plan = PlanFor(fleet);
      plan.model = fmt::format("model-{:05}", model++);
      plan.requests = 1;
      RunOrFail(plan);
    }
    table.Add(fleet, count, Difference(MeasureUse(fleet), before, 1));
  }
  table.PrintSlopes();
}

void PrintIdleMemory(Fleet& fleet) {
  fmt::print("\n## Memory at rest: entry {} KB, endpoint {} KB\n",
             ResidentKilobytes(*fleet.entry("entry-1").process),
             ResidentKilobytes(*fleet.endpoint("engine-1").process));
}

void StartSmall(Fleet& fleet) {
  fleet.entry_settings = "max_body_bytes = 67108864\n";
  fleet.AddEngine("engine-1", "zone-a", EngineArgs());
  fleet.AddEntry("entry-1", "zone-a");
  fleet.PublishVms();
  fleet.Confirm(IntentOf(50, 0, 1));
}

void Main(const std::string& bin_dir) {
  {
    Fleet fleet(bin_dir, "sapphire-slopes");
    StartSmall(fleet);
    PrintIdleMemory(fleet);
    MeasureLinks(fleet);
  }
  {
    Fleet fleet(bin_dir, "sapphire-slopes");
    StartSmall(fleet);
    MeasureCatalogue(fleet);
  }
  Fleet fleet(bin_dir, "sapphire-slopes");
  StartSmall(fleet);
  bench::LoadPlan wake = PlanFor(fleet);
  wake.requests = 1;
  RunOrFail(wake);
  MeasureColdStarts(fleet);
  MeasureAddedLatency(fleet);
  MeasureRequests(fleet);
  MeasureTokens(fleet);
}

}  // namespace

}  // namespace sapphire::demo

int main(int argc, char** argv) {
  if (argc != 2) {
    fmt::print(stderr, "usage: sapphire-slopes BIN_DIR\n");
    return 2;
  }
  try {
    sapphire::demo::Main(argv[1]);
    return 0;
  } catch (const std::exception& e) {
    fmt::print(stderr, "slopes: {}\n", e.what());
    return 1;
  }
}

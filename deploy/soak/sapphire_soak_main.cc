/** @file sapphire_soak_main.cc Runs the fault soak for a range of seeds. */
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <string>

#include "soak_check_func.h"
#include "soak_plan_func.h"
#include "soak_runner_base.h"

namespace sapphire::deploy::soak {

namespace {

/** Two departures in 12 s, so that some overlap with the other faults. */
constexpr int kDepartures = 2;

/** Runs the soak for the plan's seed and prints the result.
 * @return True if no guarantee was violated. */
bool RunSeed(const SoakPlan& plan, const std::string& bin_dir,
             const std::string& logs) {
  const SoakPlan drawn = DrawFaults(plan);
  SoakOptions options;
  options.bin_dir = bin_dir;
  options.directory = fmt::format("{}/seed-{}", logs, plan.seed);
  std::filesystem::create_directories(options.directory);
  const SoakRecord record = SoakRunner(options, drawn).Run();
  const std::vector<std::string> broken = FindViolations(record);
  fmt::print("seed={} broken={} {}\n", plan.seed, broken.size(),
             Summary(record));
  if (!broken.empty()) fmt::print("{}", DescribeFaults(drawn));
  for (const std::string& it : broken) fmt::print("  {}\n", it);
  std::fflush(stdout);
  return broken.empty();
}

int Main(int argc, char** argv) {
  CLI::App app{"Plays the platform's programs with faults drawn from seeds"};
  SoakPlan plan;
  std::uint64_t first = 1;
  int count = 1;
  int seconds = 12;
  std::string bin_dir = "build/bin";
  std::string directory;
  app.add_option("--seed", first, "First seed");
  app.add_option("--count", count, "Seeds to run, one after the other");
  app.add_option("--seconds", seconds, "Traffic with faults, for each seed");
  app.add_option("--entries", plan.entries, "Entries");
  app.add_option("--engines", plan.engines, "Model engines and endpoints");
  app.add_option("--callers", plan.callers, "Callers");
  plan.departures = kDepartures;
  app.add_option("--departures", plan.departures,
                 "Times that an entry loses the store while engines leave");
  app.add_option("--unattended", plan.engines_without_endpoint,
                 "Model engines without a process beside them");
  app.add_option("--endpoint-losses", plan.endpoint_outages,
                 "Times that the process beside an engine is gone for 24 s or "
                 "more; needs 40 s of traffic");
  app.add_option("--kills-after-loss", plan.kills_after_outage,
                 "Times that the process is killed after each such loss, while "
                 "it takes its engine back");
  app.add_flag("--organisations", plan.organisations,
               "Callers have keys; some are revoked, one quota is exceeded");
  app.add_flag(
      "--broken-answers", plan.broken_answers,
      "Engines answer without length or chunks, and break answers off");
  app.add_flag("--software-versions", plan.software_versions,
               "Engines are of two software versions, callers take streams up");
  app.add_flag("--crashing-part", plan.crashing_part,
               "One part of callers' prompts crashes engines");
  app.add_option("--notices", plan.notices,
                 "Times that engines say only in answers that they leave, and "
                 "that engines ask for rest");
  app.add_option("--routes-behind-faults", plan.routes_behind_faults,
                 "Times that a route is added while the store fails, or one "
                 "entry can't reach it");
  app.add_option("--key-moves", plan.key_moves,
                 "Times that keys are revoked, returned or moved while an "
                 "engine is silent; needs --organisations");
  app.add_option("--kills-of-all", plan.kills_of_all_entries,
                 "Times that all entries are killed, with --software-versions "
                 "in part while engines are replaced by newer ones");
  app.add_option("--bin", bin_dir, "Where the programs are");
  app.add_option("--logs", directory, "Where logs go")->required();
  CLI11_PARSE(app, argc, argv);
  int failed = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    plan.seed = seed;
    plan.duration = std::chrono::seconds(seconds);
    if (!RunSeed(plan, bin_dir, directory)) ++failed;
  }
  return failed == 0 ? 0 : 1;
}

}  // namespace

}  // namespace sapphire::deploy::soak

int main(int argc, char** argv) {
  return sapphire::deploy::soak::Main(argc, argv);
}

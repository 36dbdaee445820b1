/** @file report.cc Table that compares policies, and whether goals are met. */
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iterator>
#include <thread>

#include "bench/report_func.h"
#include "bench/simulation_func.h"
#include "bench/workload_func.h"

namespace sapphire::bench {

namespace {

constexpr unsigned kThreads = 4;
constexpr double kGoalCostRatio = 0.8;

/** The first rows are our policy and its variants; the others are baselines. */
constexpr std::size_t kOwnRows = 4;

/** @return The policies of the table; ours is the first. */
std::vector<PolicyChoice> ComparedPolicies() {
  using std::chrono::seconds;
  return {
      {.name = "priced, staging (ours)",
       .unload_policy = UnloadPolicy::kPriced,
       .timeout = {},
       .staging = true},
      {.name = "priced, no staging", .unload_policy = UnloadPolicy::kPriced},
      {.name = "priced, leaving apart, staging",
       .unload_policy = UnloadPolicy::kPricedApart,
       .staging = true},
      {.name = "priced alone, staging",
       .unload_policy = UnloadPolicy::kPricedAlone,
       .staging = true},
      {.name = "never unload", .unload_policy = UnloadPolicy::kNeverUnload},
      {
          .name = "unload at once",
          .unload_policy = UnloadPolicy::kUnloadAtOnce,
      },
      {.name = "fixed 30 s",
       .unload_policy = UnloadPolicy::kFixedTimeout,
       .timeout = seconds(30)},
      {.name = "fixed 60 s",
       .unload_policy = UnloadPolicy::kFixedTimeout,
       .timeout = seconds(60)},
      {.name = "fixed 120 s",
       .unload_policy = UnloadPolicy::kFixedTimeout,
       .timeout = seconds(120)},
      {.name = "fixed 300 s",
       .unload_policy = UnloadPolicy::kFixedTimeout,
       .timeout = seconds(300)},
      {.name = "fixed 900 s",
       .unload_policy = UnloadPolicy::kFixedTimeout,
       .timeout = seconds(900)},
      {.name = "LRU", .unload_policy = UnloadPolicy::kLeastRecentlyUsed},
  };
}

/** One line of the table; means over the days. */
struct Row {
  std::string name;
  double cold_starts = 0;
  double cold_p50 = 0;
  double cold_p95 = 0;
  double cold_p99 = 0;
  double all_p99 = 0;
  double refused = 0;
  double refused_waiting = 0;
  double late = 0;
  double idle_hours = 0;
  double replica_hours = 0;
  double loads = 0;
  double cost = 0;
  /** The cost with idle replica time instead of idle accelerator time. */
  double replica_cost = 0;
};

/** @return The nearest-rank quantile in seconds. */
double Quantile(const std::vector<Millis>& sorted, double part) {
  if (sorted.empty()) return 0;
  const auto size = static_cast<double>(sorted.size());
  const auto rank = static_cast<std::size_t>(std::ceil(part * size));
  const std::size_t index = std::max<std::size_t>(rank, 1) - 1;
  return std::chrono::duration<double>(sorted[index]).count();
}

Row RowOf(const PolicyChoice& choice, Result sum, double days,
          const policy::CostWeights& weights) {
  std::ranges::sort(sum.cold_waits);
  std::ranges::sort(sum.all_waits);
  Row row;
  row.name = choice.name;
  row.cold_starts = static_cast<double>(sum.cold_waits.size()) / days;
  row.cold_p50 = Quantile(sum.cold_waits, 0.50);
  row.cold_p95 = Quantile(sum.cold_waits, 0.95);
  row.cold_p99 = Quantile(sum.cold_waits, 0.99);
  row.all_p99 = Quantile(sum.all_waits, 0.99);
  row.refused = static_cast<double>(sum.refused) / days;
  row.refused_waiting = static_cast<double>(sum.refused_waiting) / days;
  row.late = static_cast<double>(sum.late) / days;
  row.idle_hours = sum.idle_accelerator_seconds / 3600 / days;
  row.replica_hours = sum.idle_replica_seconds / 3600 / days;
  row.loads = static_cast<double>(sum.loads) / days;
  row.cost = (weights.cold_start * sum.caller_seconds +
              weights.idle * sum.idle_accelerator_seconds) /
             days;
  row.replica_cost = (weights.cold_start * sum.caller_seconds +
                      weights.idle * sum.idle_replica_seconds) /
                     days;
  return row;
}

/** Runs all policies on all days, kThreads at a time. */
std::vector<Row> RunAll(std::span<const Workload> days) {
  const auto choices = ComparedPolicies();
  std::vector<Result> results(choices.size() * days.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < results.size(); i = next++) {
      results[i] = Simulate(days[i % days.size()], choices[i / days.size()]);
    }
  };
  {
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < kThreads; ++i) threads.emplace_back(work);
  }
  std::vector<Row> rows;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    Result sum;
    for (std::size_t j = 0; j < days.size(); ++j) {
      AddResult(sum, results[i * days.size() + j]);
    }
    rows.push_back(RowOf(choices[i], std::move(sum),
                         static_cast<double>(days.size()), days[0].weights));
  }
  return rows;
}

std::string TableOf(std::span<const Row> rows) {
  std::string table =
      "| policy | cold starts | cold p50 s | p95 s | p99 s | all callers' p99 "
      "s | refused | of them after a wait | late | idle accelerator h | idle "
      "replica h | loads | "
      "weighted cost | cost by replica h "
      "|\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const Row& row : rows) {
    fmt::format_to(
        std::back_inserter(table),
        "| {} | {:.0f} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {:.1f} "
        "| {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.0f} | {:.0f} | {:.0f} |\n",
        row.name, row.cold_starts, row.cold_p50, row.cold_p95, row.cold_p99,
        row.all_p99, row.refused, row.refused_waiting, row.late, row.idle_hours,
        row.replica_hours, row.loads, row.cost, row.replica_cost);
  }
  return table;
}

std::string GoalReport(std::span<const Row> rows) {
  const Row& ours = rows.front();
  const auto baselines = rows.subspan(kOwnRows);
  const Row& best =
      *std::ranges::min_element(baselines, std::ranges::less{}, &Row::cost);
  std::string verdict;
  for (const Row& row : baselines) {
    const bool less_idle = row.idle_hours < ours.idle_hours;
    const bool better_tail = row.cold_p99 < ours.cold_p99;
    const bool better_all = row.all_p99 < ours.all_p99;
    if (!less_idle || (!better_tail && !better_all)) continue;
    fmt::format_to(std::back_inserter(verdict),
                   "Goal 1 missed: {} is better on both measures ({}).\n",
                   row.name, better_tail ? "cold p99" : "all callers' p99");
  }
  if (verdict.empty()) verdict = "Goal 1 met: no baseline is better on both.\n";
  const double ratio = ours.cost / best.cost;
  fmt::format_to(std::back_inserter(verdict),
                 "Goal 2 {}: our cost is {:.1f} % {} the best baseline's "
                 "({}).\n",
                 ratio <= kGoalCostRatio ? "met" : "missed",
                 std::abs(100 - 100 * ratio), ratio < 1 ? "below" : "above",
                 best.name);
  return verdict;
}

}  // namespace

std::string ReportDeployment(Deployment deployment, LoadLevel load_level,
                             const std::string& title,
                             std::span<const std::uint64_t> seeds) {
  std::vector<Workload> days;
  for (const std::uint64_t seed : seeds) {
    days.push_back(MakeWorkload(deployment, load_level, seed));
  }
  std::size_t requests = 0;
  for (const Workload& day : days) requests += day.arrivals.size();
  const auto rows = RunAll(days);
  return fmt::format(
      "### {}, {}\n\n{} seeds, {} requests a day; weights {} : {}; means per "
      "day.\n\n{}\n{}\n",
      days[0].name, title, seeds.size(), requests / days.size(),
      days[0].weights.cold_start, days[0].weights.idle, TableOf(rows),
      GoalReport(rows));
}

}  // namespace sapphire::bench

/** @file sapphire_load_main.cc Load generator for an entry and, for comparison,
 * an engine. */
#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "bench/load_func.h"

namespace {

constexpr int kMaxRequests = 1'000'000;
constexpr int kMaxConcurrency = 1'000;
constexpr int kMaxSeconds = 600;

}  // namespace

int main(int argc, char** argv) {
  sapphire::bench::LoadPlan plan;
  std::string direct;
  int seconds = 60;
  bool as_json = false;
  CLI::App app{"Sends requests; prints times, rates and failures"};
  app.add_option("--target", plan.target, "Entry, ip:port")->required();
  app.add_option("--direct", direct, "Engine to call as well, ip:port");
  app.add_option("--model", plan.model, "Model or model:adapter")->required();
  app.add_option("--requests", plan.requests, "How many")
      ->check(CLI::Range(1, kMaxRequests));
  app.add_option("--concurrency", plan.concurrency, "How many at once")
      ->check(CLI::Range(1, kMaxConcurrency));
  app.add_option("--max-tokens", plan.max_tokens, "Tokens of an answer");
  app.add_option("--limit-s", seconds, "No request starts later")
      ->check(CLI::Range(1, kMaxSeconds));
  app.add_flag("--stream", plan.stream, "Ask for server-sent events");
  app.add_flag("--json", as_json, "One JSON object a target");
  CLI11_PARSE(app, argc, argv);
  plan.limit = std::chrono::seconds(seconds);
  const auto entry = sapphire::bench::RunLoad(plan);
  bool failed = !entry.failures.empty();
  fmt::print("{}", sapphire::bench::FormatLoad("entry", entry, as_json));
  if (!direct.empty()) {
    plan.target = direct;
    const auto engine = sapphire::bench::RunLoad(plan);
    failed = failed || !engine.failures.empty();
    fmt::print("{}", sapphire::bench::FormatLoad("direct", engine, as_json));
  }
  return failed ? 1 : 0;
}

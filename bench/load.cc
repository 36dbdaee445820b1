/** @file load.cc Load generator that measures latencies and failures. */
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <thread>

#include "bench/load_func.h"
#include "http/client_base.h"

namespace sapphire::bench {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr int kOk = 200;
constexpr double kMicrosPerSecond = 1e6;

microseconds Since(Clock::time_point start) {
  return std::chrono::duration_cast<microseconds>(Clock::now() - start);
}

http::Request MakeRequest(const LoadPlan& plan) {
  static const auto kRun = Clock::now().time_since_epoch().count();
  static std::atomic<int> calls{0};
  const boost::json::object message{{"role", "user"}, {"content", "load"}};
  const boost::json::object body{{"model", plan.model},
                                 {"stream", plan.stream},
                                 {"max_tokens", plan.max_tokens},
                                 {"messages", boost::json::array{message}}};
  return {"POST",
          "/v1/chat/completions",
          {{"Content-Type", "application/json"},
           {"X-Request-Id", fmt::format("load-{}-{}", kRun, ++calls)},
           {"X-Request-Timeout-Ms", std::to_string(plan.timeout.count())}},
          boost::json::serialize(body)};
}

/** State that all workers of a run share, on one thread. */
struct Run {
  const LoadPlan& plan;
  http::Client client;
  Clock::time_point start = Clock::now();
  int next = 0;
  LoadResult result;
};

core::Task<> SendOne(Run& run) {
  const auto start = Clock::now();
  std::string failure;
  try {
    http::Request request = MakeRequest(run.plan);
    const auto stream =
        co_await run.client.Open(std::move(request), run.plan.timeout);
    std::optional<microseconds> first;
    for (;;) {
      const http::BodyPart part = co_await stream->Read(run.plan.timeout);
      if (std::holds_alternative<http::BodyEnd>(part)) break;
      if (!first) first = Since(start);
    }
    const int status = stream->head().status;
    if (status == kOk) {
      run.result.total.push_back(Since(start));
      run.result.first.push_back(first.value_or(Since(start)));
      run.result.tokens += run.plan.max_tokens;
      co_return;
    }
    failure = fmt::format("status {}", status);
  } catch (const http::TransportError& e) {
    failure = e.timed_out() ? "timed out" : "connection failed";
  }
  ++run.result.failures[failure];
}

core::Task<> RunWorker(Run& run) {
  while (run.next < run.plan.requests && Since(run.start) < run.plan.limit) {
    ++run.next;
    co_await SendOne(run);
  }
}

double Millis(microseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

LoadResult RunLoad(const LoadPlan& plan) {
  boost::asio::io_context io(1);
  Run run{.plan = plan, .client = http::Client(plan.target), .result = {}};
  for (int i = 0; i < plan.concurrency; ++i) {
    boost::asio::co_spawn(io, RunWorker(run), boost::asio::detached);
  }
  io.run();
  run.result.took = Since(run.start);
  std::sort(run.result.total.begin(), run.result.total.end());
  std::sort(run.result.first.begin(), run.result.first.end());
  return std::move(run.result);
}

microseconds Quantile(const std::vector<microseconds>& sorted, double share) {
  if (sorted.empty()) return microseconds{};
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

std::string FormatLoad(std::string_view name, const LoadResult& result,
                       bool as_json) {
  const double seconds =
      static_cast<double>(result.took.count()) / kMicrosPerSecond;
  const double requests = static_cast<double>(result.total.size()) / seconds;
  const double tokens = static_cast<double>(result.tokens) / seconds;
  boost::json::object shown{{"name", name},
                            {"answered", result.total.size()},
                            {"requests_per_second", requests},
                            {"tokens_per_second", tokens}};
  std::string text =
      fmt::format("{}: {} answered, {:.1f} requests/s, {:.1f} tokens/s\n", name,
                  result.total.size(), requests, tokens);
  for (const auto& [label, times] :
       {std::pair("total", &result.total), std::pair("first", &result.first)}) {
    const double p50 = Millis(Quantile(*times, 0.5));
    const double p95 = Millis(Quantile(*times, 0.95));
    const double p99 = Millis(Quantile(*times, 0.99));
    shown[fmt::format("{}_ms", label)] =
        boost::json::object{{"p50", p50}, {"p95", p95}, {"p99", p99}};
    text += fmt::format("  {} ms: p50 {:.2f}, p95 {:.2f}, p99 {:.2f}\n", label,
                        p50, p95, p99);
  }
  boost::json::object failures;
  for (const auto& [kind, count] : result.failures) {
    failures[kind] = count;
    text += fmt::format("  failed, {}: {}\n", kind, count);
  }
  shown["failures"] = failures;
  return as_json ? boost::json::serialize(shown) + "\n" : text;
}

}  // namespace sapphire::bench

/** @file load_type.h Parameters and results of a load run. */
#ifndef SAPPHIRE_BENCH_LOAD_TYPE_H_
#define SAPPHIRE_BENCH_LOAD_TYPE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphire::bench {

/** Parameters of a load run, which is limited in requests and time. */
struct LoadPlan {
  /** Address of an entry or of an engine, "ip:port". */
  std::string target;
  std::string model;
  int requests = 100;
  int concurrency = 1;
  int max_tokens = 8;
  bool stream = false;
  /** Timeout of one request. */
  std::chrono::milliseconds timeout{30'000};
  /** No request starts after this time. */
  std::chrono::milliseconds limit{60'000};
};

struct LoadResult {
  /** Times to the end of complete answers, sorted. */
  std::vector<std::chrono::microseconds> total;
  /** Times to the first part of the body, sorted. */
  std::vector<std::chrono::microseconds> first;
  /** Count by HTTP status or by kind of transport failure. */
  std::map<std::string, int> failures;
  std::int64_t tokens = 0;
  std::chrono::microseconds took{};
};

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_LOAD_TYPE_H_

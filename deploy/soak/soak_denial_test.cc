/** @file soak_denial_test.cc Tests a soak in which routes are added while
 * entries can't reach the store, and the check of denials. */
#define BOOST_TEST_MODULE soak_denial
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

namespace {

constexpr int kNotFound = 404;
constexpr milliseconds kAfterTheLimit{2100};

/** @return A record of one attempt that was answered with this status. */
SoakRecord RecordOf(std::optional<milliseconds> since_route, int status) {
  const core::SteadyTime added = core::SteadyTime() + std::chrono::hours(1);
  Attempt attempt;
  attempt.id = "0-1";
  attempt.route_since.reset();
  if (since_route) attempt.route_since = added;
  attempt.sent = added + since_route.value_or(kAfterTheLimit);
  attempt.ended = attempt.sent;
  attempt.status = status;
  SoakRecord record;
  record.attempts.push_back(attempt);
  record.entry_disturbed[0].push_back({added, attempt.ended});
  return record;
}

bool IsReported(const SoakRecord& record) {
  return std::ranges::any_of(
      FindViolations(record, 0.0),
      [](const std::string& it) { return it.find("route") != it.npos; });
}

}  // namespace

BOOST_AUTO_TEST_CASE(DenialsOfRoutesAreReported) {
  for (const int status : {401, 403, kNotFound}) {
    BOOST_TEST(IsReported(RecordOf(kAfterTheLimit, status)));
  }
  BOOST_TEST(!IsReported(RecordOf(milliseconds(1900), kNotFound)));
  BOOST_TEST(!IsReported(RecordOf(kAfterTheLimit, 503)));
  BOOST_TEST(!IsReported(RecordOf(kAfterTheLimit, 200)));
}

BOOST_AUTO_TEST_CASE(AnswersWithoutARouteAreReported) {
  for (const int status : {200, 302, 500, 502}) {
    BOOST_TEST(IsReported(RecordOf(std::nullopt, status)));
  }
  BOOST_TEST(!IsReported(RecordOf(std::nullopt, kNotFound)));
  BOOST_TEST(!IsReported(RecordOf(std::nullopt, 503)));
}

/** Guards against 404 for a route that the store has acknowledged, from entries
 * that can't reach the store. */
BOOST_AUTO_TEST_CASE(AddedRoutesAreNotDeniedBehindFaults) {
  SoakPlan plan;
  plan.seed = 1;
  plan.duration = std::chrono::seconds(8);
  plan.routes_behind_faults = 2;
  const SoakRecord record = testing::RunPlan(plan);
  BOOST_TEST(record.routes_added.size() >= 2U);
}

}  // namespace sapphire::deploy::soak

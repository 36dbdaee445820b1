/** @file attempt_table_test.cc Tests that each attempt runs at most once. */
#define BOOST_TEST_MODULE attempt_table
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "core/error_type.h"
#include "endpoint/attempt_table_base.h"

namespace sapphire::endpoint {

using core::AttemptId;
using core::Error;
using core::ErrorCode;

namespace {

auto Is(ErrorCode code) {
  return [code](const Error& e) { return e.code() == code; };
}

}  // namespace

// Failure: a caller was answered "not run", and the request ran later. The
// entry had given up and voided the attempt, and the first copy of its message
// arrived over a slow link afterwards.
BOOST_AUTO_TEST_CASE(LateCopyOfVoidedAttemptIsRefused) {
  const core::SystemClock clock;
  AttemptTable table({}, clock);
  BOOST_TEST(!table.Void(AttemptId("a")));
  BOOST_CHECK_EXCEPTION(table.Start(AttemptId("a")), Error,
                        Is(ErrorCode::kAttemptVoided));
  BOOST_TEST(!table.Void(AttemptId("a")));
}

BOOST_AUTO_TEST_CASE(StartedAttemptCanNotBeVoidedOrStartedAgain) {
  const core::SystemClock clock;
  AttemptTable table({}, clock);
  table.Start(AttemptId("a"));
  BOOST_TEST(table.Void(AttemptId("a")));
  BOOST_CHECK_EXCEPTION(table.Start(AttemptId("a")), Error,
                        Is(ErrorCode::kAlreadyRan));
  table.RevertStart(AttemptId("a"));
  BOOST_CHECK_EXCEPTION(table.Start(AttemptId("a")), Error,
                        Is(ErrorCode::kAttemptVoided));
}

// If an attempt is voided and started on two threads at the same moment,
// exactly one may succeed, or the answer "not run" could be wrong.
BOOST_AUTO_TEST_CASE(StartAndVoidRaceHasOneWinner) {
  const core::SystemClock clock;
  AttemptTable table({}, clock);
  constexpr int kAttempts = 2000;
  std::vector<std::atomic<int>> wins(kAttempts);
  const auto starter = [&] {
    for (int i = 0; i < kAttempts; ++i) {
      try {
        table.Start(AttemptId(std::to_string(i)));
        ++wins[i];
      } catch (const Error&) {
        continue;
      }
    }
  };
  const auto voider = [&] {
    for (int i = 0; i < kAttempts; ++i) {
      if (!table.Void(AttemptId(std::to_string(i)))) ++wins[i];
    }
  };
  {
    const std::jthread one(starter);
    const std::jthread two(voider);
  }
  for (const auto& it : wins) BOOST_REQUIRE_EQUAL(it.load(), 1);
}

// Voided attempts accumulate while a service misbehaves. A full table must
// refuse new attempts rather than forget one whose copy may be in transit.
BOOST_AUTO_TEST_CASE(FullTableRefusesAndForgetsOnlyByAge) {
  core::ManualClock clock;
  AttemptTableOptions options;
  options.max_attempts = 4;
  options.shards = 1;
  options.retention = core::Millis(100);
  AttemptTable table(options, clock);
  for (int i = 0; i < 4; ++i) table.Void(AttemptId(std::to_string(i)));
  BOOST_CHECK_EXCEPTION(table.Start(AttemptId("new")), Error,
                        Is(ErrorCode::kQueueFull));
  BOOST_CHECK_EXCEPTION(table.Start(AttemptId("0")), Error,
                        Is(ErrorCode::kAttemptVoided));
  clock.Advance(core::Millis(101));
  table.Start(AttemptId("new"));
  BOOST_TEST(table.size() == 1U);
}

}  // namespace sapphire::endpoint

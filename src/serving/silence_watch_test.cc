/** @file silence_watch_test.cc Tests that only silent sends are given up. */
#define BOOST_TEST_MODULE silence_watch
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <thread>

#include "serving/silence_watch_base.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

/** Longer than three reports of a silence take. */
constexpr milliseconds kLongWait{1500};

/** Guards against a stream that is cut as its engine begins to answer: on a
 * busy VM the expired silence and the answer are handled in one turn of the
 * event loop. */
BOOST_AUTO_TEST_CASE(AnswerAtTimerExpiryKeepsTheSend) {
  boost::asio::io_context io;
  const core::SystemClock clock;
  int silences = 0;
  SilenceWatch watch(
      io.get_executor(), [&silences] { ++silences; }, clock);
  watch.Restart(milliseconds(1));
  std::this_thread::sleep_for(milliseconds(20));
  boost::asio::post(io, [&watch] { watch.Restart(std::chrono::hours(1)); });
  io.poll();
  BOOST_TEST(silences == 0);
}

/** Guards against a request that is held by an engine that never answers. */
BOOST_AUTO_TEST_CASE(SilenceIsReportedUntilTheEngineAnswers) {
  boost::asio::io_context io;
  const core::SystemClock clock;
  int silences = 0;
  std::optional<SilenceWatch> watch;
  watch.emplace(
      io.get_executor(),
      [&] {
        if (++silences == 3) watch->Restart(std::chrono::hours(1));
      },
      clock);
  watch->Restart(milliseconds(1));
  io.run_for(kLongWait);
  BOOST_TEST(silences == 3);
}

}  // namespace

}  // namespace sapphire::serving

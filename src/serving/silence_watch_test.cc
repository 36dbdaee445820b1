/** @file silence_watch_test.cc Tests that only silent sends are given up. */
#define BOOST_TEST_MODULE silence_watch
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

#include "serving/silence_watch_base.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

/** Guards against a stream that is cut as its engine begins to answer: on a
 * busy VM the expired silence and the answer are handled in one turn of the
 * event loop. */
BOOST_AUTO_TEST_CASE(AnswerAtTimerExpiryKeepsTheSend) {
  boost::asio::io_context io;
  const core::SystemClock clock;
  int asked = 0;
  int aborted = 0;
  SilenceWatch watch(
      io.get_executor(),
      [&asked] {
        ++asked;
        return true;
      },
      [&aborted] { ++aborted; }, clock);
  watch.Restart(milliseconds(1));
  std::this_thread::sleep_for(milliseconds(20));
  boost::asio::post(io, [&watch] { watch.Restart(std::chrono::hours(1)); });
  io.poll();
  BOOST_TEST(asked == 0);
  BOOST_TEST(aborted == 0);
}

/** Guards against a request that is held by an engine that never answers. */
BOOST_AUTO_TEST_CASE(ASilentSendIsGivenUp) {
  boost::asio::io_context io;
  const core::SystemClock clock;
  int aborted = 0;
  SilenceWatch watch(
      io.get_executor(), [] { return true; }, [&aborted] { ++aborted; }, clock);
  watch.Restart(milliseconds(1));
  io.run();
  BOOST_TEST(aborted == 1);
  BOOST_TEST(watch.gave_up());
}

}  // namespace

}  // namespace sapphire::serving

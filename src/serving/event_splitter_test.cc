/** @file event_splitter_test.cc Tests of splitting a stream into events. */
#define BOOST_TEST_MODULE event_splitter
#include <boost/test/unit_test.hpp>

#include "serving/event_splitter_base.h"

namespace sapphire::serving {

BOOST_AUTO_TEST_CASE(OnlyCompleteEventsAreRelayed) {
  EventSplitter splitter(std::nullopt);
  BOOST_TEST(splitter.Add("id: 1\ndata: a") == "");
  BOOST_TEST(splitter.Add("\n\nid: 2\n") == "id: 1\ndata: a\n\n");
  BOOST_TEST(*splitter.last_event() == 1);
  BOOST_TEST(splitter.Add("data: b\r\n\r\n") == "id: 2\ndata: b\r\n\r\n");
  BOOST_TEST(*splitter.last_event() == 2);
  BOOST_TEST(!splitter.IsInsideEvent());
  BOOST_TEST(splitter.TakeBlankLines() == "");
}

/** Guards against a truncated and a duplicate event when a stream moves to a
 * second engine: the first one ends in the middle of event 2, the second one
 * resumes one event too early. */
BOOST_AUTO_TEST_CASE(SecondRunAddsNoTruncatedOrDuplicateEvents) {
  EventSplitter splitter(std::nullopt);
  BOOST_TEST(splitter.Add("id: 1\ndata: a\n\nid: 2\nda") ==
             "id: 1\ndata: a\n\n");
  splitter.StartRun();
  BOOST_TEST(splitter.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") ==
             "id: 2\ndata: b\n\n");
}

/** Guards against an event that lacks its blank line and counts as complete,
 * and against blank lines that count as an event. */
BOOST_AUTO_TEST_CASE(EventEndsWithItsBlankLine) {
  EventSplitter splitter(std::nullopt);
  splitter.Add("id: 1\ndata: a\n");
  BOOST_TEST(splitter.IsInsideEvent());
  splitter.Add("\n\n");
  BOOST_TEST(!splitter.IsInsideEvent());
  BOOST_TEST(splitter.TakeBlankLines() == "\n");
}

BOOST_AUTO_TEST_CASE(ResumedCallerGetsNoDuplicateEvents) {
  EventSplitter splitter(7);
  BOOST_TEST(splitter.Add("id: 7\n\nid: 8\n\n") == "id: 8\n\n");
}

}  // namespace sapphire::serving

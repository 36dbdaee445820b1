/** @file event_splitter_test.cc Tests of splitting a stream into events. */
#define BOOST_TEST_MODULE event_splitter
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

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

/** Guards against an end of an event that is missed because it arrives in
 * several parts, of a byte at the least. */
BOOST_AUTO_TEST_CASE(EventsAreFoundAcrossParts) {
  const std::string_view bytes =
      "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n\n\nid: 3\n\n";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    EventSplitter splitter(std::nullopt);
    std::string whole;
    for (std::size_t at = 0; at < bytes.size(); at += size) {
      whole += splitter.Add(bytes.substr(at, size));
    }
    BOOST_TEST(whole == bytes);
    BOOST_TEST(*splitter.last_event() == 3);
    BOOST_TEST(splitter.partial_bytes() == 0U);
  }
}

/** Guards against line ends of one event that are found in the next one. */
BOOST_AUTO_TEST_CASE(LineEndOfTheLastEventIsNoneOfTheNext) {
  EventSplitter splitter(std::nullopt);
  BOOST_TEST(splitter.Add("a\n\n") == "a\n\n");
  BOOST_TEST(splitter.Add("\nb") == "");
  BOOST_TEST(splitter.Add("\r\n\r") == "");
  BOOST_TEST(splitter.Add("\n") == "\nb\r\n\r\n");
}

/** Guards against a thread that is busy for seconds with one stream: an event
 * that is searched from its begin with each part of it, or a part that is
 * searched to its end for each event in it. */
BOOST_AUTO_TEST_CASE(SearchTakesTimeInProportionToTheBytes) {
  const auto began = std::chrono::steady_clock::now();
  EventSplitter splitter(std::nullopt);
  const std::string part(16 * 1024, 'x');
  for (int i = 0; i < 2048; ++i) splitter.Add(part);
  BOOST_TEST(splitter.partial_bytes() == 2048 * part.size());
  splitter.StartRun();
  std::string events;
  while (events.size() < 1024 * 1024) events += "a: b\n\n";
  BOOST_TEST(splitter.Add(events).size() == events.size());
  BOOST_TEST((std::chrono::steady_clock::now() - began <
              std::chrono::milliseconds(1500)));
}

}  // namespace sapphire::serving

/** @file timeline_test.cc Tests of reading, ordering and rendering events. */
#define BOOST_TEST_MODULE timeline
#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>
#include <sstream>

#include "timeline/clock_skew_func.h"
#include "timeline/log_reader_func.h"
#include "timeline/render_func.h"

namespace sapphire::timeline {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(LinesAreRead) {
  const auto event = ParseLine(
      R"(time=2026-12-02T20:41:29.012345Z process=entry vm=e-1 zone=a )"
      R"(level=info category=request event=received request=r1 )"
      R"(path="/v1/\"x y\"" empty="")");
  BOOST_REQUIRE(event);
  BOOST_TEST(event->vm.value() == "e-1");
  BOOST_TEST(event->name == "received");
  BOOST_TEST(event->request.value() == "r1");
  BOOST_TEST(FieldOf(*event, "path") == "/v1/\"x y\"");
  BOOST_TEST(RenderText({*event}, {}).find("2026-12-02T20:41:29.012345Z") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(OtherLinesAreCounted) {
  std::istringstream in(
      "terminate called\n"
      "time=yesterday event=x\n"
      "time=2026-12-02T20:41:29.012345Z event=cut text=\"half\n"
      "\n");
  const ParsedLog log = ReadEvents(in);
  BOOST_TEST(log.events.size() == 1U);
  BOOST_TEST(log.other_lines == 2);
}

Event At(const std::string& vm, const std::string& name,
         const std::string& request, milliseconds time) {
  Event event;
  event.time = core::WallTime(time);
  event.process = "p";
  event.vm = core::VmId(vm);
  event.name = name;
  event.request = core::RequestId(request);
  return event;
}

// The clocks of other VMs are up to 90 s behind the receiving entry's, or ahead
// of it, so that unshifted times would put answers before requests. With the
// shifts, the events of other VMs lie between begin and end of their request.
BOOST_DATA_TEST_CASE(RequestEventsAreOrderedDespiteClockSkew,
                     boost::unit_test::data::xrange(40), seed) {
  std::mt19937 random(seed);
  const auto pick = [&](int low, int high) {
    return milliseconds(std::uniform_int_distribution<int>(low, high)(random));
  };
  std::map<std::string, milliseconds> clock = {{"home", pick(-90'000, 90'000)},
                                               {"vm", pick(-90'000, 90'000)}};
  std::vector<Event> events;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    const milliseconds begin = pick(0, 5'000);
    const milliseconds length = pick(20, 900);
    events.push_back(At("entry", "received", id, begin));
    events.push_back(
        At("home", "placed", id, begin + clock["home"] + length / 8));
    events.push_back(At("vm", "run", id, begin + clock["vm"] + length / 4));
    events.push_back(At("vm", "ran", id, begin + clock["vm"] + length / 2));
    events.push_back(At("entry", "answered", id, begin + length));
  }
  std::shuffle(events.begin(), events.end(), random);
  SortByTime(events, EstimateShifts(events));
  std::map<std::string, std::string> order;
  for (const Event& event : events) {
    order[event.request.value()] += event.name + " ";
  }
  for (const auto& [id, names] : order) {
    BOOST_TEST(names.starts_with("received "));
    BOOST_TEST(names.ends_with("answered "));
    BOOST_TEST(names.find("run ") < names.find("ran "));
  }
}

// As above, where each process logs a request once, at its end.
BOOST_DATA_TEST_CASE(ShiftsAreEstimatedFromEndEventsAlone,
                     boost::unit_test::data::xrange(20), seed) {
  std::mt19937 random(seed);
  const milliseconds off(
      std::uniform_int_distribution<int>(-90'000, 90'000)(random));
  std::vector<Event> events;
  for (int i = 0; i < 10; ++i) {
    const std::string id = "r" + std::to_string(i);
    const milliseconds begin(i * 400);
    events.push_back(
        At("vm", "run_ended", id, begin + off + milliseconds(290)));
    events.push_back(At("entry", "ended", id, begin + milliseconds(300)));
    events.back().fields.emplace_back("took_ms", "300");
  }
  const ClockShifts shifts = EstimateShifts(events);
  SortByTime(events, shifts);
  for (const Event& event : events) {
    if (event.vm.value() != "vm") continue;
    const auto end = event.time - core::WallTime();
    const int i = std::stoi(event.request.value().substr(1));
    BOOST_TEST((end >= milliseconds(i * 400)));
    BOOST_TEST((end <= milliseconds(i * 400 + 300)));
  }
}

BOOST_AUTO_TEST_CASE(ClocksWithinToleranceAreNotShifted) {
  std::vector<Event> events = {
      At("vm", "run", "r", milliseconds(5)),
      At("entry", "received", "r", milliseconds(1)),
      At("vm", "ran", "r", milliseconds(8)),
      At("entry", "answered", "r", milliseconds(7)),
  };
  BOOST_TEST(EstimateShifts(events).empty());
  SortByTime(events, {});
  BOOST_TEST(events[1].name == "run");
}

BOOST_AUTO_TEST_CASE(RenderedPagesEscapeCallerInput) {
  Event event = At("vm", "run", "<script>", milliseconds(5));
  event.fields.emplace_back("path", "a&b<c");
  for (const std::string& text :
       {RenderSvg({event}), RenderHtml({event}, {})}) {
    BOOST_TEST(text.find("<script>") == std::string::npos);
    BOOST_TEST(text.find("&lt;script>") != std::string::npos);
  }
  BOOST_TEST(!RenderSvg({}).empty());
  const auto document = boost::json::parse(RenderJson({event}, {}));
  BOOST_TEST(document.at("events").as_array().size() == 1U);
}

}  // namespace
}  // namespace sapphire::timeline

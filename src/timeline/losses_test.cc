/** @file losses_test.cc Tests that lost requests are attributed to the right
 * cause, from log lines. */
#define BOOST_TEST_MODULE losses
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>

#include "timeline/log_reader_func.h"
#include "timeline/losses_func.h"

namespace sapphire::timeline {

namespace {

const std::string kLinePrefix =
    "time=2026-01-01T00:00:00.000000Z process=entry vm=e-1 zone=z level=info "
    "category=request ";

LossReport ReportOf(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& it : lines) text += kLinePrefix + it + "\n";
  std::istringstream in(text);
  return AnalyseLosses(ReadEvents(in).events);
}

/** @return The line that ends request r, with these fields added. */
std::string End(const std::string& fields) {
  return "event=request_end request=r route=drafts model=m total_ms=900 " +
         fields;
}

/** @return The cause of the one loss; "none" if nothing was lost. */
std::string CauseOf(const std::vector<std::string>& lines) {
  const LossReport report = ReportOf(lines);
  if (report.losses.empty()) return "none";
  return std::string(NameOf(report.losses.back().cause));
}

const std::string kRefused = "adapter=\"\" sends=0 outcome=no_capacity";
const std::string kInTime =
    "sends=1 outcome=served first_send_ms=1 first_byte_ms=60 objective_ms=500 "
    "longest_pause_ms=40 max_pause_ms=300";
const std::string kPaused =
    "sends=1 outcome=served first_send_ms=1 first_byte_ms=60 objective_ms=500 "
    "longest_pause_ms=340 max_pause_ms=300";
const std::string kSlow =
    "sends=1 outcome=served first_send_ms=1 first_byte_ms=800 objective_ms=500 "
    "longest_pause_ms=40 max_pause_ms=300";
const std::string kWaited =
    "sends=1 outcome=served first_send_ms=790 first_byte_ms=800 "
    "objective_ms=500 longest_pause_ms=40 max_pause_ms=300";

}  // namespace

/** Operators need to know what each lost request waited for. The events that
 * decide it precede the request's end; some are from other entries. */
BOOST_AUTO_TEST_CASE(EachLossIsAttributedToItsCause) {
  BOOST_TEST(CauseOf({End(kInTime)}) == "none");
  BOOST_TEST(CauseOf({End(kPaused)}) == "pause");
  BOOST_TEST(CauseOf({End(kSlow)}) == "slow_first_token");
  BOOST_TEST(CauseOf({"event=wake model=m tier=disk", End(kWaited)}) ==
             "load_from_disk");
  BOOST_TEST(CauseOf({"event=wake model=m tier=remote", End(kRefused)}) ==
             "load_from_store");
  BOOST_TEST(CauseOf({"event=wake model=m tier=memory",
                      "event=wake_failed model=m", End(kRefused)}) ==
             "wake_up_failed");
  BOOST_TEST(CauseOf({"event=wake_impossible model=m", End(kRefused)}) ==
             "no_room");
  BOOST_TEST(CauseOf({"event=wake model=other tier=disk", End(kRefused)}) ==
             "no_engine");
  BOOST_TEST(CauseOf({End("adapter=a3 sends=0 outcome=no_capacity")}) ==
             "adapter");
  BOOST_TEST(CauseOf({End("sends=0 outcome=leaving")}) == "entry_leaving");
  BOOST_TEST(CauseOf({End("sends=1 outcome=engine_failed")}) == "engine_error");
  BOOST_TEST(CauseOf({"event=send_failed request=r end=cut_midway "
                      "reason=\"given up for its silence\"",
                      End(kPaused)}) == "sent_again");
  BOOST_TEST(CauseOf({"event=send_failed request=r end=cut_midway "
                      "reason=\"partial message\"",
                      End("sends=1 outcome=outcome_unknown")}) ==
             "engine_broke");
  BOOST_TEST(CauseOf({End("sends=1 outcome=caller_left")}) == "caller_left");
}

BOOST_AUTO_TEST_CASE(InvalidRequestsAreNotCounted) {
  const LossReport report = ReportOf(
      {End(kInTime), End("sends=0 outcome=unknown_path"), End(kRefused)});
  BOOST_TEST(report.requests == 2);
  BOOST_TEST(report.losses.size() == 1U);
  BOOST_TEST(RenderLosses(report).find("1 of 2 requests lost") == 0U);
  BOOST_TEST(RenderLossesJson(report).find("\"how\":\"refused\"") !=
             std::string::npos);
}

/** A second with two causes has a bar of two parts; the legend lists both. */
BOOST_AUTO_TEST_CASE(ChartShowsEachSecondAndCause) {
  const LossReport report =
      ReportOf({End(kPaused), End(kSlow), End(kSlow), End(kInTime)});
  const std::string svg = RenderLossesSvg(report);
  BOOST_TEST(svg.find("3 of 4 requests lost") != std::string::npos);
  BOOST_TEST(svg.find("<title>second 0: 2 slow_first_token</title>") !=
             std::string::npos);
  BOOST_TEST(svg.find("<title>second 0: 1 pause</title>") != std::string::npos);
  BOOST_TEST(svg.find(">pause 1</text>") != std::string::npos);
  BOOST_TEST(RenderLossesSvg(LossReport()).find("0 of 0") != std::string::npos);
}

}  // namespace sapphire::timeline

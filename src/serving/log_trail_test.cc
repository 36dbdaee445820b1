/** @file log_trail_test.cc Tests that the log alone leads from the id of a
 * failed request to the cause. */
#define BOOST_TEST_MODULE log_trail
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "serving/dispatcher_rig_test.h"
#include "timeline/log_reader_func.h"

namespace sapphire::serving {

namespace {

using testing::Answering;
using testing::kDrafts;
using testing::kPlain;
using testing::RecordingWriter;
using testing::Rig;
using testing::Streaming;
using timeline::Event;
using timeline::FieldOf;

constexpr milliseconds kWait{3000};
constexpr int kFailed = 500;
/** Longer than it takes to probe an engine whose connection has ended. */
constexpr milliseconds kCrashNoticed{200};
/** The rig numbers requests. */
const core::RequestId kRequest("r-1");

/** A temporary file of this process for log lines. */
class LogFile {
 public:
  LogFile() : file_(std::tmpfile(), &std::fclose) {}
  [[nodiscard]] int fd() const { return fileno(file_.get()); }

  /** @return The events logged so far. */
  [[nodiscard]] std::vector<Event> Events() const {
    std::string text;
    std::rewind(file_.get());
    for (int c = std::fgetc(file_.get()); c != EOF;
         c = std::fgetc(file_.get())) {
      text += static_cast<char>(c);
    }
    std::istringstream in(text);
    return timeline::ReadEvents(in).events;
  }

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

/** @return The last event of this name with this field; empty if none. */
Event LastWith(const std::vector<Event>& events, const std::string& name,
               const std::string& field, const std::string& value) {
  const auto wanted = [&](const Event& it) {
    const bool same_field = field == "request" ? it.request.value() == value
                                               : FieldOf(it, field) == value;
    return it.name == name && same_field;
  };
  const auto found = std::find_if(events.rbegin(), events.rend(), wanted);
  return found == events.rend() ? Event() : *found;
}

Event EndOf(const std::vector<Event>& events) {
  return LastWith(events, "request_end", "request", kRequest.value());
}

}  // namespace

/** Guards against a line every 200 ms for a hedge that stays skipped. */
BOOST_AUTO_TEST_CASE(LogTellsOnceWhyAHedgeIsSkipped) {
  const LogFile file;
  Rig rig(core::LogLevel::kInfo, file.fd());
  rig.AddEngine(
      kDrafts,
      [&rig](const http::Request&, http::ResponseWriter&) -> core::Task<> {
        rig.view_is_late = true;
        co_await core::SleepFor(2 * testing::kObjective + milliseconds(1200));
        throw http::ConnectionCut("test");
      });
  rig.AddEngine(kDrafts, Streaming({"data: a\n\n"}, true));
  RecordingWriter caller;
  rig.Serve("/stream/", kWait + kWait, caller);
  const std::vector<Event> events = file.Events();
  BOOST_TEST(std::ranges::count(events, "hedge_skipped", &Event::name) == 1);
}

/** Guards against denials whose evidence can't be told afterwards: the line
 * says how old the view of the store was. */
BOOST_AUTO_TEST_CASE(LogTellsTheAgeOfTheViewBehindADenial) {
  const LogFile file;
  Rig rig(core::LogLevel::kInfo, file.fd());
  rig.view_as_of = rig.clock.Now() - milliseconds(500);
  rig.listed_as_of = rig.view_as_of;
  RecordingWriter caller;
  rig.Serve("/never/", kWait, caller);
  const Event end = EndOf(file.Events());
  BOOST_TEST(FieldOf(end, "outcome") == "unknown_path");
  BOOST_TEST(FieldOf(end, "sends") == "0");
  BOOST_TEST(std::stoi(FieldOf(end, "view_age_ms")) >= 500);
  BOOST_TEST(FieldOf(end, "view_late") == "false");
  const Event denial =
      LastWith(file.Events(), "request_denied", "request", kRequest.value());
  BOOST_TEST(std::stoi(FieldOf(denial, "evidence_age_ms")) >= 500);
  BOOST_TEST(FieldOf(denial, "reason") == "unknown_path");
  BOOST_TEST(rig.metrics.Text({}).find(
                 "sapphire_front_denial_view_age_seconds_count{outcome="
                 "\"unknown_path\"} 1") != std::string::npos);
}

/** Guards against a relayed answer of a stranger at an engine's address that
 * reads like the engine's own. */
BOOST_AUTO_TEST_CASE(LogTellsWhetherAnAnswerBearsTheEnginesMark) {
  const LogFile file;
  Rig rig(core::LogLevel::kInfo, file.fd());
  rig.AddEngine(kPlain, Answering(kFailed, false, "x"));
  RecordingWriter caller;
  rig.Serve("/once/", kWait, caller);
  BOOST_TEST(FieldOf(EndOf(file.Events()), "genuine") == "true");
}

/** A caller is refused because the only engine that held its model has been
 * removed from the registry. */
BOOST_AUTO_TEST_CASE(LogLinksARefusalToTheRemovedEngine) {
  const LogFile file;
  Rig rig(core::LogLevel::kInfo, file.fd());
  rig.AddEngine(kDrafts, Streaming({}, true));
  rig.registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  RecordingWriter caller;
  rig.Serve("/stream/", kWait, caller);

  const std::vector<Event> events = file.Events();
  const Event end = EndOf(events);
  BOOST_TEST(FieldOf(end, "outcome") == "no_endpoint");
  BOOST_TEST(FieldOf(end, "sends") == "0");
  const std::string model = FieldOf(end, "model");
  const Event wake = LastWith(events, "wake_impossible", "model", model);
  BOOST_TEST(wake.request.value() == kRequest.value());
  BOOST_TEST(FieldOf(wake, "endpoints") == "0");
  const Event gone = LastWith(events, "engine_gone", "instance", "i-1");
  BOOST_TEST(FieldOf(gone, "reason") == "entry_removed");
}

/** A caller's stream is cut because its engine crashes in the middle of it and
 * no other engine can resume it. */
BOOST_AUTO_TEST_CASE(LogLinksACutStreamToTheCrashedEngine) {
  const LogFile file;
  Rig rig(core::LogLevel::kInfo, file.fd());
  rig.AddEngine(kDrafts,
                [&rig](const http::Request& request,
                       http::ResponseWriter& writer) -> core::Task<> {
                  http::ResponseHead head;
                  head.headers.push_back({"genuine", "1"});
                  head.headers.push_back({"id", std::string(*http::FindHeader(
                                                    request.headers, "id"))});
                  co_await writer.Begin(head);
                  co_await writer.Write("id: 1\ndata: a\n\n");
                  rig.engines.front()->server.StopAccepting();
                  throw http::ConnectionCut("the engine crashes");
                });
  RecordingWriter caller;
  rig.Serve("/stream/", kWait, caller);
  rig.Pass(kCrashNoticed);

  const std::vector<Event> events = file.Events();
  const Event end = EndOf(events);
  BOOST_TEST(FieldOf(end, "outcome") != "served");
  BOOST_TEST(FieldOf(end, "first_byte_ms") != "");
  const Event send =
      LastWith(events, "send_failed", "request", kRequest.value());
  BOOST_TEST(FieldOf(send, "end") == "cut_midway");
  const std::string instance = FieldOf(send, "instance");
  const Event crash = LastWith(events, "engine_crashed", "instance", instance);
  BOOST_TEST(crash.request.value() == kRequest.value());
}

/** A caller receives an error although the request ran: the application itself
 * answers 500 on both engines that the route allows. */
BOOST_AUTO_TEST_CASE(LogLinksAnErrorToTheEnginesThatSentIt) {
  const LogFile file;
  Rig rig(core::LogLevel::kInfo, file.fd());
  rig.AddEngine(kPlain, Answering(kFailed, false, "broken"));
  rig.AddEngine(kPlain, Answering(kFailed, false, "broken"));
  RecordingWriter caller;
  rig.Serve("/safe/", kWait, caller);

  const std::vector<Event> events = file.Events();
  const Event end = EndOf(events);
  BOOST_TEST(FieldOf(end, "outcome") == "engine_failed");
  BOOST_TEST(FieldOf(end, "status") == "500");
  BOOST_TEST(FieldOf(end, "sends") == "2");
  const auto failures = std::ranges::count_if(events, [](const Event& it) {
    return it.name == "send_failed" && it.request == kRequest &&
           FieldOf(it, "reason") == "status 500";
  });
  BOOST_TEST(failures == 2);
}

}  // namespace sapphire::serving

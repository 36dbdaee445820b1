/** @file render_text.cc Renders a time line as text, JSON or HTML. */
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

#include "timeline/render_func.h"

namespace sapphire::timeline {

namespace json = boost::json;

namespace {

using std::chrono::microseconds;

constexpr double kMicrosPerSecond = 1e6;

std::string TimeText(core::WallTime time) {
  const auto micros =
      std::chrono::duration_cast<microseconds>(time.time_since_epoch()) %
      std::chrono::seconds(1);
  return fmt::format("{:%FT%T}.{:06}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(time)),
                     micros.count());
}

double SecondsSince(core::WallTime begin, core::WallTime time) {
  const auto micros = std::chrono::duration_cast<microseconds>(time - begin);
  return static_cast<double>(micros.count()) / kMicrosPerSecond;
}

std::string FieldsText(const Event& event) {
  std::string text;
  if (!event.request.empty()) text += " request=" + event.request.value();
  for (const auto& [key, value] : event.fields) {
    text += fmt::format(" {}={}", key, value);
  }
  return text;
}

std::string Escaped(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

constexpr std::string_view kPageHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>
body { font: 14px sans-serif; margin: 1em; }
pre { font-size: 12px; }
div { overflow-x: auto; }
</style></head><body>
<h1>Time line</h1>
<p>A lane for each process; a dot for each event (point at it to read it); a
line for each request; a bar for each state of a replica.</p>
<div>
)";

}  // namespace

std::string RenderText(const std::vector<Event>& events,
                       const ClockShifts& shifts) {
  std::string text;
  for (const auto& [vm, shift] : shifts) {
    text += fmt::format("# the clock of {} is off by an estimated {} us\n",
                        vm.value(), -shift.count());
  }
  if (events.empty()) return text + "# no events\n";
  const core::WallTime begin = events.front().time;
  text += fmt::format("# 0 is {}\n", TimeText(begin));
  std::size_t lane_width = 0;
  for (const Event& event : events) {
    lane_width = std::max(lane_width, LaneOf(event).size());
  }
  for (const Event& event : events) {
    text +=
        fmt::format("{:>11.6f}  {:<{}}  {:<8}  {}{}\n",
                    SecondsSince(begin, event.time), LaneOf(event), lane_width,
                    event.category, event.name, FieldsText(event));
  }
  return text;
}

std::string RenderJson(const std::vector<Event>& events,
                       const ClockShifts& shifts) {
  json::object document;
  json::object& shift_object = document["clock_shifts_us"].emplace_object();
  for (const auto& [vm, shift] : shifts) {
    shift_object[vm.value()] = shift.count();
  }
  json::array& list = document["events"].emplace_array();
  for (const Event& event : events) {
    json::object fields;
    for (const auto& [key, value] : event.fields) fields[key] = value;
    list.push_back(json::object{{"time", TimeText(event.time)},
                                {"process", event.process},
                                {"vm", event.vm.value()},
                                {"zone", event.zone.value()},
                                {"level", event.level},
                                {"category", event.category},
                                {"event", event.name},
                                {"request", event.request.value()},
                                {"fields", std::move(fields)}});
  }
  return json::serialize(document) + "\n";
}

std::string RenderHtml(const std::vector<Event>& events,
                       const ClockShifts& shifts) {
  std::string page(kPageHead);
  page += RenderSvg(events);
  page += "</div>\n<pre>\n";
  page += Escaped(RenderText(events, shifts));
  page += "</pre>\n</body></html>\n";
  return page;
}

}  // namespace sapphire::timeline

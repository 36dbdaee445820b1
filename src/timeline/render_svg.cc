/** @file render_svg.cc Renders a time line as an SVG picture. */
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>

#include "timeline/render_func.h"

namespace sapphire::timeline {

namespace {

using std::chrono::microseconds;

constexpr double kPlotWidth = 1400;
constexpr double kLabelWidth = 220;
constexpr double kLaneHeight = 44;
constexpr double kTop = 30;
constexpr double kBarHeight = 8;
constexpr double kBarOffset = 10;
constexpr int kTicks = 10;
constexpr int kHues = 360;
/** Degrees between the hues of neighbouring requests. */
constexpr int kHueStep = 47;

struct CategoryColour {
  std::string_view category;
  std::string_view colour;
};

constexpr std::array kCategoryColours = {
    CategoryColour{"request", "#1f77b4"}, CategoryColour{"replica", "#2ca02c"},
    CategoryColour{"ledger", "#9467bd"},  CategoryColour{"config", "#ff7f0e"},
    CategoryColour{"link", "#8c564b"},    CategoryColour{"platform", "#7f7f7f"},
    CategoryColour{"admin", "#e377c2"},   CategoryColour{"fault", "#d62728"},
    CategoryColour{"process", "#17becf"},
};

std::string_view ColourOf(const Event& event) {
  if (event.level == "error" || event.level == "warning") return "#d62728";
  for (const CategoryColour& item : kCategoryColours) {
    if (item.category == event.category) return item.colour;
  }
  return "#000000";
}

std::string Escaped(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '<') {
      escaped += "&lt;";
    } else if (c == '&') {
      escaped += "&amp;";
    } else if (c == '"') {
      escaped += "&quot;";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string Title(const Event& event) {
  std::string text = fmt::format("{} {}", LaneOf(event), event.name);
  if (!event.request.empty()) text += " request=" + event.request.value();
  for (const auto& [key, value] : event.fields) {
    text += fmt::format(" {}={}", key, value);
  }
  return Escaped(text);
}

/** Draws one picture from events sorted by time. */
class Picture {
 public:
  explicit Picture(const std::vector<Event>& events)
      : events_(events), begin_(events.front().time) {
    for (const Event& event : events) {
      lanes_.try_emplace(LaneOf(event), 0);
      begin_ = std::min(begin_, BeginOf(event));
    }
    int n = 0;
    for (auto& [name, index] : lanes_) index = n++;
  }

  std::string Draw() {
    const double width = kLabelWidth + kPlotWidth + kLabelWidth / 4;
    const double height =
        kTop + kLaneHeight * static_cast<double>(lanes_.size() + 1);
    svg_ = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
        "font-family=\"sans-serif\" font-size=\"11\">\n",
        width, height);
    DrawTicks(height);
    DrawLanes();
    DrawReplicas();
    DrawRequests();
    for (const Event& event : events_) DrawEvent(event);
    return svg_ + "</svg>\n";
  }

 private:
  [[nodiscard]] double X(core::WallTime time) const {
    const auto whole = events_.back().time - begin_;
    if (whole.count() == 0) return kLabelWidth;
    const double share = static_cast<double>((time - begin_).count()) /
                         static_cast<double>(whole.count());
    return kLabelWidth + share * kPlotWidth;
  }

  [[nodiscard]] double Y(const Event& event) const {
    return kTop + kLaneHeight * (lanes_.at(LaneOf(event)) + 0.5);
  }

  void DrawTicks(double height) {
    const auto whole = events_.back().time - begin_;
    for (int i = 0; i <= kTicks; ++i) {
      const auto since = whole * i / kTicks;
      const double x = X(begin_ + since);
      const auto millis =
          std::chrono::duration_cast<std::chrono::milliseconds>(since);
      svg_ += fmt::format(
          "<line x1=\"{0:.1f}\" y1=\"{1}\" x2=\"{0:.1f}\" y2=\"{2}\" "
          "stroke=\"#ddd\"/><text x=\"{0:.1f}\" y=\"{3}\">{4} ms</text>\n",
          x, kTop - 6, height, kTop - 12, millis.count());
    }
  }

  void DrawLanes() {
    for (const auto& [name, index] : lanes_) {
      const double y = kTop + kLaneHeight * (index + 0.5);
      svg_ += fmt::format(
          "<text x=\"4\" y=\"{0}\">{1}</text><line x1=\"{2}\" y1=\"{0}\" "
          "x2=\"{3}\" y2=\"{0}\" stroke=\"#bbb\"/>\n",
          y, Escaped(name), kLabelWidth, kLabelWidth + kPlotWidth);
    }
  }

  /** Draws a bar from each event of a replica to the next, by lane and model.
   */
  void DrawReplicas() {
    std::map<std::pair<std::string, std::string>, const Event*> before;
    for (const Event& event : events_) {
      const std::string model = FieldOf(event, "model");
      if (event.category != "replica" || model.empty()) continue;
      const Event*& previous = before[{LaneOf(event), model}];
      if (previous != nullptr) DrawBar(*previous, event);
      previous = EndsReplica(event) ? nullptr : &event;
    }
  }

  static bool EndsReplica(const Event& event) {
    return event.name.ends_with("_ended") ||
           event.name.ends_with("_unloaded") || event.name.ends_with("_failed");
  }

  void DrawBar(const Event& from, const Event& to) {
    svg_ += fmt::format(
        "<rect x=\"{:.1f}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" "
        "fill=\"#2ca02c\" fill-opacity=\"0.25\"><title>{} until {}</title>"
        "</rect>\n",
        X(from.time), Y(from) + kBarOffset, X(to.time) - X(from.time),
        kBarHeight, Title(from), Escaped(to.name));
  }

  /** Draws a line for each request through the begin and end of its events,
   * from lane to lane. */
  void DrawRequests() {
    std::map<core::RequestId, std::multimap<core::WallTime, double>> paths;
    for (const Event& event : events_) {
      if (event.request.empty()) continue;
      auto& path = paths[event.request];
      path.emplace(BeginOf(event), Y(event));
      path.emplace(event.time, Y(event));
    }
    int n = 0;
    for (const auto& [request, path] : paths) DrawRequest(request, path, n++);
  }

  void DrawRequest(const core::RequestId& request,
                   const std::multimap<core::WallTime, double>& path, int n) {
    std::string points;
    for (const auto& [time, y] : path) {
      points += fmt::format("{:.1f},{:.1f} ", X(time), y);
    }
    svg_ += fmt::format(
        "<polyline points=\"{}\" fill=\"none\" stroke-opacity=\"0.6\" "
        "stroke=\"hsl({}, 70%, 45%)\"><title>request {}</title></polyline>\n",
        points, n * kHueStep % kHues, Escaped(request.value()));
  }

  void DrawEvent(const Event& event) {
    svg_ += fmt::format(
        "<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"3\" fill=\"{}\"><title>{}"
        "</title></circle>\n",
        X(event.time), Y(event), ColourOf(event), Title(event));
  }

  const std::vector<Event>& events_;
  core::WallTime begin_;
  std::map<std::string, int> lanes_;
  std::string svg_;
};

}  // namespace

std::string RenderSvg(const std::vector<Event>& events) {
  if (events.empty()) {
    return "<svg xmlns=\"http://www.w3.org/2000/svg\"></svg>\n";
  }
  return Picture(events).Draw();
}

}  // namespace sapphire::timeline

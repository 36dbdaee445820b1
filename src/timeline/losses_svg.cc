/** @file losses_svg.cc Draws lost requests over time as an SVG chart. */
#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "timeline/losses_func.h"

namespace sapphire::timeline {

namespace {

// All in pixels.
constexpr int kBarWidth = 14;
constexpr int kBarGap = 2;
constexpr int kPlotHeight = 240;
constexpr int kTop = 30;
constexpr int kLeft = 50;
constexpr int kLegendWidth = 230;
constexpr int kLegendLine = 16;
/** Degrees between successive hues, so that neighbours in the legend differ. */
constexpr int kHueStep = 137;
constexpr int kHues = 360;

using CountsOfCauses = std::map<LossCause, int>;

/** Losses per second and in total, by cause. */
struct Histogram {
  std::map<std::int64_t, CountsOfCauses> seconds;
  CountsOfCauses all;
  int most = 0;
};

Histogram MakeHistogram(const LossReport& report) {
  Histogram out;
  std::map<std::int64_t, int> sums;
  for (const Loss& it : report.losses) {
    const std::int64_t second = SecondOf(it, report);
    ++out.seconds[second][it.cause];
    ++out.all[it.cause];
    out.most = std::max(out.most, ++sums[second]);
  }
  return out;
}

std::string ColourOf(LossCause cause) {
  const int hue = static_cast<int>(cause) * kHueStep % kHues;
  return fmt::format("hsl({},60%,50%)", hue);
}

std::string RenderSecond(std::int64_t second, const CountsOfCauses& counts,
                         int most) {
  std::string svg;
  int bottom = kTop + kPlotHeight;
  for (const auto& [cause, n] : counts) {
    const int height = std::max(1, n * kPlotHeight / most);
    bottom -= height;
    svg += fmt::format(
        "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"{}\">"
        "<title>second {}: {} {}</title></rect>\n",
        kLeft + second * (kBarWidth + kBarGap), bottom, kBarWidth, height,
        ColourOf(cause), second, n, NameOf(cause));
  }
  return svg;
}

std::string RenderLegend(const CountsOfCauses& all, int x) {
  std::string svg;
  int y = kTop;
  for (const auto& [cause, n] : all) {
    svg += fmt::format(
        "<rect x=\"{0}\" y=\"{1}\" width=\"10\" height=\"10\" fill=\"{2}\"/>"
        "<text x=\"{3}\" y=\"{4}\">{5} {6}</text>\n",
        x, y, ColourOf(cause), x + kLegendLine, y + 10, NameOf(cause), n);
    y += kLegendLine;
  }
  return svg;
}

}  // namespace

std::string RenderLossesSvg(const LossReport& report) {
  const Histogram histogram = MakeHistogram(report);
  const std::int64_t seconds =
      histogram.seconds.empty() ? 0 : histogram.seconds.rbegin()->first + 1;
  const auto plot_end =
      static_cast<int>(kLeft + seconds * (kBarWidth + kBarGap));
  const int legend_end =
      kTop + static_cast<int>(histogram.all.size()) * kLegendLine;
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n"
      "<text x=\"{}\" y=\"16\">{} of {} requests lost, by second and cause; "
      "highest bar {}</text>\n",
      plot_end + kLegendWidth,
      std::max(legend_end, kTop + kPlotHeight) + kLegendLine, kLeft,
      report.losses.size(), report.requests, histogram.most);
  for (const auto& [second, counts] : histogram.seconds) {
    svg += RenderSecond(second, counts, histogram.most);
  }
  svg += RenderLegend(histogram.all, plot_end + kLegendLine);
  return svg + "</svg>\n";
}

}  // namespace sapphire::timeline

/** @file sapphire_timeline_main.cc Merges the event logs of all processes. */
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "timeline/clock_skew_func.h"
#include "timeline/log_reader_func.h"
#include "timeline/losses_func.h"
#include "timeline/render_func.h"

namespace {

namespace timeline = sapphire::timeline;

constexpr int kExitUsage = 2;

struct Options {
  std::vector<std::string> files;
  std::string request;
  std::string format = "text";
  std::string svg_file;
  std::string html_file;
  bool keep_clocks = false;
  /** Print an analysis of lost requests instead of the time line. */
  bool losses = false;
};

void AddOptions(CLI::App& app, Options& options) {
  app.add_option("FILE", options.files, "Event logs; - is standard input")
      ->required();
  app.add_option("--request", options.request, "Only events of this request");
  app.add_option("--format", options.format, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_option("--svg", options.svg_file, "Also write a picture");
  app.add_option("--html", options.html_file,
                 "Also write a page with the picture and the events");
  app.add_flag("--keep-clocks", options.keep_clocks,
               "Take the VMs' clocks as they are");
  app.add_flag("--losses", options.losses,
               "Show why requests were refused, failed or late; --svg draws "
               "them over time");
}

timeline::ParsedLog ReadFile(const std::string& name) {
  if (name == "-") return timeline::ReadEvents(std::cin);
  std::ifstream file(name);
  if (!file) throw std::runtime_error(name + ": can't be read");
  return timeline::ReadEvents(file);
}

std::vector<timeline::Event> ReadFiles(const std::vector<std::string>& names) {
  std::vector<timeline::Event> events;
  for (const std::string& name : names) {
    timeline::ParsedLog log = ReadFile(name);
    if (log.other_lines > 0) {
      fmt::print(stderr, "{}: {} lines are not events\n", name,
                 log.other_lines);
    }
    std::ranges::move(log.events, std::back_inserter(events));
  }
  return events;
}

void WriteFile(const std::string& name, const std::string& text) {
  std::ofstream file(name);
  file << text;
  if (!file.flush()) throw std::runtime_error(name + ": can't be written");
}

void Run(const Options& options) {
  std::vector<timeline::Event> events = ReadFiles(options.files);
  timeline::ClockShifts shifts;
  if (!options.keep_clocks) shifts = timeline::EstimateShifts(events);
  timeline::SortByTime(events, shifts);
  if (!options.request.empty()) {
    std::erase_if(events, [&](const timeline::Event& event) {
      return event.request.value() != options.request;
    });
  }
  if (options.losses) {
    const timeline::LossReport report = timeline::AnalyseLosses(events);
    if (!options.svg_file.empty()) {
      WriteFile(options.svg_file, timeline::RenderLossesSvg(report));
    }
    fmt::print("{}", options.format == "json"
                         ? timeline::RenderLossesJson(report)
                         : timeline::RenderLosses(report));
    return;
  }
  if (!options.svg_file.empty()) {
    WriteFile(options.svg_file, timeline::RenderSvg(events));
  }
  if (!options.html_file.empty()) {
    WriteFile(options.html_file, timeline::RenderHtml(events, shifts));
  }
  fmt::print("{}", options.format == "json"
                       ? timeline::RenderJson(events, shifts)
                       : timeline::RenderText(events, shifts));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Merges the event logs of all processes into one time line"};
  Options options;
  AddOptions(app, options);
  try {
    app.parse(argc, argv);
    Run(options);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kExitUsage;
  } catch (const std::exception& e) {
    fmt::print(stderr, "error: {}\n", e.what());
    return 1;
  }
  return 0;
}

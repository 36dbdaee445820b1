/** @file clock_skew.cc Orders the events of VMs whose clocks differ. */
#include <algorithm>
#include <deque>
#include <functional>
#include <utility>

#include "timeline/clock_skew_func.h"

namespace sapphire::timeline {

namespace {

using std::chrono::microseconds;

/** A VM may log its last event for a request slightly after the answer arrived,
 * so deviations up to this are not taken as clock skew. */
constexpr microseconds kTolerance{2'000};

/** The time from the begin of a VM's part in a request to its last event. */
struct Span {
  core::WallTime first = core::WallTime::max();
  core::WallTime last = core::WallTime::min();

  void Add(const Event& event) {
    first = std::min(first, BeginOf(event));
    last = std::max(last, event.time);
  }
};

using SpansByVm = std::map<core::VmId, Span>;
using RequestSpans = std::map<core::RequestId, SpansByVm>;

/** Range of shifts of one VM's clock that keep all events in order. */
struct Bounds {
  microseconds lowest = microseconds::min();
  microseconds highest = microseconds::max();

  /** Narrows the bounds so that the shifted `inner` lies within `outer`. */
  void Enclose(const Span& outer, const Span& inner) {
    const auto at_least =
        std::chrono::duration_cast<microseconds>(outer.first - inner.first);
    const auto at_most =
        std::chrono::duration_cast<microseconds>(outer.last - inner.last);
    lowest = std::max(lowest, at_least);
    highest = std::min(highest, at_most);
  }

  [[nodiscard]] microseconds Shift() const {
    const bool agrees = lowest <= kTolerance && highest >= -kTolerance;
    return agrees ? microseconds(0) : lowest + (highest - lowest) / 2;
  }
};

/** From an origin VM to the VMs that handled its requests, with the bounds for
 * the shift of their clocks against its own. */
using Graph = std::map<core::VmId, std::map<core::VmId, Bounds>>;

RequestSpans CollectSpans(const std::vector<Event>& events) {
  RequestSpans spans;
  for (const Event& event : events) {
    if (event.request.empty()) continue;
    spans[event.request][event.vm].Add(event);
  }
  return spans;
}

/** @return The VM that received the request: its span is the longest. Durations
 * do not depend on the offset of a clock. */
core::VmId OriginOf(const SpansByVm& spans) {
  const auto length = [](const auto& item) {
    return item.second.last - item.second.first;
  };
  return std::ranges::max_element(spans, {}, length)->first;
}

Graph BuildGraph(const RequestSpans& requests) {
  Graph graph;
  for (const auto& [request, spans] : requests) {
    const core::VmId origin = OriginOf(spans);
    for (const auto& [vm, span] : spans) {
      if (vm == origin) continue;
      graph[origin][vm].Enclose(spans.at(origin), span);
    }
  }
  return graph;
}

/** @return Neighbours of a VM, with their clock shifts relative to it. */
std::vector<std::pair<core::VmId, microseconds>> Neighbours(
    const Graph& graph, const core::VmId& vm) {
  std::vector<std::pair<core::VmId, microseconds>> found;
  for (const auto& [origin, others] : graph) {
    for (const auto& [other, bounds] : others) {
      if (origin == vm) found.emplace_back(other, bounds.Shift());
      if (other == vm) found.emplace_back(origin, -bounds.Shift());
    }
  }
  return found;
}

/** Propagates shifts over the graph from one VM, whose clock is the reference.
 */
void PropagateFrom(const core::VmId& start, const Graph& graph,
                   ClockShifts& shifts) {
  std::deque<core::VmId> waiting = {start};
  shifts.emplace(start, 0);
  while (!waiting.empty()) {
    const core::VmId vm = waiting.front();
    waiting.pop_front();
    for (const auto& [other, shift] : Neighbours(graph, vm)) {
      if (!shifts.emplace(other, shifts.at(vm) + shift).second) continue;
      waiting.push_back(other);
    }
  }
}

/** @return The origins, sorted by number of neighbours, largest first. */
std::vector<core::VmId> OriginsByDegree(const Graph& graph) {
  std::vector<core::VmId> starts;
  for (const auto& [origin, others] : graph) starts.push_back(origin);
  std::ranges::stable_sort(starts, std::greater{}, [&](const core::VmId& vm) {
    return graph.at(vm).size();
  });
  return starts;
}

}  // namespace

ClockShifts EstimateShifts(const std::vector<Event>& events) {
  const Graph graph = BuildGraph(CollectSpans(events));
  ClockShifts shifts;
  for (const core::VmId& start : OriginsByDegree(graph)) {
    if (!shifts.contains(start)) PropagateFrom(start, graph, shifts);
  }
  std::erase_if(
      shifts, [](const auto& item) { return item.second == microseconds(0); });
  return shifts;
}

void SortByTime(std::vector<Event>& events, const ClockShifts& shifts) {
  for (Event& event : events) {
    const auto it = shifts.find(event.vm);
    if (it != shifts.end()) event.time += it->second;
  }
  const RequestSpans requests = CollectSpans(events);
  for (Event& event : events) {
    if (event.request.empty()) continue;
    const SpansByVm& spans = requests.at(event.request);
    const core::VmId origin = OriginOf(spans);
    if (event.vm == origin) continue;
    event.time = std::max(event.time, spans.at(origin).first);
  }
  const auto begins_request = [&](const Event& event) {
    return event.request.empty() ||
           OriginOf(requests.at(event.request)) == event.vm;
  };
  std::ranges::stable_sort(events, {}, [&](const Event& event) {
    return std::pair(event.time, !begins_request(event));
  });
}

}  // namespace sapphire::timeline

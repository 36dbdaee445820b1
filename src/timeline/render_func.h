/** @file render_func.h Renders a time line as text, JSON, SVG or HTML. */
#ifndef SAPPHIRE_TIMELINE_RENDER_FUNC_H_
#define SAPPHIRE_TIMELINE_RENDER_FUNC_H_

#include <string>
#include <vector>

#include "timeline/clock_skew_func.h"
#include "timeline/event_type.h"

namespace sapphire::timeline {

/** @param events Sorted by time. @return One line per event. */
std::string RenderText(const std::vector<Event>& events,
                       const ClockShifts& shifts);

/** @return A JSON document with the events and the clocks' shifts. */
std::string RenderJson(const std::vector<Event>& events,
                       const ClockShifts& shifts);

/** @return An SVG picture: a lane for each process, requests as lines from
 * lane to lane, replicas' states as bars. */
std::string RenderSvg(const std::vector<Event>& events);

/** @return A self-contained HTML page with the picture and the events. */
std::string RenderHtml(const std::vector<Event>& events,
                       const ClockShifts& shifts);

}  // namespace sapphire::timeline

#endif  // SAPPHIRE_TIMELINE_RENDER_FUNC_H_

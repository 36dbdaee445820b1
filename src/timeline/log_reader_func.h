/** @file log_reader_func.h Reads event logs as core::Logger writes them. */
#ifndef SAPPHIRE_TIMELINE_LOG_READER_FUNC_H_
#define SAPPHIRE_TIMELINE_LOG_READER_FUNC_H_

#include <istream>
#include <optional>
#include <string_view>
#include <vector>

#include "timeline/event_type.h"

namespace sapphire::timeline {

/** The contents of a log. */
struct ParsedLog {
  std::vector<Event> events;
  /** Lines that are not events, such as the output of a crash. */
  int other_lines = 0;
};

/** @return The event of one line; nothing if the line is not an event. */
std::optional<Event> ParseLine(std::string_view line);

/** Reads a log to its end. */
ParsedLog ReadEvents(std::istream& in);

}  // namespace sapphire::timeline

#endif  // SAPPHIRE_TIMELINE_LOG_READER_FUNC_H_

/** @file log.cc Event log: one line of key=value fields per event. */
#include <fmt/chrono.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <utility>

#include "core/error_type.h"
#include "core/log_base.h"

namespace sapphire::core {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
constexpr std::array<std::string_view, 9> kCategoryNames = {
    "process", "request",  "replica", "ledger", "config",
    "link",    "platform", "admin",   "fault"};

/** Buffer size in bytes: some seconds of log lines of a busy process. */
constexpr std::size_t kMaxBuffered = 256 * 1024;

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" =\"\n\t\r\\") != std::string_view::npos;
}

void AppendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (char c : value) {
    if (c == '\n' || c == '\r' || c == '\t') {
      line += ' ';
      continue;
    }
    if (c == '"' || c == '\\') line += '\\';
    line += c;
  }
  line += '"';
}

void AppendField(std::string& line, std::string_view key,
                 std::string_view value) {
  line += ' ';
  line += key;
  line += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(line, value);
  } else {
    line += value;
  }
}

std::string TimeStamp(WallTime time) {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          time.time_since_epoch()) %
                      std::chrono::seconds(1);
  return fmt::format("{:%FT%T}.{:06}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(time)),
                     micros.count());
}

}  // namespace

Logger::Logger(LogIdentity identity, LogLevel threshold, const Clock& clock,
               int fd)
    : identity_(std::move(identity)),
      threshold_(threshold),
      clock_(clock),
      sink_(std::make_unique<LogSink>(fd, kMaxBuffered)) {}

void Logger::Event(LogLevel level, LogCategory category, std::string_view event,
                   std::initializer_list<LogField> fields) const {
  if (level < threshold_) return;
  std::string line = "time=" + TimeStamp(clock_.WallNow());
  AppendField(line, "process", identity_.process);
  AppendField(line, "vm", identity_.vm.value());
  AppendField(line, "zone", identity_.zone.value());
  const std::string prefix = line + " level=warning category=process";
  AppendField(line, "level", kLevelNames[static_cast<std::size_t>(level)]);
  AppendField(line, "category",
              kCategoryNames[static_cast<std::size_t>(category)]);
  AppendField(line, "event", event);
  for (const LogField& field : fields) {
    AppendField(line, field.key, field.value);
  }
  line += '\n';
  sink_->Write(line, prefix);
}

LogLevel LogLevelNamed(std::string_view name) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name) return static_cast<LogLevel>(i);
  }
  throw Error(ErrorCode::kBadSettings,
              "log_level: " + std::string(name) +
                  " must be one of debug, info, warning, error");
}

}  // namespace sapphire::core

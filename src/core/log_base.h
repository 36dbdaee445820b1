/** @file log_base.h Event log: one line of key=value fields per event. */
#ifndef SAPPHIRE_CORE_LOG_BASE_H_
#define SAPPHIRE_CORE_LOG_BASE_H_

#include <fmt/format.h>

#include <atomic>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock_base.h"
#include "core/id_type.h"
#include "core/log_sink_base.h"

namespace sapphire::core {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/** Which part of the system an event belongs to. */
enum class LogCategory {
  kProcess,
  kRequest,
  kReplica,
  kLedger,
  kConfig,
  kLink,
  kPlatform,
  kAdmin,
  kFault,
};

/** One key=value pair of an event; the value is quoted where needed. */
struct LogField {
  template <typename T>
  LogField(std::string_view field_key, const T& field_value)
      : key(field_key), value(fmt::format("{}", field_value)) {}
  template <typename Tag>
  LogField(std::string_view field_key, const StrongId<Tag>& id)
      : key(field_key), value(id.value()) {}
  LogField(std::string_view field_key, Millis duration)
      : key(field_key), value(fmt::format("{}", duration.count())) {}

  std::string key;
  std::string value;
};

/** The process that writes the log; part of every line. */
struct LogIdentity {
  std::string process;
  VmId vm;
  ZoneId zone;
};

inline constexpr int kStandardOutput = 1;

/** Writes events. Thread-safe. */
class Logger {
 public:
  /**
   * @param fd Descriptor to write to; see LogSink.
   * @pre `clock` outlives it.
   */
  Logger(LogIdentity identity, LogLevel threshold, const Clock& clock,
         int fd = kStandardOutput);

  /** @return Counts of what was written and dropped so far. */
  [[nodiscard]] LogSinkCounters counters() const { return sink_->counters(); }

  /** Changes the level below which events are not written. */
  void SetThreshold(LogLevel threshold) { threshold_ = threshold; }

  /**
   * Writes one line: time, process, VM, zone, level, category, event, fields.
   * Request ids go into the field "request".
   */
  void Event(LogLevel level, LogCategory category, std::string_view event,
             std::initializer_list<LogField> fields = {}) const;

 private:
  const LogIdentity identity_;
  std::atomic<LogLevel> threshold_;
  const Clock& clock_;
  const std::unique_ptr<LogSink> sink_;
};

/** @return The level of this name: debug, info, warning, error. */
LogLevel LogLevelNamed(std::string_view name);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_LOG_BASE_H_

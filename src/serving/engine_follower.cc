/** @file engine_follower.cc Keeps the registry of engines up to date. */
#include <chrono>
#include <exception>
#include <utility>

#include "serving/engine_follower_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;

namespace {

/** Pause between two log lines on unreadable entries. */
constexpr std::chrono::milliseconds kUnreadablePause{1000};
/** Maximum length of a key in a log line. */
constexpr std::size_t kMaxLoggedKey = 200;

}  // namespace

EngineFollower::EngineFollower(const StoreLayout& layout,
                               fleet::EngineRegistry& registry,
                               std::function<void()> changed,
                               const core::Clock& clock,
                               const core::Logger& log)
    : layout_(layout),
      registry_(registry),
      changed_(std::move(changed)),
      clock_(clock),
      log_(log) {}

routing::FollowHooks EngineFollower::Hooks() {
  routing::FollowHooks hooks;
  hooks.prefix = layout_.engine_prefix;
  hooks.listed = [this](std::vector<external::KvEntry> entries,
                        routing::LapseGraceEnd lapse_end) {
    ApplyListing(entries, lapse_end);
    changed_();
  };
  hooks.changed = [this](external::KvEvent event,
                         routing::LapseGraceEnd lapse_end) {
    ApplyChange(event, lapse_end);
    changed_();
  };
  return hooks;
}

void EngineFollower::ApplyListing(const std::vector<external::KvEntry>& entries,
                                  routing::LapseGraceEnd lapse_end) {
  std::vector<fleet::EngineEntry> engines;
  for (const external::KvEntry& it : entries) {
    try {
      engines.push_back(layout_.read_engine(it.key, it.value));
    } catch (const std::exception& e) {
      LogUnreadable(it.key, e.what());
    }
  }
  registry_.ReplaceAll(std::move(engines), lapse_end);
}

void EngineFollower::ApplyChange(const external::KvEvent& event,
                                 routing::LapseGraceEnd lapse_end) {
  if (event.value) {
    Put(event.key, *event.value);
  } else {
    registry_.Remove(layout_.engine_of(event.key), lapse_end);
  }
}

void EngineFollower::Put(const std::string& key, const std::string& value) {
  try {
    registry_.Put(layout_.read_engine(key, value));
  } catch (const std::exception& e) {
    LogUnreadable(key, e.what());
    registry_.MarkUnreadable(layout_.engine_of(key));
  }
}

/** Logs an unreadable entry, which is ignored and does not affect the others:
 * another writer may store anything. A writer that repeats itself causes one
 * line a second at most. */
void EngineFollower::LogUnreadable(const std::string& key, const char* why) {
  const core::SteadyTime now = clock_.Now();
  ++unreadable_;
  if (unreadable_logged_ && now - *unreadable_logged_ < kUnreadablePause) {
    return;
  }
  unreadable_logged_ = now;
  log_.Event(LogLevel::kWarning, LogCategory::kReplica, "engine_unreadable",
             {{"key", key.substr(0, kMaxLoggedKey)},
              {"error", why},
              {"so_far", unreadable_}});
}

}  // namespace sapphire::serving

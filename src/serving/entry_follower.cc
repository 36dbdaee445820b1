/** @file entry_follower.cc Keeps the table of peers up to date. */
#include <map>
#include <utility>

#include "core/error_type.h"
#include "fleet/entry_message_func.h"
#include "serving/entry_follower_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;

EntryFollower::EntryFollower(fleet::PeerTable& peer_table,
                             const core::Logger& log)
    : peer_table_(peer_table), log_(log) {}

routing::FollowHooks EntryFollower::Hooks() {
  routing::FollowHooks hooks;
  hooks.prefix = fleet::kEntryPrefix;
  hooks.listed = [this](std::vector<external::KvEntry> entries,
                        routing::LapseGraceEnd) { ApplyListing(entries); };
  hooks.changed = [this](external::KvEvent event, routing::LapseGraceEnd) {
    ApplyChange(event);
  };
  return hooks;
}

void EntryFollower::ApplyListing(
    const std::vector<external::KvEntry>& entries) {
  std::map<std::string, gen::EntryPresence> known;
  for (const external::KvEntry& it : entries) {
    auto presence = Read(it.key, it.value);
    if (presence) known.emplace(it.key, std::move(*presence));
  }
  peer_table_.SetEntries(known);
}

void EntryFollower::ApplyChange(const external::KvEvent& event) {
  if (!event.value) {
    peer_table_.RemoveEntry(event.key);
    return;
  }
  const auto presence = Read(event.key, *event.value);
  if (presence) peer_table_.PutEntry(event.key, *presence);
}

std::optional<gen::EntryPresence> EntryFollower::Read(
    const std::string& key, const std::string& value) const {
  try {
    return fleet::DecodePresence(value);
  } catch (const core::Error& e) {
    log_.Event(LogLevel::kWarning, LogCategory::kPlatform,
               "presence_unreadable", {{"key", key}, {"error", e.what()}});
  }
  return std::nullopt;
}

}  // namespace sapphire::serving

/** @file holder_follower.cc Keeps the table of engines' holders up to date. */
#include <map>
#include <string>
#include <utility>

#include "core/error_type.h"
#include "fleet/entry_message_func.h"
#include "serving/holder_follower_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;

namespace {

std::string EngineOfKey(const std::string& key) {
  return key.substr(fleet::kEngineLeasePrefix.size());
}

}  // namespace

HolderFollower::HolderFollower(fleet::EngineHolders& holders,
                               const core::Logger& log)
    : holders_(holders), log_(log) {}

routing::FollowHooks HolderFollower::Hooks() {
  routing::FollowHooks hooks;
  hooks.prefix = fleet::kEngineLeasePrefix;
  hooks.listed = [this](std::vector<external::KvEntry> entries,
                        routing::LapseGraceEnd) { ApplyListing(entries); };
  hooks.changed = [this](external::KvEvent event, routing::LapseGraceEnd) {
    ApplyChange(event);
  };
  return hooks;
}

void HolderFollower::ApplyListing(
    const std::vector<external::KvEntry>& entries) {
  std::map<std::string, fleet::EngineHolder> holders;
  for (const external::KvEntry& it : entries) {
    auto holder = Read(it);
    if (holder) holders.emplace(EngineOfKey(it.key), std::move(*holder));
  }
  holders_.ReplaceAll(std::move(holders));
}

void HolderFollower::ApplyChange(const external::KvEvent& event) {
  const std::string engine = EngineOfKey(event.key);
  if (!event.value) {
    holders_.Remove(engine);
    return;
  }
  auto holder = Read({event.key, *event.value, event.revision});
  if (holder) holders_.Put(engine, std::move(*holder));
}

std::optional<fleet::EngineHolder> HolderFollower::Read(
    const external::KvEntry& entry) const {
  try {
    const gen::EngineHolder read = fleet::DecodeEngineHolder(entry.value);
    return fleet::EngineHolder{read.vm, read.address, entry.revision};
  } catch (const core::Error& e) {
    log_.Event(LogLevel::kWarning, LogCategory::kPlatform,
               "engine_lease_unreadable",
               {{"key", entry.key}, {"error", e.what()}});
  }
  return std::nullopt;
}

}  // namespace sapphire::serving

/** @file engine_holders.cc Tracks which process controls each engine, by the
 * leases in the store. */
#include <string_view>
#include <utility>

#include "fleet/engine_holders_base.h"

namespace sapphire::fleet {

using core::LogCategory;
using core::LogLevel;

namespace {

std::string_view HostOf(std::string_view address) {
  return address.substr(0, address.rfind(':'));
}

bool IsOnSameVm(const std::string& engine, const EngineHolder& holder) {
  return HostOf(engine) == HostOf(holder.address);
}

/** Holders on the engine's own VM are logged at debug level only, as they are
 * the normal case and cause hundreds of lines at each start. */
LogLevel LogLevelOf(const std::string& engine, const EngineHolder& holder) {
  return IsOnSameVm(engine, holder) ? LogLevel::kDebug : LogLevel::kInfo;
}

}  // namespace

EngineHolders::EngineHolders(const core::Clock& clock, const core::Logger& log)
    : clock_(clock), log_(log) {}

void EngineHolders::ReplaceAll(std::map<std::string, EngineHolder> holders) {
  if (!first_listing_) first_listing_ = clock_.Now();
  const std::map<std::string, EngineHolder> before = holders_;
  for (const auto& [engine, holder] : before) {
    if (!holders.contains(engine)) Remove(engine);
  }
  for (auto& [engine, holder] : holders) Put(engine, std::move(holder));
}

void EngineHolders::Put(const std::string& engine, EngineHolder holder) {
  ended_.erase(engine);
  const EngineHolder* known = Find(engine);
  const bool is_new = known == nullptr || known->address != holder.address;
  if (is_new) {
    log_.Event(LogLevelOf(engine, holder), LogCategory::kReplica,
               "engine_holder_known",
               {{"engine", engine},
                {"holder", holder.vm},
                {"holder_address", holder.address},
                {"fence", holder.revision}});
  }
  holders_.insert_or_assign(engine, std::move(holder));
}

void EngineHolders::Remove(const std::string& engine) {
  const auto it = holders_.find(engine);
  if (it == holders_.end()) return;
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_holder_gone",
             {{"engine", engine},
              {"holder", it->second.vm},
              {"fence", it->second.revision}});
  const EndedLease ended{clock_.Now(), IsOnSameVm(engine, it->second)};
  holders_.erase(it);
  ended_.insert_or_assign(engine, ended);
}

const EngineHolder* EngineHolders::Find(const std::string& engine) const {
  const auto it = holders_.find(engine);
  return it == holders_.end() ? nullptr : &it->second;
}

std::optional<core::SteadyTime> EngineHolders::UnheldSince(
    const std::string& engine) const {
  if (Find(engine) != nullptr) return std::nullopt;
  const auto it = ended_.find(engine);
  return it == ended_.end() ? first_listing_ : it->second.at;
}

bool EngineHolders::WasHeldRemotely(const std::string& engine) const {
  const auto it = ended_.find(engine);
  return it != ended_.end() && !it->second.was_on_same_vm;
}

}  // namespace sapphire::fleet

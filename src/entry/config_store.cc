/** @file config_store.cc Saves and confirms configuration plans. */
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "contract/intent_func.h"
#include "contract/plan_func.h"
#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "entry/config_store_base.h"

namespace sapphire::entry {

using contract::ConfigHead;
using contract::EncodedConfig;
using contract::Part;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;

namespace {

/** Number of confirmed plans kept in the head. At the busiest deployment's rate
 * of changes they cover ten minutes, many times what a confirmation may take.
 */
constexpr std::size_t kHistoryLength = 32;
/** Attempts to write a part that others write or delete at the same time. */
constexpr int kPartAttempts = 8;

bool Contains(const std::vector<std::string>& hashes, const std::string& hash) {
  return std::ranges::find(hashes, hash) != hashes.end();
}

/** @return The version of the plan in the head's history; 0 if it is not there.
 */
std::int64_t VersionOf(const ConfigHead& head, const core::PlanId& id) {
  for (const contract::ConfirmedPlan& confirmed : head.history) {
    if (confirmed.plan == id) return confirmed.version;
  }
  return 0;
}

ConfigHead NextHead(const ConfigHead& before, const PlanRecord& record) {
  ConfigHead next{before.version + 1, record.id, record.part_hashes,
                  before.history};
  next.history.insert(next.history.begin(), {record.id, next.version});
  if (next.history.size() > kHistoryLength) {
    next.history.resize(kHistoryLength);
  }
  return next;
}

core::Error ConflictError(const core::PlanId& id, const ConfigHead& head) {
  return core::Error(
      ErrorCode::kPlanConflict,
      fmt::format("plan {}: version {} (plan {}) came into force first; make "
                  "the plan again",
                  id.value(), head.version, head.plan.value()));
}

/** Result of one attempt at a write that may be repeated. */
struct WriteAttempt {
  std::optional<external::CasResult> result;
  /** Set if there is no result. */
  ErrorCode failure = ErrorCode::kInternal;
  std::string reason;
};

core::Task<WriteAttempt> TryCas(external::KeyValueStore& store, std::string key,
                                std::int64_t expected, std::string value) {
  WriteAttempt attempt;
  try {
    attempt.result = co_await store.CompareAndSwap(
        std::move(key), expected, std::move(value), std::string());
  } catch (const core::Error& e) {
    if (e.code() != ErrorCode::kPlatformUnavailable &&
        e.code() != ErrorCode::kPlatformUnknownOutcome) {
      throw;
    }
    attempt.failure = e.code();
    attempt.reason = e.detail();
  }
  co_return attempt;
}

/** Runs a save and turns its error into a failed attempt. Whether the record
 * was stored does not matter, as the plan's id is not returned after a failure:
 * both kinds of failure mean the same to an operator. */
core::Task<WriteAttempt> TrySave(core::Task<> save) {
  WriteAttempt attempt;
  try {
    co_await std::move(save);
  } catch (const core::Error& e) {
    attempt.failure = e.code();
    attempt.reason = e.what();
  }
  co_return attempt;
}

}  // namespace

ConfigStore::ConfigStore(ConfigStoreOptions options,
                         external::KeyValueStore& store,
                         contract::ConfigHolder& holder,
                         contract::PartCache& parts, const core::Clock& clock,
                         const core::Logger& log)
    : options_(options),
      store_(store),
      holder_(holder),
      parts_(parts),
      clock_(clock),
      log_(log) {}

core::Task<> ConfigStore::AdoptNewest() {
  StoredHead stored = co_await ReadHead(store_);
  co_await AdoptHead(store_, parts_, std::move(stored.head));
}

core::Task<contract::Plan> ConfigStore::SavePlan(
    contract::Intent wanted, std::vector<contract::ObservedReplica> observed) {
  contract::Validate(wanted);
  co_await AdoptNewest();
  const std::shared_ptr<const contract::Config> base = holder_.Current();
  contract::Plan plan = contract::MakePlan(core::PlanId(core::RandomHexId()),
                                           base.get(), wanted, observed);
  EncodedConfig encoded = contract::EncodeConfig(
      {plan.base_version + 1, plan.id, std::move(wanted)});
  PlanRecord record{plan.id, plan.base_version, contract::HashesOf(encoded), "",
                    0};
  const WriteAttempt attempt = co_await TrySave(SaveRecord(record, encoded));
  if (!attempt.reason.empty()) {
    throw core::Error(ErrorCode::kPlatformUnavailable,
                      "the plan was not kept and nothing was changed; make it "
                      "again: " +
                          attempt.reason);
  }
  log_.Event(LogLevel::kInfo, LogCategory::kAdmin, "plan_saved",
             {{"plan", plan.id},
              {"base_version", plan.base_version},
              {"changes", plan.changes.size()}});
  co_return plan;
}

core::Task<> ConfigStore::SaveRecord(PlanRecord record, EncodedConfig encoded) {
  const external::KvLease lease =
      co_await store_.GrantLease(options_.plan_time_to_live);
  record.lease_id = lease.id;
  const std::shared_ptr<const EncodedConfig> base = parts_.Current();
  const std::vector<std::string> held =
      base ? contract::HashesOf(*base) : std::vector<std::string>();
  for (const Part& part : encoded.parts) {
    if (Contains(held, part.hash)) continue;
    co_await store_.CompareAndSwap(PlanPartKey(record.id, part.hash), 0,
                                   part.data, lease.id);
  }
  co_await store_.CompareAndSwap(PlanKey(record.id), 0, ToJson(record),
                                 lease.id);
}

core::Task<PlanRecord> ConfigStore::ReadRecord(core::PlanId id) {
  const std::optional<external::KvEntry> entry =
      co_await store_.Get(PlanKey(id));
  if (!entry) {
    throw core::Error(ErrorCode::kUnknownPlan,
                      fmt::format("plan {}: never made, or expired; make the "
                                  "plan again",
                                  id.value()));
  }
  co_return PlanRecordFromJson(entry->value);
}

core::Task<EncodedConfig> ConfigStore::ReadParts(PlanRecord record,
                                                 std::int64_t version) {
  EncodedConfig encoded{version, record.id, {}};
  const std::shared_ptr<const EncodedConfig> base = parts_.Current();
  std::map<std::string, std::string> held;
  if (base) {
    for (const Part& part : base->parts) held.emplace(part.hash, part.data);
  }
  for (const std::string& hash : record.part_hashes) {
    const auto it = held.find(hash);
    if (it != held.end()) {
      encoded.parts.push_back({hash, it->second});
      continue;
    }
    std::optional<external::KvEntry> entry =
        co_await store_.Get(PlanPartKey(record.id, hash));
    if (!entry) {
      entry = co_await store_.Get(PartKey(hash));
    }
    if (!entry) {
      const StoredHead now = co_await ReadHead(store_);
      throw ConflictError(record.id, now.head);
    }
    encoded.parts.push_back({hash, entry->value});
  }
  co_return encoded;
}

core::Task<SavedPlan> ConfigStore::ReadPlan(
    core::PlanId id, std::vector<contract::ObservedReplica> observed) {
  co_await AdoptNewest();
  const PlanRecord record = co_await ReadRecord(id);
  const StoredHead stored = co_await ReadHead(store_);
  SavedPlan saved;
  saved.confirmed_version =
      std::max(record.confirmed_version, VersionOf(stored.head, id));
  const std::shared_ptr<const contract::Config> base = holder_.Current();
  saved.stale = record.base_version != (base ? base->version : 0);
  if (saved.stale) {
    saved.plan.id = id;
    saved.plan.base_version = record.base_version;
    co_return saved;
  }
  const EncodedConfig encoded =
      co_await ReadParts(record, record.base_version + 1);
  saved.wanted =
      contract::DecodeConfig(encoded.version, id, encoded.parts).intent;
  saved.plan = contract::MakePlan(id, base.get(), saved.wanted, observed);
  co_return saved;
}

core::Task<std::int64_t> ConfigStore::Confirm(core::PlanId id) {
  StoredHead before = co_await ReadHead(store_);
  PlanRecord record;
  // The head's history shows a confirmed plan even if its record has expired.
  if (VersionOf(before.head, id) == 0) {
    record = co_await ReadRecord(id);
    if (record.confirmed_version != 0) co_return record.confirmed_version;
    before = co_await ReadHeadAtLeast(record.base_version);
  }
  const std::int64_t earlier = VersionOf(before.head, id);
  if (earlier != 0) {
    co_await AdoptHead(store_, parts_, before.head);
    co_return earlier;
  }
  if (record.base_version != before.head.version) {
    throw ConflictError(id, before.head);
  }
  co_return co_await PutInForce(std::move(record), std::move(before));
}

core::Task<std::int64_t> ConfigStore::PutInForce(PlanRecord record,
                                                 StoredHead before) {
  co_await AdoptHead(store_, parts_, before.head);
  const ConfigHead next = NextHead(before.head, record);
  EncodedConfig encoded = co_await ReadParts(record, next.version);
  // Repeats the checks of SavePlan on the configuration that comes into force.
  contract::Validate(
      contract::DecodeConfig(next.version, record.id, encoded.parts).intent);
  co_await PutParts(before.head, encoded);
  const std::vector<external::KvEntry> replaced =
      co_await ReadReplaced(before.head, next.part_hashes);
  record.confirmed_version = co_await SwapHead(before, next);
  parts_.Adopt(std::move(encoded));
  log_.Event(LogLevel::kInfo, LogCategory::kAdmin, "plan_confirmed",
             {{"plan", record.id}, {"version", record.confirmed_version}});
  co_await CleanUpAfterConfirm(record, replaced);
  co_return record.confirmed_version;
}

// Guards against reporting a conflict when the service returns a head older
// than the plan's base, as from a replica that lags: the operator would be told
// that the plan can't come into force any more, and then it does. Versions only
// increase, so a head above the base proves a conflict, but one below it proves
// nothing.
core::Task<StoredHead> ConfigStore::ReadHeadAtLeast(std::int64_t version) {
  const core::SteadyTime deadline = clock_.Now() + options_.confirm_timeout;
  while (true) {
    StoredHead stored = co_await ReadHead(store_);
    if (stored.head.version >= version) co_return stored;
    if (clock_.Now() >= deadline) {
      throw core::Error(
          ErrorCode::kPlatformUnavailable,
          fmt::format("the key-value service shows version {}, but the plan "
                      "was made on version {}; nothing was changed",
                      stored.head.version, version));
    }
    co_await core::SleepFor(options_.retry_pause);
  }
}

core::Task<> ConfigStore::PutParts(ConfigHead before, EncodedConfig encoded) {
  for (Part& part : encoded.parts) {
    if (Contains(before.part_hashes, part.hash)) continue;
    co_await PutPart(std::move(part));
  }
}

// Guards against the deletion of a part of the new head: the previous
// confirmation deletes the parts it replaced, and one of these may be needed
// again (a change and its reversal). Entries would never find a part of the
// newest head. An existing part is therefore rewritten: its revision changes,
// and the other confirmation's delete, which expects the old revision, fails.
core::Task<> ConfigStore::PutPart(Part part) {
  std::int64_t expected = 0;
  for (int i = 0; i < kPartAttempts; ++i) {
    const WriteAttempt attempt =
        co_await TryCas(store_, PartKey(part.hash), expected, part.data);
    if (!attempt.result) {
      co_await core::SleepFor(options_.retry_pause);
      continue;
    }
    if (attempt.result->swapped) co_return;
    expected = attempt.result->current ? attempt.result->current->revision : 0;
  }
  throw core::Error(ErrorCode::kPlatformUnavailable,
                    fmt::format("configuration part {} can't be written; "
                                "nothing was changed",
                                part.hash));
}

core::Task<std::vector<external::KvEntry>> ConfigStore::ReadReplaced(
    ConfigHead before, std::vector<std::string> kept_hashes) {
  std::vector<external::KvEntry> replaced;
  for (const std::string& hash : before.part_hashes) {
    if (Contains(kept_hashes, hash)) continue;
    std::optional<external::KvEntry> entry = co_await store_.Get(PartKey(hash));
    if (entry) replaced.push_back({entry->key, "", entry->revision});
  }
  co_return replaced;
}

// Guards against a lost answer and a late write. Lost answer: the swap took
// effect, but the operator gets a failure and retries. Late write: the write
// takes effect after the operator was told that it had not. All attempts expect
// the same old revision, so at most one takes effect, however often and late
// they arrive. A failed attempt returns the current head, whose history shows
// whether this plan was confirmed. Only a newer head without this plan proves
// that no attempt can take effect any more.
core::Task<std::int64_t> ConfigStore::SwapHead(StoredHead before,
                                               ConfigHead next) {
  const std::string value = contract::HeadToJson(next);
  const core::SteadyTime deadline = clock_.Now() + options_.confirm_timeout;
  bool may_have_landed = false;
  while (true) {
    const WriteAttempt attempt =
        co_await TryCas(store_, std::string(kHeadKey), before.revision, value);
    if (attempt.result && attempt.result->swapped) co_return next.version;
    if (attempt.result) {
      const ConfigHead now =
          attempt.result->current
              ? contract::HeadFromJson(attempt.result->current->value)
              : ConfigHead();
      const std::int64_t version = VersionOf(now, next.plan);
      if (version != 0) co_return version;
      throw ConflictError(next.plan, now);
    }
    if (attempt.failure == ErrorCode::kPlatformUnknownOutcome) {
      may_have_landed = true;
    }
    if (clock_.Now() >= deadline) {
      throw core::Error(may_have_landed ? ErrorCode::kPlatformUnknownOutcome
                                        : ErrorCode::kPlatformUnavailable,
                        fmt::format("plan {}: {}; confirm it again",
                                    next.plan.value(), attempt.reason));
    }
    co_await core::SleepFor(options_.retry_pause);
  }
}

// Cleanup only: a failure leaves unused keys behind, or a plan whose
// confirmation is recorded only in the head's history.
core::Task<> ConfigStore::CleanUpAfterConfirm(
    PlanRecord record, std::vector<external::KvEntry> replaced) {
  try {
    const std::optional<external::KvEntry> saved =
        co_await store_.Get(PlanKey(record.id));
    if (saved) {
      co_await store_.CompareAndSwap(PlanKey(record.id), saved->revision,
                                     ToJson(record), record.lease_id);
    }
    for (const external::KvEntry& entry : replaced) {
      co_await store_.DeleteIf(entry.key, entry.revision);
    }
  } catch (const core::Error& e) {
    log_.Event(LogLevel::kWarning, LogCategory::kAdmin, "plan_tidying_failed",
               {{"plan", record.id}, {"error", e.what()}});
  }
}

}  // namespace sapphire::entry

/** @file key_value_base.h Client interface of the platform's key-value service.
 */
#ifndef SAPPHIRE_EXTERNAL_KEY_VALUE_BASE_H_
#define SAPPHIRE_EXTERNAL_KEY_VALUE_BASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/task_type.h"

namespace sapphire::external {

struct KvEntry {
  std::string key;
  std::string value;
  /** Store-wide revision of the write that set this value. */
  std::int64_t revision = 0;
};

struct CasResult {
  bool swapped = false;
  /** Revision of the write; 0 if not swapped. */
  std::int64_t revision = 0;
  /** The key's entry if not swapped; nothing if the key is absent. */
  std::optional<KvEntry> current;
};

/** What the store knows of a key that was written at a certain revision. */
struct RevisionCheck {
  /** True if the key's newest write is the one that was asked about. */
  bool unchanged = false;
  /** The key's entry if it was written since; nothing if the key is absent. */
  std::optional<KvEntry> current;
};

/** One change reported by a watch; no value: the key was deleted. */
struct KvEvent {
  std::string key;
  std::optional<std::string> value;
  std::int64_t revision = 0;
};

struct WatchBatch {
  /** The revision from which to watch next. */
  std::int64_t revision = 0;
  std::vector<KvEvent> events;
  /** True if changes may be missing; the prefix must be listed again. */
  bool gap = false;
};

/**
 * @param batch Answer to a watch of all keys after revision `after`.
 * @return How many changes are missing from it: the revisions from there to the
 *   one that it names at which it has none. A store that is about to drop its
 *   history may report later changes, or none, without those that are made
 *   meanwhile.
 */
std::int64_t CountMissingChanges(const WatchBatch& batch, std::int64_t after);

/** All entries under a prefix, and the revision from which to watch them. */
struct KvSnapshot {
  std::vector<KvEntry> entries;
  /** Changes after this revision may be missing from `entries`. */
  std::int64_t revision = 0;
};

struct KvLease {
  std::string id;
  std::chrono::milliseconds time_to_live{};
};

/**
 * All shared and durable state is read and written through this interface.
 * Every call may throw core::Error kPlatformUnavailable (it had no effect);
 * writes may also throw kPlatformUnknownOutcome (the write may have taken
 * effect, or may still do so).
 */
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  virtual core::Task<std::optional<KvEntry>> Get(std::string key) = 0;
  virtual core::Task<std::vector<KvEntry>> List(std::string prefix) = 0;

  /**
   * Asks whether the key's newest write is that of `revision`, at a time
   * between the call and its answer. The default implementation reads the
   * entry.
   */
  virtual core::Task<RevisionCheck> CheckRevision(std::string key,
                                                  std::int64_t revision);

  /** Lists a prefix, with the revision to watch from. The default
   * implementation gives the highest revision of the listed entries. */
  virtual core::Task<KvSnapshot> Snapshot(std::string prefix);

  /**
   * Writes if the key's revision is `expected` (0: the key is absent).
   * @param lease_id Empty, or a lease; the key is deleted when the lease ends.
   */
  virtual core::Task<CasResult> CompareAndSwap(std::string key,
                                               std::int64_t expected,
                                               std::string value,
                                               std::string lease_id) = 0;

  /** Deletes if the key's revision is `expected`. @return True if deleted. */
  virtual core::Task<bool> DeleteIf(std::string key, std::int64_t expected) = 0;

  virtual core::Task<KvLease> GrantLease(
      std::chrono::milliseconds time_to_live) = 0;
  /** Renews a lease. @return False if the lease has expired. */
  virtual core::Task<bool> KeepAlive(std::string lease_id) = 0;

  /** Waits up to `wait` for changes after `revision` under `prefix`. */
  virtual core::Task<WatchBatch> Watch(std::string prefix,
                                       std::int64_t revision,
                                       std::chrono::milliseconds wait) = 0;
};

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_KEY_VALUE_BASE_H_

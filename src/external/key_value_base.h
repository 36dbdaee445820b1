/** @file key_value_base.h The platform's key-value service, as we use it. */
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
  /** Store-wide revision of the write that made this value. */
  std::int64_t revision = 0;
};

struct CasResult {
  bool swapped = false;
  /** Revision of the write; 0 if not swapped. */
  std::int64_t revision = 0;
  /** What stands there instead, if not swapped. */
  std::optional<KvEntry> current;
};

/** One change seen by a watch; no value: the key was deleted. */
struct KvEvent {
  std::string key;
  std::optional<std::string> value;
  std::int64_t revision = 0;
};

struct WatchBatch {
  /** Watch again from here. */
  std::int64_t revision = 0;
  std::vector<KvEvent> events;
  /** True if changes may have been missed: list again. */
  bool gap = false;
};

/** All entries under a prefix, and from where to watch on. */
struct KvSnapshot {
  std::vector<KvEntry> entries;
  /** Changes after this one may be missing from `entries`. */
  std::int64_t revision = 0;
};

struct KvLease {
  std::string id;
  std::chrono::milliseconds time_to_live{};
};

/**
 * The narrow interface everything that must be agreed or kept goes through.
 * Every call may throw core::Error kPlatformUnavailable (it had no effect) or,
 * writes only, kPlatformUnknownOutcome (it may have taken effect, or still
 * may).
 */
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  virtual core::Task<std::optional<KvEntry>> Get(std::string key) = 0;
  virtual core::Task<std::vector<KvEntry>> List(std::string prefix) = 0;

  /** Lists with the revision to watch from: by default the newest listed. */
  virtual core::Task<KvSnapshot> Snapshot(std::string prefix);

  /**
   * Writes if the key's revision is `expected` (0: the key is absent).
   * @param lease_id Empty, or a lease whose end deletes the key.
   */
  virtual core::Task<CasResult> CompareAndSwap(std::string key,
                                               std::int64_t expected,
                                               std::string value,
                                               std::string lease_id) = 0;

  /** Deletes if the key's revision is `expected`. @return True if deleted. */
  virtual core::Task<bool> DeleteIf(std::string key, std::int64_t expected) = 0;

  virtual core::Task<KvLease> GrantLease(
      std::chrono::milliseconds time_to_live) = 0;
  /** @return False if the lease has lapsed. */
  virtual core::Task<bool> KeepAlive(std::string lease_id) = 0;

  /** Waits up to `wait` for changes after `revision` under `prefix`. */
  virtual core::Task<WatchBatch> Watch(std::string prefix,
                                       std::int64_t revision,
                                       std::chrono::milliseconds wait) = 0;
};

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_KEY_VALUE_BASE_H_

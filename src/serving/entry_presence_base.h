/** @file entry_presence_base.h Announces this entry to the others. */
#ifndef SAPPHIRE_SERVING_ENTRY_PRESENCE_BASE_H_
#define SAPPHIRE_SERVING_ENTRY_PRESENCE_BASE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "core/log_base.h"
#include "core/task_type.h"
#include "external/key_value_base.h"

namespace sapphire::serving {

struct PresenceOptions {
  /** Store key, unique to this start of the entry. */
  std::string key;
  std::string value;
  /** Time after which the presence expires if the entry ends without
   * withdrawing it. */
  std::chrono::milliseconds time_to_live{10'000};
  /** Pause between two renewals. */
  std::chrono::milliseconds renew_pause{3000};
  /** Pause after a failed call. */
  std::chrono::milliseconds retry_pause{1000};
};

/** Keeps a key in the store under a lease for as long as the entry runs. */
class EntryPresence {
 public:
  /** @pre All references outlive it. */
  EntryPresence(PresenceOptions options, external::KeyValueStore& store,
                const core::Logger& log);

  /** Returns once the presence is withdrawn. */
  core::Task<> Run();

  /** Deletes the key, as the entry shuts down. */
  core::Task<> Withdraw();

 private:
  core::Task<> Renew();

  const PresenceOptions options_;
  external::KeyValueStore& store_;
  const core::Logger& log_;
  /** Empty if there is no lease or it has ended. */
  std::string lease_;
  /** Current revision of the key; 0 if it does not exist. */
  std::int64_t revision_ = 0;
  bool failing_ = false;
  bool withdrawn_ = false;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENTRY_PRESENCE_BASE_H_

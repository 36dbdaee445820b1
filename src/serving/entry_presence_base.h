/** @file entry_presence_base.h Shows the other entries that this one runs. */
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
  /** No other start of an entry uses it. */
  std::string key;
  std::string value;
  /** The presence goes this long after its entry has ended without a word. */
  std::chrono::milliseconds time_to_live{10'000};
  /** Between two renewals. */
  std::chrono::milliseconds renew_pause{3000};
  /** Between a failed call and the next. */
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

  /** Takes the key away: this entry ends. */
  core::Task<> Withdraw();

 private:
  core::Task<> Keep();

  const PresenceOptions options_;
  external::KeyValueStore& store_;
  const core::Logger& log_;
  /** Empty: there is none, or it has ended. */
  std::string lease_;
  /** Revision of the key as it stands; 0: it is not there. */
  std::int64_t revision_ = 0;
  bool failing_ = false;
  bool withdrawn_ = false;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENTRY_PRESENCE_BASE_H_

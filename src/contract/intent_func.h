/** @file intent_func.h Reads, checks and writes intents. */
#ifndef SAPPHIRE_CONTRACT_INTENT_FUNC_H_
#define SAPPHIRE_CONTRACT_INTENT_FUNC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "contract/intent_type.h"

namespace sapphire::contract {

/** Size limits of an intent; exceeding one gives kIntentOverLimit. */
struct IntentLimits {
  std::size_t services = 200;
  std::size_t models = 2'000;
  std::size_t adapters = 20'000;
  std::size_t adapters_per_model = 2'000;
  std::size_t owners = 1'000;
  /** Maximum length of a name or version, bytes. */
  std::size_t name_bytes = 64;
  /** Non-idempotent calls of one plain service. */
  std::size_t non_idempotent_calls = 64;
  int replicas = 100'000;
  int concurrent = 10'000;
};

/**
 * Reads and checks an intent in TOML.
 * @param file_name Used in error messages.
 * @throws core::Error kBadIntent or kIntentOverLimit; the detail names file,
 *   line and field, as in "m.toml:12: model.itinerary.max_replicas: ...".
 */
Intent ParseIntentToml(std::string_view text, std::string_view file_name);

/**
 * Reads and checks an intent in JSON, with the same structure as in TOML.
 * @throws core::Error kBadIntent or kIntentOverLimit naming the field.
 */
Intent ParseIntentJson(std::string_view text);

/** @return The intent in JSON with every field, lists sorted by name: equal
 * intents give equal text. */
std::string ToJson(const Intent& intent);

/** @return The intent in TOML, as ParseIntentToml reads it. */
std::string ToToml(const Intent& intent);

/**
 * Checks references, names, ranges and sizes.
 * @throws core::Error kBadIntent or kIntentOverLimit naming the field.
 */
void Validate(const Intent& intent, const IntentLimits& limits = {});

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_INTENT_FUNC_H_

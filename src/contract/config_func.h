/** @file config_func.h Encodes a configuration as content-addressed parts. */
#ifndef SAPPHIRE_CONTRACT_CONFIG_FUNC_H_
#define SAPPHIRE_CONTRACT_CONFIG_FUNC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "contract/intent_type.h"

namespace sapphire::contract {

/** Models are distributed over this many parts by the hash of their name. */
inline constexpr std::size_t kModelBuckets = 64;
/** A larger bucket is split; the platform stores values of up to 1 MB. */
inline constexpr std::size_t kPartTargetBytes = 512 * 1024;
inline constexpr std::size_t kMaxPartBytes = 1000 * 1000;

/** An immutable part of a configuration, named by its content hash. */
struct Part {
  std::string hash;
  std::string data;

  friend bool operator==(const Part&, const Part&) = default;
};

/** A configuration as it is stored and sent. */
struct EncodedConfig {
  std::int64_t version = 0;
  core::PlanId plan;
  std::vector<Part> parts;
};

/** A plan that came into force, and its version. */
struct ConfirmedPlan {
  core::PlanId plan;
  std::int64_t version = 0;

  friend bool operator==(const ConfirmedPlan&, const ConfirmedPlan&) = default;
};

/** The value of the key `config/head`. */
struct ConfigHead {
  std::int64_t version = 0;
  core::PlanId plan;
  std::vector<std::string> part_hashes;
  /** The plans confirmed last, newest first, including `plan`. They show
   * whether a confirmation whose answer was lost took effect, even after later
   * confirmations. */
  std::vector<ConfirmedPlan> history;

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

/** @return The content hash that names a part, 32 hexadecimal digits. */
std::string PartHash(std::string_view data);

/**
 * Splits a configuration into parts. A change to one model changes only the
 * part of its bucket, so that little has to be written and sent.
 * @throws core::Error kIntentOverLimit if a part would exceed kMaxPartBytes.
 */
EncodedConfig EncodeConfig(const Config& config);

/**
 * Reassembles a configuration. Unknown keys are ignored: a newer release may
 * have written them.
 * @throws core::Error kBadIntent if a part can't be read or does not match its
 *   hash.
 */
Config DecodeConfig(std::int64_t version, core::PlanId plan,
                    std::span<const Part> parts);

/** @return The hashes of the parts, in order. */
std::vector<std::string> HashesOf(const EncodedConfig& config);

std::string HeadToJson(const ConfigHead& head);

/** @throws core::Error kBadIntent if the text is not a valid head. */
ConfigHead HeadFromJson(std::string_view text);

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_CONFIG_FUNC_H_

/** @file soak_identity_func.h Defines the organisations of a soak, their keys
 * and quota. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_IDENTITY_FUNC_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_IDENTITY_FUNC_H_

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <map>
#include <string>
#include <utility>

namespace sapphire::deploy::soak {

inline constexpr int kOrganisations = 4;
/** The organisation with a quota that its callers exceed. */
inline constexpr int kLimitedOrganisation = 3;
inline constexpr double kLimitPerSecond = 4;
inline constexpr double kLimitBurst = 4;
inline constexpr double kQuotaExcess = 0.1;
/** Number of requests that may exceed the quota (the quota_slack setting). */
inline constexpr double kQuotaSlack = 15;
inline constexpr int kQuotaWindowSeconds = 8;
/** Number of the caller that keeps using the first key of its organisation
 * after the key is revoked. */
inline constexpr int kStaleKeyCaller = 14;

/** Generation of the current key of each organisation; the first key is 0. */
using KeyGenerations = std::array<int, kOrganisations>;

inline int OrganisationOf(int caller) { return caller % kOrganisations; }

inline std::string OrganisationName(int organisation) {
  return fmt::format("org-{}", organisation);
}

inline std::string KeyOf(int organisation, int generation) {
  return fmt::format("key-{}-{}", organisation, generation);
}

/** The organisation that holds each key. */
using KeyHolders = std::map<std::string, int>;

/** @return The list of organisations for the configuration document. */
inline boost::json::array OrganisationsOf(const KeyHolders& holders) {
  boost::json::array all;
  for (int i = 0; i < kOrganisations; ++i) {
    boost::json::array keys;
    for (const auto& [key, holder] : holders) {
      if (holder == i) keys.emplace_back(key);
    }
    boost::json::object it{{"name", OrganisationName(i)},
                           {"apiKeys", std::move(keys)},
                           {"unit", "requests"}};
    if (i == kLimitedOrganisation) {
      it["ratePerS"] = kLimitPerSecond;
      it["burst"] = kLimitBurst;
    }
    all.push_back(std::move(it));
  }
  return all;
}

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_IDENTITY_FUNC_H_

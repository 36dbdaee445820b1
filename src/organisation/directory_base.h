/** @file directory_base.h Looks up organisations by API key. */
#ifndef SAPPHIRE_ORGANISATION_DIRECTORY_BASE_H_
#define SAPPHIRE_ORGANISATION_DIRECTORY_BASE_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "organisation/organisation_type.h"

namespace sapphire::organisation {

/** The organisations of one configuration, indexed by key. */
class Directory {
 public:
  Directory() = default;
  /** @throws core::Error as CheckOrganisations does. */
  explicit Directory(std::vector<Organisation> organisations);

  /** @return The organisation that has the key, or null. Valid as long as the
   * directory exists. */
  [[nodiscard]] const Organisation* Find(const ApiKey& key) const;

  [[nodiscard]] const std::vector<Organisation>& organisations() const {
    return organisations_;
  }

 private:
  std::vector<Organisation> organisations_;
  /** Index into `organisations_` for each key. */
  std::unordered_map<ApiKey, std::size_t, ApiKeyHash> by_key_;
};

}  // namespace sapphire::organisation

#endif  // SAPPHIRE_ORGANISATION_DIRECTORY_BASE_H_

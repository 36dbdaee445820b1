/** @file directory.cc Looks up organisations by API key. */
#include <utility>

#include "organisation/directory_base.h"
#include "organisation/organisation_func.h"

namespace sapphire::organisation {

Directory::Directory(std::vector<Organisation> organisations)
    : organisations_(std::move(organisations)) {
  CheckOrganisations(organisations_);
  for (std::size_t i = 0; i < organisations_.size(); ++i) {
    for (const ApiKey& it : organisations_[i].keys) by_key_.emplace(it, i);
  }
}

const Organisation* Directory::Find(const ApiKey& key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : &organisations_[it->second];
}

}  // namespace sapphire::organisation

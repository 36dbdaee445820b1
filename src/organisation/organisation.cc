/** @file organisation.cc Validates organisations and computes the quota cost of
 * requests. */
#include <cmath>
#include <set>
#include <unordered_set>

#include "core/error_type.h"
#include "organisation/organisation_func.h"

namespace sapphire::organisation {

namespace {

[[noreturn]] void Fail(const core::OrganisationId& id, const std::string& why) {
  throw core::Error(core::ErrorCode::kMalformedRequest,
                    "organisation " + id.value() + ": " + why);
}

void CheckQuota(const Organisation& organisation) {
  const Quota& quota = organisation.quota;
  const auto usable = [](double units) {
    return std::isfinite(units) && units >= 0;
  };
  if (!usable(quota.per_second)) Fail(organisation.id, "invalid quota rate");
  if (!usable(quota.burst)) Fail(organisation.id, "invalid quota burst");
  if (quota.default_tokens < 0) Fail(organisation.id, "default tokens < 0");
}

}  // namespace

void CheckOrganisations(const std::vector<Organisation>& organisations) {
  std::set<core::OrganisationId> names;
  std::unordered_set<ApiKey, ApiKeyHash> keys;
  for (const Organisation& it : organisations) {
    if (it.id.empty()) Fail(it.id, "has no name");
    if (!names.insert(it.id).second) Fail(it.id, "duplicate name");
    for (const ApiKey& key : it.keys) {
      if (key.empty()) Fail(it.id, "has an empty key");
      if (!keys.insert(key).second) Fail(it.id, "duplicate API key");
    }
    CheckQuota(it);
  }
}

double CostOf(const Quota& quota, const std::optional<TokenCount>& tokens) {
  if (quota.unit == QuotaUnit::kRequests) return 1;
  if (!tokens) return static_cast<double>(quota.default_tokens);
  return static_cast<double>(tokens->prompt) +
         static_cast<double>(tokens->max_output);
}

}  // namespace sapphire::organisation

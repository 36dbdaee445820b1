/** @file organisation_func.h Validates organisations and computes the quota
 * cost of requests. */
#ifndef SAPPHIRE_ORGANISATION_ORGANISATION_FUNC_H_
#define SAPPHIRE_ORGANISATION_ORGANISATION_FUNC_H_

#include <optional>
#include <vector>

#include "organisation/organisation_type.h"

namespace sapphire::organisation {

/**
 * @throws core::Error kMalformedRequest for an organisation without a name, a
 *   duplicate name or key, an empty key, or a quota that is negative or not
 *   finite. The text names the organisation but never a key.
 */
void CheckOrganisations(const std::vector<Organisation>& organisations);

/** @return The number of quota units that one request uses. */
double CostOf(const Quota& quota, const std::optional<TokenCount>& tokens);

}  // namespace sapphire::organisation

#endif  // SAPPHIRE_ORGANISATION_ORGANISATION_FUNC_H_

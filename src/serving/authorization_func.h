/** @file authorization_func.h Decides whether requests may be sent. */
#ifndef SAPPHIRE_SERVING_AUTHORIZATION_FUNC_H_
#define SAPPHIRE_SERVING_AUTHORIZATION_FUNC_H_

#include <memory>
#include <optional>

#include "organisation/organisation_type.h"
#include "routing/routing_table_base.h"
#include "serving/authorization_type.h"

namespace sapphire::serving {

[[nodiscard]] inline RouteAccess AccessOf(const routing::Route& route) {
  return {route.is_public, route.rank};
}

/** @return True if requests need the key of an organisation. */
[[nodiscard]] inline bool NeedsKey(const routing::RoutingTable& table,
                                   const RouteAccess& route) {
  return table.HasOrganisations() && !route.is_public;
}

/** @throws core::Error kUnauthenticated if the request needs a key and `key` is
 *   none of the configuration. */
Authorization Authorize(std::shared_ptr<const routing::RoutingTable> table,
                        const RouteAccess& route,
                        const std::optional<organisation::ApiKey>& key);

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_AUTHORIZATION_FUNC_H_

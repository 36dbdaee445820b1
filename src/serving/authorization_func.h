/** @file authorization_func.h Decides whether requests may be sent. */
#ifndef SAPPHIRE_SERVING_AUTHORIZATION_FUNC_H_
#define SAPPHIRE_SERVING_AUTHORIZATION_FUNC_H_

#include <memory>
#include <optional>

#include "organisation/organisation_type.h"
#include "routing/routing_table_base.h"
#include "serving/authorization_type.h"

namespace sapphire::serving {

/** @return True if requests of the route need the key of an organisation. */
bool NeedsKey(const routing::RoutingTable& table, const routing::Route& route);

/** @throws core::Error kUnauthenticated if the request needs a key and `key` is
 *   none of the configuration. */
Authorization Authorize(std::shared_ptr<const routing::RoutingTable> table,
                        const routing::Route& route,
                        const std::optional<organisation::ApiKey>& key);

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_AUTHORIZATION_FUNC_H_

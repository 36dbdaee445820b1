/** @file authorization.cc Decides whether requests may be sent. */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "serving/authorization_func.h"

namespace sapphire::serving {

using core::Error;
using core::ErrorCode;

namespace {

constexpr int kMaxRank = 9;

}  // namespace

Authorization Authorize(std::shared_ptr<const routing::RoutingTable> table,
                        const RouteAccess& route,
                        const std::optional<organisation::ApiKey>& key) {
  const organisation::Organisation* organisation =
      key ? table->FindOrganisation(*key) : nullptr;
  if (organisation == nullptr && NeedsKey(*table, route)) {
    throw Error(ErrorCode::kUnauthenticated,
                key ? "unknown key" : "one Bearer key is needed");
  }
  int rank = route.rank;
  if (organisation != nullptr) rank = organisation->rank.value_or(rank);
  return {std::move(table), organisation, route.is_public,
          std::clamp(rank, 0, kMaxRank)};
}

}  // namespace sapphire::serving

/** @file authorization_type.h What entitles a request to be sent to engines. */
#ifndef SAPPHIRE_SERVING_AUTHORIZATION_TYPE_H_
#define SAPPHIRE_SERVING_AUTHORIZATION_TYPE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "routing/routing_table_base.h"

namespace sapphire::serving {

/** A route's terms for its callers. */
struct RouteAccess {
  /** True if requests need no key. */
  bool is_public = false;
  /** Priority of callers whose organisation has none of its own. */
  int rank = 0;
};

/** A configuration's decision that a request may be sent: it has an
 * organisation, or needs none. Immutable; only Authorize makes one. */
class Authorization {
 public:
  /** The configuration that decided. */
  [[nodiscard]] const std::shared_ptr<const routing::RoutingTable>& table()
      const {
    return table_;
  }
  [[nodiscard]] std::int64_t version() const {
    return table_->configuration().version;
  }

  /** @return The organisation of the key; null only if the request needs none.
   */
  [[nodiscard]] const organisation::Organisation* organisation() const {
    return organisation_;
  }
  [[nodiscard]] core::OrganisationId organisation_id() const {
    return organisation_ == nullptr ? core::OrganisationId()
                                    : organisation_->id;
  }

  /** @return True if the route needs no key. */
  [[nodiscard]] bool is_public_route() const { return is_public_route_; }

  /** @return Priority, 0 (first) to 9. */
  [[nodiscard]] int rank() const { return rank_; }

  /** @return True if the engine receives the caller's credentials, since the
   * configuration has no organisations. */
  [[nodiscard]] bool passes_credentials() const {
    return !table_->HasOrganisations();
  }

  /** @return "named", "public_route" or "no_organisations": whether engines are
   * told an organisation, or why not. */
  [[nodiscard]] std::string_view label() const {
    if (organisation_ != nullptr) return "named";
    return table_->HasOrganisations() ? "public_route" : "no_organisations";
  }

 private:
  friend Authorization Authorize(
      std::shared_ptr<const routing::RoutingTable> table,
      const RouteAccess& route, const std::optional<organisation::ApiKey>& key);

  Authorization(std::shared_ptr<const routing::RoutingTable> table,
                const organisation::Organisation* organisation,
                bool is_public_route, int rank)
      : table_(std::move(table)),
        organisation_(organisation),
        is_public_route_(is_public_route),
        rank_(rank) {}

  std::shared_ptr<const routing::RoutingTable> table_;
  const organisation::Organisation* organisation_;
  bool is_public_route_;
  int rank_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_AUTHORIZATION_TYPE_H_

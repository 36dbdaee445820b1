/** @file routing_table_base.h The configuration in force, ready for lookups. */
#ifndef SAPPHIRE_ROUTING_ROUTING_TABLE_BASE_H_
#define SAPPHIRE_ROUTING_ROUTING_TABLE_BASE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/log_base.h"
#include "external/key_value_base.h"
#include "routing/route_type.h"

namespace sapphire::routing {

/** Routes of one configuration, indexed by host. */
class RoutingTable {
 public:
  explicit RoutingTable(Configuration configuration);

  [[nodiscard]] const Configuration& configuration() const {
    return configuration_;
  }

  /**
   * @param host As the caller sent it; a port and upper case are ignored.
   * @param path Without the query.
   * @return The route of this host with the longest prefix of `path`, or null.
   */
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

  /** @return The service of this name, or null. */
  [[nodiscard]] const Service* FindService(const core::ServiceId& id) const;

 private:
  Configuration configuration_;
  /** Routes of each host, longest prefix first. */
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
};

/**
 * @param point From 0 to 1; the same point gives the same service.
 * @return The service that a request takes by the weights of its route.
 */
const core::ServiceId& ChooseService(const Route& route, double point);

/**
 * Holds the newest configuration. Guard against going back: reads of the store
 * may be stale and watches may be repeated after an outage; a version that is
 * not above the one in force is dropped, so callers never see an older one
 * after a newer one.
 */
class ConfigurationHolder {
 public:
  /** @return True if it was newer than the one in force and took its place. */
  bool Adopt(Configuration configuration);

  /** @return The newest table, or null before the first. */
  [[nodiscard]] std::shared_ptr<const RoutingTable> current() const {
    return current_;
  }

  /** @return Its version; 0 before the first. */
  [[nodiscard]] std::int64_t version() const;

 private:
  std::shared_ptr<const RoutingTable> current_;
};

/** @throws core::Error for a text that can't be used. */
using ReadConfiguration = std::function<Configuration(const std::string& text)>;

/**
 * Takes a document of the store over if it is newer, and logs it. One that
 * can't be used changes nothing: what was in force stays.
 * @return True if it took the place of the one in force.
 */
bool AdoptDocument(ConfigurationHolder& holder, const ReadConfiguration& read,
                   const external::KvEntry& document, const core::Logger& log);

}  // namespace sapphire::routing

#endif  // SAPPHIRE_ROUTING_ROUTING_TABLE_BASE_H_

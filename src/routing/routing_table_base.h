/** @file routing_table_base.h Looks up routes in the configuration in force. */
#ifndef SAPPHIRE_ROUTING_ROUTING_TABLE_BASE_H_
#define SAPPHIRE_ROUTING_ROUTING_TABLE_BASE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "core/log_base.h"
#include "external/key_value_base.h"
#include "organisation/directory_base.h"
#include "routing/route_type.h"

namespace sapphire::routing {

/** Routes of one configuration, indexed by host, and organisations, indexed by
 * API key. */
class RoutingTable {
 public:
  /** @throws core::Error kMalformedRequest as CheckOrganisations does. */
  explicit RoutingTable(Configuration configuration);

  [[nodiscard]] const Configuration& configuration() const {
    return configuration_;
  }

  /**
   * @param host Host as sent by the caller; its port and case are ignored.
   * @param path Path without the query.
   * @return The route of this host with the longest prefix of `path`, or null.
   */
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

  /** @return True if requests need an API key, except on public routes. */
  [[nodiscard]] bool HasOrganisations() const {
    return configuration_.organisations.has_value();
  }

  /** @return The organisation that holds the key, or null. */
  [[nodiscard]] const organisation::Organisation* FindOrganisation(
      const organisation::ApiKey& key) const {
    return directory_.Find(key);
  }

  /** @return The service of this name, or null. */
  [[nodiscard]] const Service* FindService(const core::ServiceId& id) const;

 private:
  Configuration configuration_;
  organisation::Directory directory_;
  /** Routes of each host, longest prefix first. */
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
};

/**
 * @param point Number from 0 to 1; the same point always gives the same
 *   service.
 * @return The service for a request, chosen by the weights of the route.
 */
const core::ServiceId& ChooseService(const Route& route, double point);

/**
 * Holds the newest configuration. Reads of the store may be stale and watches
 * may be repeated after an outage, so a version that is not above the one in
 * force is ignored; callers never see an older version after a newer one.
 */
class ConfigurationHolder {
 public:
  /** @return True if the configuration was newer than the one in force and has
   * replaced it. */
  bool Adopt(Configuration configuration);

  /** @return The newest table, or null before the first configuration. */
  [[nodiscard]] std::shared_ptr<const RoutingTable> current() const {
    return current_;
  }

  /** @return The version in force, or 0 before the first configuration. */
  [[nodiscard]] std::int64_t version() const;

  /** Records that the document at this revision of the store was read, and
   * whether it can be used. */
  void RecordDocument(std::int64_t revision, bool usable);

  /** Records that the store has no document any more. */
  void RecordAbsence() { is_absent_ = true; }

  /** @return True if the document at this revision, or a later one, was read
   * before and has not been absent since. */
  [[nodiscard]] bool HasRead(std::int64_t revision) const {
    return !is_absent_ && newest_read_ && newest_read_->revision >= revision;
  }

  /** @return The store's revision of the newest document that was read; 0 if
   * none was. */
  [[nodiscard]] std::int64_t newest_revision() const {
    return newest_read_ ? newest_read_->revision : 0;
  }

  /** @return The store's revision of the newest document, if it was read and
   * can be used. */
  [[nodiscard]] std::optional<std::int64_t> revision_in_force() const {
    if (!newest_read_ || LacksNewest()) return std::nullopt;
    return newest_read_->revision;
  }

  /** @return True if the newest document that was read can't be used, so that
   * the configuration in force is an older one, or if the store has none. */
  [[nodiscard]] bool LacksNewest() const {
    return is_absent_ || (newest_read_ && !newest_read_->usable);
  }

  /** @return True if an earlier configuration contained the key and a later one
   * removed it. */
  [[nodiscard]] bool WasRevoked(const organisation::ApiKey& key) const {
    return revoked_.contains(key);
  }

 private:
  struct ReadDocument {
    std::int64_t revision = 0;
    bool usable = false;
  };

  void RecordRevokedKeys(const RoutingTable& next);

  std::shared_ptr<const RoutingTable> current_;
  std::unordered_set<organisation::ApiKey, organisation::ApiKeyHash> revoked_;
  std::optional<ReadDocument> newest_read_;
  bool is_absent_ = false;
};

/** @throws core::Error for a text that is not a valid configuration. */
using ReadConfiguration = std::function<Configuration(const std::string& text)>;

/**
 * Adopts a configuration document from the store if it is newer, and logs the
 * result; does nothing with one that was read before. A document that can't be
 * read, for whatever reason, leaves the configuration in force unchanged and is
 * recorded as unusable.
 * @return True if the document has replaced the configuration in force.
 */
bool AdoptDocument(ConfigurationHolder& holder, const ReadConfiguration& read,
                   const external::KvEntry& document, const core::Logger& log);

/** Records and logs that the store has no configuration. The one in force stays
 * so, but nothing may be denied by it. */
void RecordMissingDocument(ConfigurationHolder& holder,
                           const core::Logger& log);

}  // namespace sapphire::routing

#endif  // SAPPHIRE_ROUTING_ROUTING_TABLE_BASE_H_

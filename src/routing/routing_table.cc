/** @file routing_table.cc Implements route lookups and adopts new
 * configurations. */
#include <algorithm>
#include <cctype>
#include <exception>
#include <utility>

#include "routing/routing_table_base.h"

namespace sapphire::routing {

namespace {

/** If more revoked keys than this are remembered, they are cleared before the
 * next ones are added. */
constexpr std::size_t kMaxRevokedKeys = 10'000;

/** @return The host in lower case, without its port. */
std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']', colon) == host.npos) {
    host = host.substr(0, colon);
  }
  std::string plain(host);
  std::ranges::transform(plain, plain.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return plain;
}

}  // namespace

RoutingTable::RoutingTable(Configuration configuration)
    : configuration_(std::move(configuration)),
      directory_(configuration_.organisations.value_or(
          std::vector<organisation::Organisation>())) {
  for (const Route& route : configuration_.routes) {
    by_host_[NormalizeHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::ranges::stable_sort(routes, [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
}

const Route* RoutingTable::Find(std::string_view host,
                                std::string_view path) const {
  const auto it = by_host_.find(NormalizeHost(host));
  if (it == by_host_.end()) return nullptr;
  const auto matches = [path](const Route* route) {
    return path.starts_with(route->prefix);
  };
  const auto found = std::ranges::find_if(it->second, matches);
  return found == it->second.end() ? nullptr : *found;
}

const Service* RoutingTable::FindService(const core::ServiceId& id) const {
  const auto it = configuration_.services.find(id);
  return it == configuration_.services.end() ? nullptr : &it->second;
}

const core::ServiceId& ChooseService(const Route& route, double point) {
  double total = 0;
  for (const ServiceShare& share : route.services) total += share.weight;
  double left = point * total;
  for (const ServiceShare& share : route.services) {
    if (left < share.weight) return share.service;
    left -= share.weight;
  }
  return route.services.back().service;
}

bool ConfigurationHolder::Adopt(Configuration configuration) {
  if (configuration.version <= version()) return false;
  const auto next =
      std::make_shared<const RoutingTable>(std::move(configuration));
  RecordRevokedKeys(*next);
  current_ = next;
  return true;
}

void ConfigurationHolder::RecordDocument(std::int64_t revision, bool usable) {
  is_absent_ = false;
  if (newest_read_ && newest_read_->revision > revision) return;
  newest_read_ = {revision, usable};
}

void ConfigurationHolder::RecordRevokedKeys(const RoutingTable& next) {
  if (current_ == nullptr || !current_->HasOrganisations()) return;
  // A configuration without organisations needs no keys and revokes none.
  if (!next.HasOrganisations()) return;
  if (revoked_.size() > kMaxRevokedKeys) revoked_.clear();
  for (const auto& it : *current_->configuration().organisations) {
    for (const organisation::ApiKey& key : it.keys) {
      if (next.FindOrganisation(key) == nullptr) revoked_.insert(key);
    }
  }
}

std::int64_t ConfigurationHolder::version() const {
  return current_ == nullptr ? 0 : current_->configuration().version;
}

bool AdoptDocument(ConfigurationHolder& holder, const ReadConfiguration& read,
                   const external::KvEntry& document, const core::Logger& log) {
  if (holder.HasRead(document.revision)) return false;
  std::string failure;
  bool adopted = false;
  try {
    adopted = holder.Adopt(read(document.value));
  } catch (const std::exception& e) {
    failure = e.what();
  }
  holder.RecordDocument(document.revision, failure.empty());
  log.Event(failure.empty() ? core::LogLevel::kInfo : core::LogLevel::kError,
            core::LogCategory::kConfig,
            adopted ? "config_in_force" : "config_passed_over",
            {{"config", holder.version()},
             {"revision", document.revision},
             {"bytes", document.value.size()},
             {"error", failure}});
  return adopted;
}

void RecordMissingDocument(ConfigurationHolder& holder,
                           const core::Logger& log) {
  holder.RecordAbsence();
  log.Event(
      core::LogLevel::kWarning, core::LogCategory::kConfig, "config_missing",
      {{"config", holder.version()}, {"revision", holder.newest_revision()}});
}

}  // namespace sapphire::routing

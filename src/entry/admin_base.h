/** @file admin_base.h The operators' HTTP interface, `/admin/v1/...`. */
#ifndef SAPPHIRE_ENTRY_ADMIN_BASE_H_
#define SAPPHIRE_ENTRY_ADMIN_BASE_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "contract/config_base.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/config_store_base.h"
#include "entry/directory_base.h"
#include "http/http_type.h"
#include "http/server_base.h"
#include "link/link_base.h"

namespace sapphire::entry {

struct AdminOptions {
  core::VmId self;
  core::ZoneId zone;
  /** How long a confirmation waits for all VMs to report the new version. */
  std::chrono::milliseconds in_force_timeout{3000};
  std::chrono::milliseconds in_force_poll{50};
  std::chrono::milliseconds drain_timeout{5000};
};

/** A VM and its last reported configuration version. */
struct VmVersion {
  core::VmId vm;
  core::ZoneId zone;
  bool is_entry = true;
  bool leaving = false;
  /** False if no link is up; `version` is unknown then. */
  bool linked = false;
  std::int64_t version = 0;
};

/** Answers operators' requests. Every path is described in docs/OPERATORS.md.
 */
class Admin {
 public:
  /** @pre All references outlive the object and its requests. */
  Admin(AdminOptions options, contract::ConfigHolder& config,
        ConfigStore& store, Directory& directory, link::LinkNode& links,
        const core::Clock& clock, const core::Logger& log);

  /** @return True if the target is a path of this interface. */
  [[nodiscard]] static bool IsAdminPath(std::string_view target);

  /** Answers one request.
   * @throws core::Error before anything was sent. */
  core::Task<> Handle(const http::Request& request,
                      http::ResponseWriter& writer);

  /** @return The version of each known VM, this one included, sorted by VM. */
  [[nodiscard]] std::vector<VmVersion> Versions() const;

 private:
  core::Task<std::string> HandlePlans(const http::Request& request,
                                      std::vector<std::string> path);
  core::Task<std::string> MakePlan(const http::Request& request);
  core::Task<std::string> ShowPlan(core::PlanId id);
  core::Task<std::string> ConfirmPlan(core::PlanId id);
  core::Task<std::vector<VmVersion>> WaitUntilInForce(std::int64_t version);
  void LinkToOtherEntries(const core::Executor& executor);
  core::Task<std::string> DrainEndpoint(core::EndpointId id);
  [[nodiscard]] std::vector<contract::ObservedReplica> ObservedReplicas() const;

  const AdminOptions options_;
  contract::ConfigHolder& config_;
  ConfigStore& store_;
  Directory& directory_;
  link::LinkNode& links_;
  const core::Clock& clock_;
  const core::Logger& log_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ADMIN_BASE_H_

/** @file admin_view_func.h Formats the answers to operators as JSON. */
#ifndef SAPPHIRE_ENTRY_ADMIN_VIEW_FUNC_H_
#define SAPPHIRE_ENTRY_ADMIN_VIEW_FUNC_H_

#include <span>
#include <string>

#include "contract/intent_type.h"
#include "contract/plan_type.h"
#include "entry/admin_base.h"
#include "entry/config_store_base.h"
#include "entry/directory_base.h"

namespace sapphire::entry {

/** Formats a new plan. */
std::string PlanJson(const contract::Plan& plan);

/** Formats a plan that was read back. */
std::string SavedPlanJson(const SavedPlan& saved);

/** Formats a confirmation, with the VMs on which it is not in force yet. */
std::string ConfirmJson(const core::PlanId& plan, std::int64_t version,
                        std::span<const VmVersion> not_yet);

/** @param config May be null. */
std::string ConfigJson(const contract::Config* config);

std::string StatusJson(std::int64_t version, std::span<const VmVersion> vms,
                       std::span<const KnownEndpoint> endpoints);

std::string EndpointsJson(std::span<const KnownEndpoint> endpoints,
                          core::SteadyTime now);

/** Formats each model with its limit and its replicas.
 * @param config May be null. */
std::string ModelsJson(const contract::Config* config,
                       std::span<const KnownEndpoint> endpoints);

std::string DrainJson(const core::EndpointId& endpoint, int running);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ADMIN_VIEW_FUNC_H_

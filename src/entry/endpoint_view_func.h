/** @file endpoint_view_func.h Endpoint reports as the placement policy sees
 * them. */
#ifndef SAPPHIRE_ENTRY_ENDPOINT_VIEW_FUNC_H_
#define SAPPHIRE_ENTRY_ENDPOINT_VIEW_FUNC_H_

#include <set>
#include <vector>

#include "core/id_type.h"
#include "gen/link_types.h"
#include "policy/placement_type.h"

namespace sapphire::entry {

/** The kind that a report of a model engine's endpoint carries. */
inline constexpr char kModelEndpointKind[] = "model";

/** @return The view of one endpoint, by its report alone. */
policy::EndpointView ViewOf(const gen::EndpointReport& report, bool leaving);

/** @return The replicas of that view. */
std::vector<policy::ReplicaView> ReplicasOf(const gen::EndpointReport& report);

/** @return The models that the report shows in any state. */
std::set<core::ModelId> ModelsIn(const gen::EndpointReport& report);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ENDPOINT_VIEW_FUNC_H_

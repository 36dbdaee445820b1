/** @file endpoint_view_func.h Converts endpoint reports for the placement
 * policy.
 */
#ifndef SAPPHIRE_ENTRY_ENDPOINT_VIEW_FUNC_H_
#define SAPPHIRE_ENTRY_ENDPOINT_VIEW_FUNC_H_

#include <set>
#include <vector>

#include "core/id_type.h"
#include "gen/link_types.h"
#include "policy/placement_type.h"

namespace sapphire::entry {

/** The kind in reports of endpoints that run models. */
inline constexpr char kModelEndpointKind[] = "model";

/** @return The view of one endpoint, based only on its report. */
policy::EndpointView ViewOf(const gen::EndpointReport& report, bool leaving);

/** @return The replicas of the endpoint's view. */
std::vector<policy::ReplicaView> ReplicasOf(const gen::EndpointReport& report);

/** @return The models with a replica in the report, in any state. */
std::set<core::ModelId> ModelsIn(const gen::EndpointReport& report);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ENDPOINT_VIEW_FUNC_H_

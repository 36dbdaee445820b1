/** @file plan_func.h Computes and formats plans, which state what confirming an
 * intent would change; pure functions. */
#ifndef SAPPHIRE_CONTRACT_PLAN_FUNC_H_
#define SAPPHIRE_CONTRACT_PLAN_FUNC_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "contract/plan_type.h"

namespace sapphire::contract {

/**
 * @param base The configuration in force; null if there is none yet.
 * @param wanted A valid intent.
 * @param observed The replicas known to be loaded now.
 * @return What confirming `wanted` would change. Deterministic.
 */
Plan MakePlan(core::PlanId id, const Config* base, const Intent& wanted,
              std::span<const ObservedReplica> observed);

/** @return The changes between two intents, sorted by subject and name. */
std::vector<Change> Diff(const Intent& before, const Intent& after);

/**
 * @return The replicas that exceed a limit of `intent` or whose model it does
 *   not offer. The busiest replicas are kept; among equals, those whose
 *   endpoint's name sorts first.
 */
std::vector<ExcessReplica> ExcessReplicas(
    const Intent& intent, std::span<const ObservedReplica> observed);

/** @return The plan as a readable diff, one line per change. */
std::string RenderText(const Plan& plan);

/** @return The plan in JSON. */
std::string ToJson(const Plan& plan);

std::string_view NameOf(ChangeKind kind);
std::string_view NameOf(Subject subject);
std::string_view NameOf(EffectKind kind);

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_PLAN_FUNC_H_

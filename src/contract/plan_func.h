/** @file plan_func.h Works out and shows plans: pure functions. */
#ifndef SAPPHIRE_CONTRACT_PLAN_FUNC_H_
#define SAPPHIRE_CONTRACT_PLAN_FUNC_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "contract/plan_type.h"

namespace sapphire::contract {

/**
 * @param base What is in force; null: nothing yet.
 * @param wanted A checked intent.
 * @param observed The replicas loaded now, as far as they are known.
 * @return What confirming `wanted` would change. Deterministic.
 */
Plan MakePlan(core::PlanId id, const Config* base, const Intent& wanted,
              std::span<const ObservedReplica> observed);

/** @return What differs between two intents, sorted by subject and name. */
std::vector<Change> Diff(const Intent& before, const Intent& after);

/**
 * @return The replicas that are over a limit of `intent` or of models that it
 *   does not offer. The busiest stay; among equals, those whose endpoint's
 *   name comes first.
 */
std::vector<ExcessReplica> ExcessReplicas(
    const Intent& intent, std::span<const ObservedReplica> observed);

/** @return The plan as a readable diff, one line a change. */
std::string RenderText(const Plan& plan);

/** @return The plan in JSON. */
std::string ToJson(const Plan& plan);

std::string_view NameOf(ChangeKind kind);
std::string_view NameOf(Subject subject);
std::string_view NameOf(EffectKind kind);

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_PLAN_FUNC_H_

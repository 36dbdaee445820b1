/** @file grant_func.h Encodes, decodes and checks ledgers of grants. */
#ifndef SAPPHIRE_ENDPOINT_GRANT_FUNC_H_
#define SAPPHIRE_ENDPOINT_GRANT_FUNC_H_

#include <string>
#include <string_view>
#include <vector>

#include "contract/intent_type.h"
#include "endpoint/grant_type.h"

namespace sapphire::endpoint {

/** Key prefix of all ledgers in the key-value service. */
inline constexpr std::string_view kLedgerPrefix = "ledger/";

/** @return The key of a service's ledger. */
std::string LedgerKey(const core::ServiceId& service);

/** @return The service that the ledger under `key` belongs to. */
core::ServiceId ServiceOfLedgerKey(std::string_view key);

/** @return The ledger's JSON text. */
std::string EncodeLedger(const LedgerValue& ledger);

/** @throws core::Error kInternal if the text isn't a valid ledger. */
LedgerValue DecodeLedger(std::string_view text);

/** @return The grant of `model` at `vm`, or null. */
const Grant* FindGrant(const LedgerValue& ledger, const core::VmId& vm,
                       const core::ModelId& model);

/**
 * Checks that one more replica of `model` is within the limits.
 * @throws core::Error kUnknownModel, kReplicaLimit, or kNotConfigured if the
 *   ledger was last written under a configuration newer than `config`, whose
 *   limits may be lower.
 */
void CheckLimits(const LedgerValue& ledger, const contract::Config& config,
                 const core::ModelId& model);

/**
 * @return The grants that exceed the limits. The oldest grants, by fence, are
 *   kept, so that every endpoint gets the same result.
 */
std::vector<Grant> SurplusGrants(const LedgerValue& ledger,
                                 const contract::Intent& intent,
                                 const core::ServiceId& service);

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_GRANT_FUNC_H_

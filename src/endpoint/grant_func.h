/** @file grant_func.h Reading, writing and checking ledgers of grants. */
#ifndef SAPPHIRE_ENDPOINT_GRANT_FUNC_H_
#define SAPPHIRE_ENDPOINT_GRANT_FUNC_H_

#include <string>
#include <string_view>
#include <vector>

#include "contract/intent_type.h"
#include "endpoint/grant_type.h"

namespace sapphire::endpoint {

/** All ledgers lie under this prefix of the key-value service. */
inline constexpr std::string_view kLedgerPrefix = "ledger/";

/** @return The key of a service's ledger. */
std::string LedgerKey(const core::ServiceId& service);

/** @return The service whose ledger `key` is. */
core::ServiceId ServiceOfLedgerKey(std::string_view key);

/** @return The ledger's JSON text. */
std::string EncodeLedger(const LedgerValue& ledger);

/** @throws core::Error kInternal if the text is no ledger. */
LedgerValue DecodeLedger(std::string_view text);

/** @return The grant of `model` at `vm`, or null. */
const Grant* FindGrant(const LedgerValue& ledger, const core::VmId& vm,
                       const core::ModelId& model);

/**
 * Checks that one more replica of `model` keeps the limits.
 * @throws core::Error kUnknownModel, kReplicaLimit, or kNotConfigured if the
 *   ledger was last written under a configuration newer than `config`: its
 *   limits may be lower than the ones known here.
 */
void CheckLimits(const LedgerValue& ledger, const contract::Config& config,
                 const core::ModelId& model);

/**
 * @return The grants that are over the limits. Every endpoint comes to the
 *   same answer: the oldest grants, by fence, stay.
 */
std::vector<Grant> SurplusGrants(const LedgerValue& ledger,
                                 const contract::Intent& intent,
                                 const core::ServiceId& service);

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_GRANT_FUNC_H_

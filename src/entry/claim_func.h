/** @file claim_func.h Encodes claims as keys and values of the key-value
 * service. */
#ifndef SAPPHIRE_ENTRY_CLAIM_FUNC_H_
#define SAPPHIRE_ENTRY_CLAIM_FUNC_H_

#include <string>
#include <string_view>

#include "entry/claim_type.h"
#include "gen/link_types.h"

namespace sapphire::entry {

constexpr std::string_view kClaimPrefix = "claims/";

/** @return `claims/SERVICE/HASH`; the hash covers the owner and the idempotency
 * key. */
std::string ClaimKey(const gen::Run& run);

std::string EncodeClaim(const Claim& claim);

/** @throws core::Error kMalformedRequest that names the field. */
Claim DecodeClaim(std::string_view json);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CLAIM_FUNC_H_

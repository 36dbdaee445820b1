/** @file grant_type.h The ledger of replica grants, one per service. */
#ifndef SAPPHIRE_ENDPOINT_GRANT_TYPE_H_
#define SAPPHIRE_ENDPOINT_GRANT_TYPE_H_

#include <cstdint>
#include <vector>

#include "core/id_type.h"

namespace sapphire::endpoint {

/** The right of one VM to hold one replica of a model loaded. */
struct Grant {
  core::ModelId model;
  core::VmId vm;
  /** Larger than that of every earlier grant of the service. */
  std::int64_t fence = 0;

  friend bool operator==(const Grant&, const Grant&) = default;
};

/** The value under `ledger/SERVICE`. */
struct LedgerValue {
  std::vector<Grant> grants;
  std::int64_t next_fence = 1;
  /** Newest configuration that a grant was checked against. */
  std::int64_t config_version = 0;

  friend bool operator==(const LedgerValue&, const LedgerValue&) = default;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_GRANT_TYPE_H_

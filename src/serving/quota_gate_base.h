/** @file quota_gate_base.h Charges requests to their organisations' quotas. */
#ifndef SAPPHIRE_SERVING_QUOTA_GATE_BASE_H_
#define SAPPHIRE_SERVING_QUOTA_GATE_BASE_H_

#include <cstdint>

#include "core/task_type.h"
#include "organisation/organisation_type.h"
#include "quota/quota_client_base.h"

namespace sapphire::serving {

/** Units of an organisation's quota. */
struct QuotaCharge {
  core::OrganisationId organisation;
  organisation::Quota quota;
  /** Version of the configuration that the quota is from. */
  std::int64_t version = 0;
  double units = 0;
};

/** Takes units of a quota and waits for the decision. @pre `client` outlives
 * the call. */
core::Task<quota::QuotaDecision> TakeUnits(quota::QuotaClient& client,
                                           quota::QuotaId id,
                                           quota::SharedLimit limit,
                                           double cost);

/** Charges requests to their organisations. Not thread-safe. */
class QuotaGate {
 public:
  /** @pre `client` outlives it. */
  explicit QuotaGate(quota::QuotaClient& client) : client_(client) {}

  /** Charges a request to its organisation. */
  core::Task<quota::QuotaDecision> Take(QuotaCharge charge);

  /** Returns the units of a request that did not run. */
  void GiveBack(const QuotaCharge& charge);

  [[nodiscard]] double LevelOf(const core::OrganisationId& id) const {
    return client_.LevelOf(quota::QuotaId(id.value()));
  }

 private:
  quota::QuotaClient& client_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_QUOTA_GATE_BASE_H_

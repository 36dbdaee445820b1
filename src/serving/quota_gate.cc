/** @file quota_gate.cc Charges requests to their organisations' quotas. */
#include <memory>
#include <optional>

#include "core/signal_base.h"
#include "serving/quota_gate_base.h"

namespace sapphire::serving {

namespace {

quota::SharedLimit LimitOf(const organisation::Organisation& organisation,
                           std::int64_t version) {
  quota::SharedLimit limit;
  limit.version = version;
  limit.limit.per_second = organisation.quota.per_second;
  limit.limit.burst = organisation.quota.burst;
  return limit;
}

quota::QuotaId QuotaOf(const organisation::Organisation& organisation) {
  return quota::QuotaId(organisation.id.value());
}

/** A pending decision. Shared: the request may end before it arrives. */
struct PendingDecision {
  std::optional<quota::QuotaDecision> decision;
  core::Signal changed;
};

}  // namespace

core::Task<quota::QuotaDecision> TakeUnits(quota::QuotaClient& client,
                                           quota::QuotaId id,
                                           quota::SharedLimit limit,
                                           double cost) {
  const auto awaited = std::make_shared<PendingDecision>();
  client.Take(id, limit, cost, [awaited](const quota::QuotaDecision& decision) {
    awaited->decision = decision;
    awaited->changed.Notify();
  });
  while (!awaited->decision) {
    const std::uint64_t seen = awaited->changed.epoch();
    if (co_await awaited->changed.Wait(seen, client.TickInterval())) continue;
    client.Tick();
  }
  co_return *awaited->decision;
}

core::Task<quota::QuotaDecision> QuotaGate::Take(
    organisation::Organisation organisation, std::int64_t version,
    double cost) {
  if (!organisation.quota.IsLimited()) {
    co_return quota::QuotaDecision{true, quota::QuotaSource::kUnlimited, {}};
  }
  co_return co_await TakeUnits(client_, QuotaOf(organisation),
                               LimitOf(organisation, version), cost);
}

void QuotaGate::GiveBack(const organisation::Organisation& organisation,
                         std::int64_t version, double cost) {
  if (!organisation.quota.IsLimited()) return;
  client_.GiveBack(QuotaOf(organisation), LimitOf(organisation, version), cost);
}

}  // namespace sapphire::serving

/** @file quota_gate.cc Charges requests to their organisations' quotas. */
#include <memory>
#include <optional>

#include "core/signal_base.h"
#include "serving/quota_gate_base.h"

namespace sapphire::serving {

namespace {

quota::SharedLimit LimitOf(const QuotaCharge& charge) {
  quota::SharedLimit limit;
  limit.version = charge.version;
  limit.limit.per_second = charge.quota.per_second;
  limit.limit.burst = charge.quota.burst;
  return limit;
}

quota::QuotaId QuotaOf(const QuotaCharge& charge) {
  return quota::QuotaId(charge.organisation.value());
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

core::Task<quota::QuotaDecision> QuotaGate::Take(QuotaCharge charge) {
  if (!charge.quota.IsLimited()) {
    co_return quota::QuotaDecision{true, quota::QuotaSource::kUnlimited, {}};
  }
  co_return co_await TakeUnits(client_, QuotaOf(charge), LimitOf(charge),
                               charge.units);
}

void QuotaGate::GiveBack(const QuotaCharge& charge) {
  if (!charge.quota.IsLimited()) return;
  client_.GiveBack(QuotaOf(charge), LimitOf(charge), charge.units);
}

}  // namespace sapphire::serving

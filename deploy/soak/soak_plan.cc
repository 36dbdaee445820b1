/** @file soak_plan.cc Draws the faults of a soak from a seed. */
#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "soak_identity_func.h"
#include "soak_plan_func.h"

namespace sapphire::deploy::soak {

namespace {

/** Interval between the starts of two series, so that two or three series
 * overlap at a time. */
constexpr milliseconds kSeriesPause{2500};
constexpr int kMostRepeats = 3;
constexpr milliseconds kLeastGap{300};
constexpr milliseconds kMostGap{1500};
constexpr milliseconds kLeastLength{500};
constexpr milliseconds kMostLength{3000};
/** Long enough for an entry to consider the store unreachable. */
constexpr milliseconds kLeastPartition{2500};
constexpr milliseconds kMostPartition{5000};
constexpr milliseconds kServesPastPartition{5000};
/** XORed with the seed to give departures a random stream of their own. */
constexpr std::uint64_t kDepartureStream = 0x6465'7061'7274;

constexpr std::uint64_t kRevocationStream = 0x7265'766f'6b65;
constexpr int kRevocations = 4;
constexpr std::uint64_t kEndpointLossStream = 0x6c6f'7374;
/** Long enough for an entry to take over the engine and send it orders. */
constexpr milliseconds kLeastLoss{24'000};
constexpr milliseconds kMostLoss{30'000};

bool IsOfEntry(FaultKind kind) {
  return kind <= FaultKind::kEntryReload || kind == FaultKind::kStoreCut;
}

/** Draws random numbers. The standard distributions are not used because their
 * results differ between libraries. */
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed) {}
  int Below(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(bound));
  }
  milliseconds Between(milliseconds least, milliseconds most) {
    return least +
           milliseconds(Below(static_cast<int>((most - least).count()) + 1));
  }

 private:
  std::mt19937_64 random_;
};

/**
 * Draws store partitions of an entry during which an engine is deregistered
 * without draining. The engine keeps serving past the time by which the entry
 * has to know: the end of the partition, 3 s to settle, and some time in which
 * callers send requests.
 */
void DrawDepartures(SoakPlan& plan) {
  Draw draw(plan.seed ^ kDepartureStream);
  for (int i = 0; i < plan.departures; ++i) {
    Fault partition;
    partition.kind = FaultKind::kStorePartition;
    partition.length = draw.Between(kLeastPartition, kMostPartition);
    partition.at =
        draw.Between(milliseconds(0), plan.length - partition.length);
    partition.target = draw.Below(plan.entries);
    plan.faults.push_back(partition);
    const milliseconds end = partition.at + partition.length;
    Fault leave;
    leave.kind = FaultKind::kEngineLeave;
    leave.at = draw.Between(partition.at + kLeastGap, end);
    leave.length = end + kServesPastPartition - leave.at;
    leave.target = draw.Below(plan.engines + plan.plain);
    plan.faults.push_back(leave);
  }
}

void DrawRevocations(SoakPlan& plan) {
  Draw draw(plan.seed ^ kRevocationStream);
  for (int i = 0; i < kRevocations; ++i) {
    Fault revoke;
    revoke.kind = FaultKind::kKeyRevoke;
    revoke.at = draw.Between(milliseconds(0), plan.length);
    revoke.target = draw.Below(kOrganisations);
    plan.faults.push_back(revoke);
  }
}

/** Draws outages of endpoint processes that last until after an entry has taken
 * over the engine. */
void DrawEndpointLosses(SoakPlan& plan) {
  Draw draw(plan.seed ^ kEndpointLossStream);
  for (int i = 0; i < plan.endpoint_losses; ++i) {
    Fault loss;
    loss.kind = FaultKind::kEndpointLost;
    loss.length = draw.Between(kLeastLoss, kMostLoss);
    loss.at = draw.Between(milliseconds(0), plan.length - loss.length);
    loss.target = plan.unattended + draw.Below(plan.engines - plan.unattended);
    plan.faults.push_back(loss);
  }
}

}  // namespace

SoakPlan DrawFaults(SoakPlan plan) {
  Draw draw(plan.seed);
  plan.faults.clear();
  for (milliseconds start{0}; start < plan.length; start += kSeriesPause) {
    const auto kind = static_cast<FaultKind>(draw.Below(kDrawnKinds));
    const int repeats = 1 + draw.Below(kMostRepeats);
    milliseconds at = start + draw.Between(milliseconds(0), kSeriesPause);
    for (int i = 0; i < repeats; ++i) {
      Fault fault;
      fault.kind = kind;
      fault.at = at;
      fault.length = draw.Between(kLeastLength, kMostLength);
      fault.target = draw.Below(IsOfEntry(kind) ? plan.entries : plan.engines);
      if (fault.at + fault.length < plan.length) plan.faults.push_back(fault);
      at += draw.Between(kLeastGap, kMostGap);
    }
  }
  DrawDepartures(plan);
  if (plan.organisations) DrawRevocations(plan);
  DrawEndpointLosses(plan);
  std::ranges::stable_sort(plan.faults, {}, &Fault::at);
  return plan;
}

std::string Describe(const SoakPlan& plan) {
  std::string text;
  for (const Fault& it : plan.faults) {
    text += fmt::format("{} ms {} {} for {} ms\n", it.at.count(),
                        kFaultNames.at(static_cast<std::size_t>(it.kind)),
                        it.target, it.length.count());
  }
  return text;
}

}  // namespace sapphire::deploy::soak

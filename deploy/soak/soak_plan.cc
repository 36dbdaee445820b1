/** @file soak_plan.cc Draws the faults of a soak from a seed. */
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

#include "soak_draw_base.h"
#include "soak_identity_func.h"
#include "soak_plan_func.h"

namespace sapphire::deploy::soak {

namespace {

/** Interval between the starts of two series, so that two or three series
 * overlap at a time. */
constexpr milliseconds kSeriesInterval{2500};
constexpr int kMaxFaultsPerSeries = 3;
constexpr milliseconds kMinGap{300};
constexpr milliseconds kMaxGap{1500};
constexpr milliseconds kMinDuration{500};
constexpr milliseconds kMaxDuration{3000};
/** Long enough for an entry to consider the store unreachable. */
constexpr milliseconds kMinPartition{2500};
constexpr milliseconds kMaxPartition{5000};
constexpr milliseconds kServingAfterPartition{5000};
/** XORed with the seed to give departures a random stream of their own. */
constexpr std::uint64_t kDepartureStream = 0x6465'7061'7274;

constexpr std::uint64_t kRevocationStream = 0x7265'766f'6b65;
constexpr int kRevocations = 4;
constexpr std::uint64_t kEndpointOutageStream = 0x6c6f'7374;
/** Long enough for an entry to take over the engine and send it orders. */
constexpr milliseconds kMinEndpointOutage{24'000};
constexpr milliseconds kMaxEndpointOutage{30'000};
/** Within these times the process has claimed its engine's lease and waits for
 * the minimum time between orders of two VMs. */
constexpr milliseconds kMinBeforeKill{500};
constexpr milliseconds kMaxBeforeKill{2500};

constexpr std::uint64_t kRouteStream = 0x726f'7574'6573;
/** The store fails this long before the route is added at most, so that callers
 * ask for it under the fault for longer than a configuration may take. */
constexpr milliseconds kMaxBeforeRoute{500};

constexpr std::uint64_t kNoticeStream = 0x6e6f'7469'6365;
/** A leaving engine serves on until after the time in which entries have to
 * heed its notice. */
constexpr milliseconds kMinLeaveTime{2500};
constexpr milliseconds kMaxLeaveTime{6000};
/** Rests from below the half second after which they are checked, and engines
 * that accept requests before or after their end. */
constexpr milliseconds kMinRest{300};
constexpr milliseconds kMaxRest{4000};

constexpr std::uint64_t kKeyStream = 0x6b65'7973;
constexpr int kMaxKeyMoves = 3;
/** Entries send a request to a second engine too after a silence of 1.5 to
 * 2.5 s, and try again every 200 ms. */
constexpr milliseconds kMinSilence{2500};
constexpr milliseconds kMaxSilence{4500};

constexpr std::uint64_t kKillStream = 0x6b69'6c6c;
constexpr milliseconds kMinDown{300};
constexpr milliseconds kMaxDown{2000};
constexpr milliseconds kFirstKill{1000};
/** Entries write the versions of a service to the store up to 300 ms after they
 * have seen a new one. */
constexpr milliseconds kMaxBeforeKillOfAll{400};
/** Parts of the model engines that are replaced together. */
constexpr int kHalves = 2;
/** Software versions that are released; the first one has the number 1. */
constexpr int kFirstRelease = 2;

bool TargetsEntry(FaultKind kind) {
  return kind <= FaultKind::kEntryReload || kind == FaultKind::kStoreCut;
}

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
    partition.duration = draw.Between(kMinPartition, kMaxPartition);
    partition.at =
        draw.Between(milliseconds(0), plan.duration - partition.duration);
    partition.target = draw.Below(plan.entries);
    plan.faults.push_back(partition);
    const milliseconds end = partition.at + partition.duration;
    Fault leave;
    leave.kind = FaultKind::kEngineDeregistration;
    leave.at = draw.Between(partition.at + kMinGap, end);
    leave.duration = end + kServingAfterPartition - leave.at;
    leave.target = draw.Below(plan.engines + plan.plain);
    plan.faults.push_back(leave);
  }
}

void DrawRevocations(SoakPlan& plan) {
  Draw draw(plan.seed ^ kRevocationStream);
  for (int i = 0; i < kRevocations; ++i) {
    Fault revoke;
    revoke.kind = FaultKind::kKeyRevoke;
    revoke.at = draw.Between(milliseconds(0), plan.duration);
    revoke.target = draw.Below(kOrganisations);
    plan.faults.push_back(revoke);
  }
}

/** Draws routes that are added while one entry can't reach the store, or the
 * store fails for all. */
void DrawRoutesBehindFaults(SoakPlan& plan) {
  static constexpr std::array kFaults = {
      FaultKind::kStoreCut, FaultKind::kStorePartition, FaultKind::kStoreBusy,
      FaultKind::kStoreSilent};
  Draw draw(plan.seed ^ kRouteStream);
  for (int i = 0; i < plan.routes_behind_faults; ++i) {
    Fault fault;
    fault.kind =
        kFaults.at(static_cast<std::size_t>(draw.Below(kFaults.size())));
    fault.duration = draw.Between(kMinPartition, kMaxPartition);
    fault.at = draw.Between(milliseconds(0), plan.duration - fault.duration);
    fault.target = draw.Below(plan.entries);
    plan.faults.push_back(fault);
    Fault change;
    change.kind = FaultKind::kConfigChange;
    change.at = fault.at + draw.Between(milliseconds(0), kMaxBeforeRoute);
    plan.faults.push_back(change);
  }
}

/** Draws keys that are revoked, returned or given to another organisation while
 * an engine is silent. In the end callers have their keys again. */
void DrawKeyMoves(SoakPlan& plan) {
  Draw draw(plan.seed ^ kKeyStream);
  for (int i = 0; i < plan.key_moves; ++i) {
    Fault silence;
    silence.kind = FaultKind::kEngineSilent;
    silence.duration = draw.Between(kMinSilence, kMaxSilence);
    silence.at =
        draw.Between(milliseconds(0), plan.duration - silence.duration);
    silence.target = draw.Below(2) == 0 ? plan.engines + draw.Below(plan.plain)
                                        : draw.Below(plan.engines);
    plan.faults.push_back(silence);
    // The quota of the limited organisation is checked by its callers.
    for (int j = 0; j < kLimitedOrganisation; ++j) {
      Fault move = silence;
      move.kind = FaultKind::kKeyMove;
      move.target = j;
      for (int k = draw.Below(kMaxKeyMoves); k >= 0; --k) {
        move.at += draw.Between(milliseconds(0), kMinSilence / 2);
        move.to =
            draw.Below(2) == 0 ? kNobody : draw.Below(kLimitedOrganisation);
        plan.faults.push_back(move);
      }
      move.at = std::max(move.at, silence.at + silence.duration);
      move.to = move.target;
      plan.faults.push_back(move);
    }
  }
}

/** Draws times at which all entries are killed. In half of them all model
 * engines, in a quarter half of them, are replaced shortly before or while no
 * entry is up. */
void DrawKillsOfAllEntries(SoakPlan& plan) {
  Draw draw(plan.seed ^ kKillStream);
  for (int i = 0; i < plan.kills_of_all_entries; ++i) {
    Fault kill;
    kill.kind = FaultKind::kAllEntriesKill;
    kill.duration = draw.Between(kMinDown, kMaxDown);
    kill.at = draw.Between(kFirstKill, plan.duration - kill.duration);
    plan.faults.push_back(kill);
    const int halves =
        plan.software_versions ? std::min(draw.Below(4), kHalves) : 0;
    const milliseconds before = draw.Below(2) * kMaxBeforeKillOfAll;
    for (int j = 0; j < halves * plan.engines / kHalves; ++j) {
      Fault release;
      release.kind = FaultKind::kEngineRelease;
      release.at = kill.at + draw.Between(-before, kill.duration);
      release.target = j;
      release.to = kFirstRelease + i;
      plan.faults.push_back(release);
    }
  }
}

/** Draws engines that leave and say so in their answers alone, and engines that
 * ask for rest. */
void DrawNotices(SoakPlan& plan) {
  Draw draw(plan.seed ^ kNoticeStream);
  for (int i = 0; i < plan.notices; ++i) {
    Fault leave;
    leave.kind = FaultKind::kEngineLeave;
    leave.duration = draw.Between(kMinLeaveTime, kMaxLeaveTime);
    leave.at = draw.Between(milliseconds(0), plan.duration - leave.duration);
    leave.target = draw.Below(plan.engines + plan.plain);
    plan.faults.push_back(leave);
    Fault rest;
    rest.kind = FaultKind::kEngineRest;
    rest.duration = draw.Between(kMinRest, kMaxRest);
    rest.rest = draw.Between(kMinRest, kMaxRest);
    rest.at = draw.Between(milliseconds(0), plan.duration - rest.duration);
    rest.target = draw.Below(plan.engines + plan.plain);
    plan.faults.push_back(rest);
  }
}

/** Draws outages of endpoint processes that last until after an entry has taken
 * over the engine. */
void DrawEndpointOutages(SoakPlan& plan) {
  Draw draw(plan.seed ^ kEndpointOutageStream);
  for (int i = 0; i < plan.endpoint_outages; ++i) {
    Fault loss;
    loss.kind = FaultKind::kEndpointOutage;
    loss.duration = draw.Between(kMinEndpointOutage, kMaxEndpointOutage);
    const milliseconds kills = plan.kills_after_outage * kMaxBeforeKill;
    loss.at =
        draw.Between(milliseconds(0), plan.duration - loss.duration - kills);
    loss.target = plan.engines_without_endpoint +
                  draw.Below(plan.engines - plan.engines_without_endpoint);
    plan.faults.push_back(loss);
    Fault kill = loss;
    kill.kind = FaultKind::kEndpointKill;
    kill.at = loss.at + loss.duration;
    for (int j = 0; j < plan.kills_after_outage; ++j) {
      kill.at += draw.Between(kMinBeforeKill, kMaxBeforeKill);
      plan.faults.push_back(kill);
    }
  }
}

}  // namespace

SoakPlan DrawFaults(SoakPlan plan) {
  Draw draw(plan.seed);
  plan.faults.clear();
  for (milliseconds start{0}; start < plan.duration; start += kSeriesInterval) {
    const auto kind = static_cast<FaultKind>(draw.Below(kBaseFaultKinds));
    const int repeats = 1 + draw.Below(kMaxFaultsPerSeries);
    milliseconds at = start + draw.Between(milliseconds(0), kSeriesInterval);
    for (int i = 0; i < repeats; ++i) {
      Fault fault;
      fault.kind = kind;
      fault.at = at;
      fault.duration = draw.Between(kMinDuration, kMaxDuration);
      fault.target =
          draw.Below(TargetsEntry(kind) ? plan.entries : plan.engines);
      if (fault.at + fault.duration < plan.duration) {
        plan.faults.push_back(fault);
      }
      at += draw.Between(kMinGap, kMaxGap);
    }
  }
  DrawDepartures(plan);
  if (plan.organisations) DrawRevocations(plan);
  DrawEndpointOutages(plan);
  DrawNotices(plan);
  DrawRoutesBehindFaults(plan);
  DrawKeyMoves(plan);
  DrawKillsOfAllEntries(plan);
  std::ranges::stable_sort(plan.faults, {}, &Fault::at);
  return plan;
}

std::string DescribeFaults(const SoakPlan& plan) {
  std::string text;
  for (const Fault& it : plan.faults) {
    text += fmt::format("{} ms {} {} for {} ms", it.at.count(),
                        kFaultNames.at(static_cast<std::size_t>(it.kind)),
                        it.target, it.duration.count());
    if (it.kind >= FaultKind::kKeyMove) text += fmt::format(" to {}", it.to);
    text += "\n";
  }
  return text;
}

}  // namespace sapphire::deploy::soak

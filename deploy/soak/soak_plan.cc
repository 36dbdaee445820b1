/** @file soak_plan.cc Draws the faults of a soak from a seed. */
#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "soak_plan_func.h"

namespace sapphire::deploy::soak {

namespace {

/** One series begins this often, so that two or three go on at a time. */
constexpr milliseconds kSeriesPause{2500};
constexpr int kMostRepeats = 3;
constexpr milliseconds kLeastGap{300};
constexpr milliseconds kMostGap{1500};
constexpr milliseconds kLeastLength{500};
constexpr milliseconds kMostLength{3000};

bool IsOfEntry(FaultKind kind) {
  return kind <= FaultKind::kEntryReload || kind == FaultKind::kStoreCut;
}

/** Draws; the standard distributions differ between libraries. */
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

}  // namespace

SoakPlan DrawFaults(SoakPlan plan) {
  Draw draw(plan.seed);
  plan.faults.clear();
  for (milliseconds start{0}; start < plan.length; start += kSeriesPause) {
    const auto kind = static_cast<FaultKind>(
        draw.Below(static_cast<int>(kFaultNames.size())));
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

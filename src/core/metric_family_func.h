/** @file metric_family_func.h Helpers that register and update metrics.
 */
#ifndef SAPPHIRE_CORE_METRIC_FAMILY_FUNC_H_
#define SAPPHIRE_CORE_METRIC_FAMILY_FUNC_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <string_view>

namespace sapphire::core {

inline prometheus::Family<prometheus::Counter>& AddCounters(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

inline prometheus::Family<prometheus::Gauge>& AddGauges(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

inline prometheus::Family<prometheus::Histogram>& AddHistograms(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

/** Counts one call to the store. */
inline void CountCall(prometheus::Family<prometheus::Counter>& calls,
                      std::string_view kind, std::string_view outcome) {
  calls.Add({{"kind", std::string(kind)}, {"outcome", std::string(outcome)}})
      .Increment();
}

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_METRIC_FAMILY_FUNC_H_

/** @file soak_runner_test.h Runs one seed of the soak in a test. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_RUNNER_TEST_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_RUNNER_TEST_H_

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <string>

#include "soak_check_func.h"
#include "soak_plan_func.h"
#include "soak_runner_base.h"

namespace sapphire::deploy::soak::testing {

/** Lower than kMinServedShare, because tests run concurrently with others on
 * machines of any speed. */
inline constexpr double kMinServedShareInTests = 0.7;
/** Half a second below the limit that is checked, because a busy machine runs
 * timers late and the tests do not check its speed. */
inline constexpr milliseconds kFreshWithinInTests{2500};

/** Runs a soak and reports each violated guarantee as a test error. */
inline SoakRecord RunPlan(const SoakPlan& plan) {
  const SoakPlan drawn = DrawFaults(plan);
  SoakOptions options;
  options.bin_dir = std::string(SAPPHIRE_BIN_DIR) + "/bin";
  options.directory = (std::filesystem::temp_directory_path() /
                       ("soak-" + std::to_string(::getpid())))
                          .string();
  options.fresh_within = kFreshWithinInTests;
  std::filesystem::create_directories(options.directory);
  SoakRecord record = SoakRunner(options, drawn).Run();
  BOOST_TEST_MESSAGE(Summary(record));
  for (const std::string& it : FindViolations(record, kMinServedShareInTests)) {
    BOOST_ERROR("seed " << plan.seed << ": " << it << "\n"
                        << DescribeFaults(drawn));
  }
  return record;
}

inline void RunSeed(std::uint64_t seed, int departures = 0,
                    bool organisations = false) {
  SoakPlan plan;
  plan.seed = seed;
  plan.departures = departures;
  plan.organisations = organisations;
  RunPlan(plan);
}

}  // namespace sapphire::deploy::soak::testing

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_RUNNER_TEST_H_

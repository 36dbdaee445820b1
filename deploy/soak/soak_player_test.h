/** @file soak_player_test.h Runs one seed of the soak in a test. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_PLAYER_TEST_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_PLAYER_TEST_H_

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <string>

#include "soak_judge_func.h"
#include "soak_plan_func.h"
#include "soak_world_base.h"

namespace sapphire::deploy::soak::testing {

/** Lower than kServedAtEnd, because tests run concurrently with others on
 * machines of any speed. */
inline constexpr double kServedInTests = 0.7;
/** Half a second below the limit that is checked, because a busy machine runs
 * timers late and the tests do not check its speed. */
inline constexpr milliseconds kFreshInTests{2500};

/** Runs a soak and reports each violated guarantee as a test error. */
inline SoakRecord PlayPlan(const SoakPlan& plan) {
  const SoakPlan drawn = DrawFaults(plan);
  SoakOptions options;
  options.bin_dir = std::string(SAPPHIRE_BIN_DIR) + "/bin";
  options.directory = (std::filesystem::temp_directory_path() /
                       ("soak-" + std::to_string(::getpid())))
                          .string();
  options.fresh_within = kFreshInTests;
  std::filesystem::create_directories(options.directory);
  SoakRecord record = SoakWorld(options, drawn).Play();
  BOOST_TEST_MESSAGE(Summary(record));
  for (const std::string& it : Judge(record, kServedInTests)) {
    BOOST_ERROR("seed " << plan.seed << ": " << it << "\n" << Describe(drawn));
  }
  return record;
}

inline void PlaySeed(std::uint64_t seed, int departures = 0,
                     bool organisations = false) {
  SoakPlan plan;
  plan.seed = seed;
  plan.departures = departures;
  plan.organisations = organisations;
  PlayPlan(plan);
}

}  // namespace sapphire::deploy::soak::testing

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_PLAYER_TEST_H_

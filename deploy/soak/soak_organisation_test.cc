/** @file soak_organisation_test.cc Tests a soak with revoked keys and an
 * exceeded quota, and the check of organisations. */
#define BOOST_TEST_MODULE soak_organisation
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

namespace {

constexpr milliseconds kAfterTheLimit{2100};

/** @return True if it is reported that a request ran for this organisation,
 * which was sent so long after its key went from org-0 to org-1. */
bool IsReported(milliseconds since_move, const std::string& organisation) {
  const core::SteadyTime moved = core::SteadyTime() + std::chrono::hours(1);
  Attempt attempt;
  attempt.id = "0-1";
  attempt.key = "key";
  attempt.sent = moved + since_move;
  attempt.ended = attempt.sent + milliseconds(100);
  SoakRecord record;
  record.attempts.push_back(attempt);
  record.key_changes.push_back({attempt.key, "org-0", core::SteadyTime()});
  record.key_changes.push_back({attempt.key, "org-1", moved});
  record.organisations.push_back({attempt.id, organisation, attempt.ended});
  return std::ranges::any_of(
      FindViolations(record, 0.0),
      [](const std::string& it) { return it.find("organisation") != it.npos; });
}

}  // namespace

BOOST_AUTO_TEST_CASE(OrganisationsThatDoNotHoldTheKeyAreReported) {
  for (const milliseconds it :
       {-kAfterTheLimit, milliseconds(-50), milliseconds(0), kAfterTheLimit}) {
    BOOST_TEST(IsReported(it, ""));
    BOOST_TEST(IsReported(it, "org-2"));
  }
  BOOST_TEST(IsReported(-kAfterTheLimit, "org-1"));
  BOOST_TEST(!IsReported(-kAfterTheLimit, "org-0"));
  for (const char* it : {"org-0", "org-1"}) {
    BOOST_TEST(!IsReported(milliseconds(-50), it));
    BOOST_TEST(!IsReported(milliseconds(1900), it));
  }
  BOOST_TEST(!IsReported(kAfterTheLimit, "org-1"));
  BOOST_TEST(IsReported(kAfterTheLimit, "org-0"));
}

/** Guards against serving revoked keys, rejecting valid keys and exceeding
 * quotas while entries and the store fail. */
BOOST_AUTO_TEST_CASE(KeysAndQuotasAreEnforcedUnderFaults) {
  constexpr std::uint64_t kSeed = 31;
  testing::RunSeed(kSeed, 0, true);
}

}  // namespace sapphire::deploy::soak

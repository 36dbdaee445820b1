/** @file request_budget_test.cc Tests of the limit of requests' memory. */
#define BOOST_TEST_MODULE request_budget
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>

#include "core/clock_base.h"
#include "http/request_budget_base.h"

namespace sapphire::http {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMax = 1024 * kKilobyte;
constexpr std::size_t kLarge = 256 * kKilobyte;
constexpr std::size_t kSmall = 32 * kKilobyte;
constexpr milliseconds kLong{5000};

struct Fixture {
  /** @return A share that counts how often it is given up. */
  std::unique_ptr<RequestShare> Begin() {
    return std::make_unique<RequestShare>(budget, [this] { ++given_up; });
  }

  core::ManualClock clock;
  std::shared_ptr<RequestBudget> budget =
      std::make_shared<RequestBudget>(kMax, clock);
  int given_up = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(SharesAreReturnedOnDestruction, Fixture) {
  {
    const auto share = Begin();
    BOOST_TEST(share->Resize(kLarge, kLarge));
    BOOST_TEST(budget->held() == kLarge);
  }
  BOOST_TEST(budget->held() == 0U);
}

/** Guards against small requests that are refused beside large ones. */
BOOST_FIXTURE_TEST_CASE(SmallRequestsHaveRoomBesideLargeOnes, Fixture) {
  const auto first = Begin();
  const auto second = Begin();
  const auto third = Begin();
  const auto fourth = Begin();
  BOOST_TEST(first->Resize(kLarge, kLarge));
  BOOST_TEST(second->Resize(kLarge, kLarge));
  BOOST_TEST(third->Resize(kLarge, kLarge));
  BOOST_TEST(!fourth->Resize(kLarge, kLarge));
  BOOST_TEST(fourth->Resize(kSmall, kSmall));
  BOOST_TEST(given_up == 0);
}

/** Guards against clients that keep all others out with bodies they never
 * finish, or send byte by byte. */
BOOST_FIXTURE_TEST_CASE(SlowestRequestIsGivenUpForAnother, Fixture) {
  const auto slow = Begin();
  const auto steady = Begin();
  BOOST_TEST(slow->Resize(kLarge, kLarge));
  BOOST_TEST(steady->Resize(kLarge, kLarge));
  clock.Advance(kLong);
  BOOST_TEST(slow->Resize(kLarge, kLarge + 1));
  BOOST_TEST(steady->Resize(kLarge, 2 * kLarge));
  const auto third = Begin();
  BOOST_TEST(third->Resize(2 * kLarge, 2 * kLarge));
  BOOST_TEST(given_up == 1);
  BOOST_TEST(slow->given_up());
  BOOST_TEST(!slow->Resize(kSmall, kLarge + 2));
  BOOST_TEST(!steady->given_up());
  BOOST_TEST(budget->held() == 3 * kLarge);
}

/** Guards against giving up a request that an engine may be running. */
BOOST_FIXTURE_TEST_CASE(CompleteRequestsAreNotGivenUp, Fixture) {
  const auto whole = Begin();
  BOOST_TEST(whole->Resize(2 * kLarge, 2 * kLarge));
  BOOST_TEST(whole->Complete(2 * kLarge));
  clock.Advance(kLong);
  const auto other = Begin();
  BOOST_TEST(!other->Resize(2 * kLarge, 2 * kLarge));
  BOOST_TEST(!other->HasRoom(2 * kLarge));
  BOOST_TEST(!whole->given_up());
}

}  // namespace sapphire::http

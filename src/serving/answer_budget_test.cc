/** @file answer_budget_test.cc Tests of the limit of answers held. */
#define BOOST_TEST_MODULE answer_budget
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "serving/answer_budget_base.h"

namespace sapphire::serving {

BOOST_AUTO_TEST_CASE(SharesAreReturnedOnDestruction) {
  const auto budget = std::make_shared<AnswerBudget>(100);
  BudgetShare first(budget);
  BOOST_TEST(first.Resize(60));
  {
    BudgetShare second(budget);
    BOOST_TEST(!second.Resize(41));
    BOOST_TEST(second.Resize(40));
    BOOST_TEST(budget->held() == 100U);
  }
  BOOST_TEST(budget->held() == 60U);
  BOOST_TEST(first.Resize(10));
  BOOST_TEST(budget->held() == 10U);
}

/** Guards against memory beyond the budget: a string that grows by itself takes
 * up to twice its size. */
BOOST_AUTO_TEST_CASE(BodyOccupiesNoMoreThanItsShare) {
  constexpr std::size_t kMax = 1024 * 1024;
  const auto budget = std::make_shared<AnswerBudget>(kMax);
  BudgetShare share(budget);
  std::string body;
  const std::string part(1000, 'x');
  while (body.size() + part.size() <= kMax) {
    BOOST_TEST_REQUIRE(AppendWithin(body, part, kMax, share) == "");
    BOOST_TEST_REQUIRE(body.capacity() <= budget->held());
  }
  BOOST_TEST(AppendWithin(body, part, kMax, share) ==
             "the answer exceeds 1048576 bytes");
  BOOST_TEST(body.size() == kMax / part.size() * part.size());
}

/** Guards against a process that is killed because many answers that are each
 * within their limit arrive at once. */
BOOST_AUTO_TEST_CASE(AnswersShareOneBudget) {
  const auto budget = std::make_shared<AnswerBudget>(2500);
  const std::string part(1000, 'x');
  BudgetShare first(budget);
  BudgetShare second(budget);
  std::string body;
  std::string other;
  BOOST_TEST(AppendWithin(body, part, 2000, first) == "");
  BOOST_TEST(AppendWithin(other, part, 2000, second) == "");
  BOOST_TEST(AppendWithin(other, part, 2000, second) ==
             "the answers held exceed 2500 bytes");
  BOOST_TEST(other == part);
}

}  // namespace sapphire::serving

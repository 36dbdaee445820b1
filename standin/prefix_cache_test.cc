/** @file prefix_cache_test.cc Tests matching, limits and eviction order. */
#define BOOST_TEST_MODULE prefix_cache
#include <boost/test/unit_test.hpp>
#include <string>

#include "standin/prefix_cache_base.h"

namespace sapphire::standin {
namespace {

BOOST_AUTO_TEST_CASE(MatchesWholeLeadingBlocks) {
  PrefixCache cache(2);
  const std::string shared(300, 's');
  cache.Insert(shared + std::string(300, 'a'));
  BOOST_TEST(cache.bytes() == 2 * 2 * 256);
  BOOST_TEST(cache.Match(shared + std::string(300, 'b')) == 256U);
  BOOST_TEST(cache.Match("x" + shared) == 0U);
}

BOOST_AUTO_TEST_CASE(EvictsTheLeastRecentlyUsed) {
  PrefixCache cache(1);
  const std::string old_prompt(256, 'o');
  const std::string new_prompt(256, 'n');
  cache.Insert(old_prompt);
  cache.Insert(new_prompt);
  BOOST_TEST(cache.Match(old_prompt) == 256U);
  cache.EvictTo(300);
  BOOST_TEST(cache.Match(new_prompt) == 0U);
  BOOST_TEST(cache.Match(old_prompt) == 256U);
  cache.EvictTo(-1);
  BOOST_TEST(cache.bytes() == 0);
}

}  // namespace
}  // namespace sapphire::standin

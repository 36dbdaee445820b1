/** @file kv_store_test.cc Tests swaps, leases and watches of KvStore. */
#define BOOST_TEST_MODULE kv_store
#include <boost/test/unit_test.hpp>

#include "core/error_type.h"
#include "standin/kv_store_base.h"

namespace sapphire::standin {
namespace {

using core::Millis;

struct Fixture {
  core::ManualClock clock;
  KvStore store{2, clock};
};

BOOST_FIXTURE_TEST_CASE(SwapsOnlyAtTheExpectedRevision, Fixture) {
  BOOST_TEST(store.CompareAndSwap("a", 0, "1", "").revision == 1);
  const auto refused = store.CompareAndSwap("a", 0, "2", "");
  BOOST_TEST(!refused.swapped);
  BOOST_TEST(refused.current->value == "1");
  BOOST_TEST(!store.CompareAndSwap("b", 1, "2", "").swapped);
  BOOST_TEST(store.CompareAndSwap("a", 1, "2", "").swapped);
  BOOST_TEST(!store.DeleteIf("a", 1));
  BOOST_TEST(store.DeleteIf("a", 2));
  // A deleted key counts as absent, and its old revision is never reused.
  BOOST_TEST(!store.CompareAndSwap("a", 2, "3", "").swapped);
  BOOST_TEST(store.CompareAndSwap("a", 0, "3", "").revision == 4);
}

BOOST_FIXTURE_TEST_CASE(ExpiredLeaseDeletesItsKeys, Fixture) {
  const auto lease = store.GrantLease(Millis(100));
  store.CompareAndSwap("a", 0, "1", lease.id);
  clock.Advance(Millis(99));
  BOOST_TEST(store.KeepAlive(lease.id));
  clock.Advance(Millis(99));
  BOOST_TEST(store.Get("a").has_value());
  clock.Advance(Millis(1));
  BOOST_TEST(!store.Get("a").has_value());
  BOOST_TEST(!store.KeepAlive(lease.id));
  BOOST_CHECK_THROW(store.CompareAndSwap("a", 0, "1", lease.id), core::Error);
  BOOST_TEST(!store.ChangesAfter("a", 1).events.at(0).value.has_value());
}

BOOST_FIXTURE_TEST_CASE(DroppedHistoryCausesGap, Fixture) {
  store.CompareAndSwap("a", 0, "1", "");
  store.CompareAndSwap("b", 0, "2", "");
  BOOST_TEST(store.ChangesAfter("", 0).events.size() == 2U);
  BOOST_TEST(store.ChangesAfter("b", 0).events.size() == 1U);
  store.CompareAndSwap("c", 0, "3", "");
  BOOST_TEST(store.ChangesAfter("", 0).gap);
  BOOST_TEST(!store.ChangesAfter("", 1).gap);
  // A revision that this store has not reached.
  BOOST_TEST(store.ChangesAfter("", 9).gap);
}

}  // namespace
}  // namespace sapphire::standin

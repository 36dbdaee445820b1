/** @file memory_ledger_test.cc Compares the memory ledger with a naive one. */
#define BOOST_TEST_MODULE memory_ledger
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "endpoint/memory_ledger_func.h"

namespace sapphire::endpoint {

namespace {

/** Naive version: a list that is summed up for every query. */
struct NaiveLedger {
  std::int64_t capacity = 0;
  std::vector<std::pair<MemoryHolder, std::int64_t>> held;

  [[nodiscard]] std::int64_t Total() const {
    std::int64_t total = 0;
    for (const auto& [holder, bytes] : held) total += bytes;
    return total;
  }
  bool Reserve(const MemoryHolder& holder, std::int64_t bytes) {
    for (const auto& [it, n] : held) {
      if (it == holder) return false;
    }
    if (bytes < 0 || Total() + bytes > capacity) return false;
    held.emplace_back(holder, bytes);
    return true;
  }
  void Release(const MemoryHolder& holder) {
    std::erase_if(held, [&](const auto& it) {
      return it.first == holder ||
             (holder.adapter.empty() && it.first.model == holder.model);
    });
  }
};

MemoryHolder RandomHolder(std::mt19937& random) {
  MemoryHolder holder{core::ModelId("m" + std::to_string(random() % 4)), {}};
  const auto adapter = random() % 4;
  if (adapter > 0) {
    holder.adapter = core::AdapterId("a" + std::to_string(adapter));
  }
  return holder;
}

}  // namespace

// Failure: an engine crashes because a second model is loaded into memory that
// an adapter already uses. The running total had drifted from the reservations
// over a sequence of loads, unloads and refusals.
BOOST_AUTO_TEST_CASE(AgreesWithNaiveLedgerOverRandomSequences) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    MemoryLedger ledger;
    NaiveLedger naive;
    ledger.capacity_bytes = naive.capacity = 100;
    for (int i = 0; i < 300; ++i) {
      const MemoryHolder holder = RandomHolder(random);
      if (random() % 3 == 0) {
        Release(ledger, holder);
        naive.Release(holder);
      } else {
        const auto bytes = static_cast<std::int64_t>(random() % 60) - 2;
        BOOST_REQUIRE_EQUAL(Reserve(ledger, holder, bytes),
                            naive.Reserve(holder, bytes));
      }
      BOOST_REQUIRE_EQUAL(ledger.reserved_bytes, naive.Total());
      BOOST_REQUIRE_LE(ledger.reserved_bytes, ledger.capacity_bytes);
    }
  }
}

// After a restart the engine may hold more than the ledger's capacity. All of
// it must be counted, and nothing more may be reserved.
BOOST_AUTO_TEST_CASE(HeldMemoryIsRecordedEvenOverCapacity) {
  MemoryLedger ledger;
  ledger.capacity_bytes = 100;
  const MemoryHolder held{core::ModelId("held"), {}};
  RecordHeld(ledger, held, 120);
  RecordHeld(ledger, held, 90);
  BOOST_TEST(ledger.reserved_bytes == 120);
  BOOST_TEST(FreeBytes(ledger) == 0);
  BOOST_TEST(!Reserve(ledger, {core::ModelId("other"), {}}, 1));
  Release(ledger, held);
  BOOST_TEST(FreeBytes(ledger) == 100);
}

}  // namespace sapphire::endpoint

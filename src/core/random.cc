/** @file random.cc Random identifiers and 64-bit hashes. */
#include <fmt/format.h>
#include <xxhash.h>

#include <random>

#include "core/random_func.h"

namespace sapphire::core {

namespace {

std::uint64_t Random64() {
  thread_local std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace

std::string RandomHexId() { return fmt::format("{:016x}", Random64()); }

std::int64_t RandomPositive() {
  return static_cast<std::int64_t>(Random64() >> 1) | 1;
}

std::uint64_t HashOf(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::string HashHex(std::string_view bytes) {
  return fmt::format("{:016x}", HashOf(bytes));
}

}  // namespace sapphire::core

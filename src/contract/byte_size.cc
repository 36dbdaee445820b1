/** @file byte_size.cc Parses and formats byte sizes such as "8 GiB". */
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cmath>

#include "contract/byte_size_func.h"

namespace sapphire::contract {

namespace {

struct Unit {
  std::string_view name;
  std::int64_t bytes;
};

/** Ascending: FormatByteSize uses the last unit that divides the size. */
constexpr std::array kUnits = {
    Unit{"B", 1},           Unit{"KB", 1'000},
    Unit{"KiB", 1LL << 10}, Unit{"MB", 1'000'000},
    Unit{"MiB", 1LL << 20}, Unit{"GB", 1'000'000'000},
    Unit{"GiB", 1LL << 30}, Unit{"TB", 1'000'000'000'000},
    Unit{"TiB", 1LL << 40},
};

/** Above this a double can't represent every integer. */
constexpr double kMaxBytes = 9e15;

const Unit* FindUnit(std::string_view name) {
  for (const Unit& unit : kUnits) {
    if (unit.name == name) return &unit;
  }
  return nullptr;
}

}  // namespace

std::optional<std::int64_t> ParseByteSize(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc()) return std::nullopt;
  std::string_view unit_name(rest, static_cast<std::size_t>(end - rest));
  while (unit_name.starts_with(' ')) unit_name.remove_prefix(1);
  const Unit* unit = FindUnit(unit_name);
  if (unit == nullptr) return std::nullopt;
  const double bytes = number * static_cast<double>(unit->bytes);
  if (!(bytes >= 0 && bytes <= kMaxBytes)) return std::nullopt;
  return std::llround(bytes);
}

std::string FormatByteSize(std::int64_t bytes) {
  const Unit* best = kUnits.data();
  for (const Unit& unit : kUnits) {
    if (bytes != 0 && bytes % unit.bytes == 0) best = &unit;
  }
  return fmt::format("{} {}", bytes / best->bytes, best->name);
}

}  // namespace sapphire::contract

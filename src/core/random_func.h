/** @file random_func.h Random identifiers and 64-bit hashes. */
#ifndef SAPPHIRE_CORE_RANDOM_FUNC_H_
#define SAPPHIRE_CORE_RANDOM_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphire::core {

/** @return 16 hexadecimal digits from the operating system's random source. */
std::string RandomHexId();

/** @return A random positive 63-bit number, never 0. */
std::int64_t RandomPositive();

/** @return xxHash64 of the bytes; the same in all processes and versions. */
std::uint64_t HashOf(std::string_view bytes, std::uint64_t seed = 0);

/** @return The hash as 16 hexadecimal digits. */
std::string HashHex(std::string_view bytes);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_RANDOM_FUNC_H_

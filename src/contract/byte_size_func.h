/** @file byte_size_func.h Parses and formats byte sizes such as "8 GiB". */
#ifndef SAPPHIRE_CONTRACT_BYTE_SIZE_FUNC_H_
#define SAPPHIRE_CONTRACT_BYTE_SIZE_FUNC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphire::contract {

/** @return The bytes of a text like "8 GiB", "1.5 GB" or "300 B"; nothing if
 * the text is invalid. */
std::optional<std::int64_t> ParseByteSize(std::string_view text);

/** @return The size with the largest unit that gives a whole number. */
std::string FormatByteSize(std::int64_t bytes);

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_BYTE_SIZE_FUNC_H_

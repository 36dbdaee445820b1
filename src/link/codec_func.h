/** @file codec_func.h Encodes frames to bytes and decodes them. */
#ifndef SAPPHIRE_LINK_CODEC_FUNC_H_
#define SAPPHIRE_LINK_CODEC_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "gen/link_types.h"

namespace sapphire::link {

/** Size of the big-endian length prefix of each frame. */
constexpr std::size_t kLengthBytes = 4;

/** @return The length prefix and the frame in TCompactProtocol. */
std::string EncodeFrame(const gen::Frame& frame);

/**
 * @param body A frame without its length prefix.
 * @throws core::Error kMalformedRequest if `body` is not a valid frame.
 */
gen::Frame DecodeFrame(std::string_view body);

/** @param bytes A length prefix of kLengthBytes bytes. */
std::uint32_t DecodeLength(std::string_view bytes);

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_CODEC_FUNC_H_

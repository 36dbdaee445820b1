/** @file codec_func.h Frames as bytes. */
#ifndef SAPPHIRE_LINK_CODEC_FUNC_H_
#define SAPPHIRE_LINK_CODEC_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "gen/link_types.h"

namespace sapphire::link {

/** Bytes of the length that goes before each frame, big-endian. */
constexpr std::size_t kLengthBytes = 4;

/** @return Length and frame in TCompactProtocol. */
std::string EncodeFrame(const gen::Frame& frame);

/**
 * @param body A frame without its length.
 * @throws core::Error kMalformedRequest if it is no frame.
 */
gen::Frame DecodeFrame(std::string_view body);

/** @return The length that these kLengthBytes bytes tell. */
std::uint32_t DecodeLength(std::string_view bytes);

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_CODEC_FUNC_H_

/** @file codec.cc Encodes and decodes frames in Thrift's compact protocol. */
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

#include "core/error_type.h"
#include "link/codec_func.h"
#include "link/thrift_decode_func.h"

namespace sapphire::link {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

namespace {

constexpr int kBitsPerByte = 8;

std::string EncodeLength(std::uint32_t length) {
  std::string bytes(kLengthBytes, '\0');
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    const auto shift = kBitsPerByte * (kLengthBytes - 1 - i);
    bytes[i] = static_cast<char>(length >> shift);
  }
  return bytes;
}

}  // namespace

std::string EncodeFrame(const gen::Frame& frame) {
  const auto buf = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buf);
  frame.write(&protocol);
  const std::string body = buf->getBufferAsString();
  return EncodeLength(static_cast<std::uint32_t>(body.size())) + body;
}

gen::Frame DecodeFrame(std::string_view body) {
  try {
    return DecodeThrift<gen::Frame>(body);
  } catch (const apache::thrift::TException& e) {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      std::string("link frame: ") + e.what());
  }
}

std::uint32_t DecodeLength(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << kBitsPerByte) | static_cast<std::uint8_t>(bytes[i]);
  }
  return length;
}

}  // namespace sapphire::link

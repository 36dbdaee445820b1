/** @file thrift_decode_func.h Decodes Thrift messages that strangers may have
 * sent. */
#ifndef SAPPHIRE_LINK_THRIFT_DECODE_FUNC_H_
#define SAPPHIRE_LINK_THRIFT_DECODE_FUNC_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string_view>

namespace sapphire::link {

/**
 * Decodes a message in Thrift's compact protocol. No list or string may be
 * longer than the message: Thrift makes room for as many elements as a list
 * claims to have before it reads them.
 * @throws apache::thrift::TException if the bytes are no such message.
 */
template <typename T>
T DecodeThrift(std::string_view bytes) {
  using apache::thrift::protocol::TCompactProtocol;
  using apache::thrift::transport::TMemoryBuffer;
  // TMemoryBuffer takes a mutable pointer, but only reads in OBSERVE mode.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  const auto size = static_cast<std::uint32_t>(bytes.size());
  const auto buf =
      std::make_shared<TMemoryBuffer>(data, size, TMemoryBuffer::OBSERVE);
  // A limit of 0 would mean none.
  const auto limit = static_cast<std::int32_t>(std::max(size, 1U));
  TCompactProtocol protocol(buf, limit, limit);
  T message;
  message.read(&protocol);
  return message;
}

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_THRIFT_DECODE_FUNC_H_

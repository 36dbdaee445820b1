/** @file entry_message.cc Encodes and decodes the messages between entries
 * and their values in the store. */
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <chrono>
#include <memory>

#include "core/address_func.h"
#include "core/error_type.h"
#include "fleet/entry_message_func.h"
#include "link/thrift_decode_func.h"

namespace sapphire::fleet {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;
using std::chrono::milliseconds;

namespace {

constexpr double kPerThousandSeconds = 1000;
/** Idle time that is sent for a part without any known use. */
constexpr std::int64_t kNeverUsed = -1;

template <typename T>
std::string EncodeAny(const T& message) {
  const auto buf = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buf);
  message.write(&protocol);
  return buf->getBufferAsString();
}

template <typename T>
T DecodeAny(std::string_view bytes) {
  try {
    return link::DecodeThrift<T>(bytes);
  } catch (const apache::thrift::TException& e) {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      std::string("malformed entry message: ") + e.what());
  }
}

}  // namespace

std::string Encode(const gen::EntryPresence& presence) {
  return EncodeAny(presence);
}

std::string Encode(const gen::EntryDatagram& datagram) {
  return EncodeAny(datagram);
}

std::string Encode(const gen::EngineHolder& holder) {
  return EncodeAny(holder);
}

std::string Encode(const gen::ServiceVersions& versions) {
  return EncodeAny(versions);
}

gen::ServiceVersions DecodeServiceVersions(std::string_view bytes) {
  return DecodeAny<gen::ServiceVersions>(bytes);
}

gen::EngineHolder DecodeEngineHolder(std::string_view bytes) {
  gen::EngineHolder holder = DecodeAny<gen::EngineHolder>(bytes);
  core::ParseAddress(holder.address);
  return holder;
}

gen::EntryPresence DecodePresence(std::string_view bytes) {
  gen::EntryPresence presence = DecodeAny<gen::EntryPresence>(bytes);
  core::ParseAddress(presence.address);
  return presence;
}

gen::EntryDatagram DecodeDatagram(std::string_view bytes) {
  gen::EntryDatagram datagram = DecodeAny<gen::EntryDatagram>(bytes);
  // Bytes from an unrelated sender may decode as a message without fields.
  const bool has_sender =
      (datagram.__isset.record && !datagram.record.entry.empty()) ||
      (datagram.__isset.quota_ask && !datagram.quota_ask.entry.empty()) ||
      (datagram.__isset.quota_answer && !datagram.quota_answer.entry.empty()) ||
      (datagram.__isset.engine_ask && !datagram.engine_ask.entry.empty()) ||
      (datagram.__isset.engine_answer &&
       !datagram.engine_answer.entry.empty()) ||
      (datagram.__isset.stream_origins &&
       !datagram.stream_origins.entry.empty()) ||
      (datagram.__isset.stream_ask && !datagram.stream_ask.entry.empty()) ||
      (datagram.__isset.stream_answer &&
       !datagram.stream_answer.entry.empty()) ||
      (datagram.__isset.crash_evidence &&
       !datagram.crash_evidence.entry.empty());
  if (!has_sender) {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      "malformed entry message: no sender");
  }
  return datagram;
}

gen::ResidentUse MakeResidentUse(const ModelOrAdapter& part, const Usage& usage,
                                 core::SteadyTime now) {
  gen::ResidentUse use;
  use.model = part.model.value();
  use.adapter = part.adapter.value();
  use.running = usage.running;
  use.demand_per_1000_s =
      static_cast<std::int64_t>(usage.demand * kPerThousandSeconds);
  use.idle_ms = kNeverUsed;
  if (usage.last_begun) {
    const auto idle =
        std::chrono::duration_cast<milliseconds>(now - *usage.last_begun);
    use.idle_ms = idle.count();
  }
  return use;
}

Usage ParseResidentUse(const gen::ResidentUse& use, core::SteadyTime now) {
  Usage usage;
  usage.running = std::max(use.running, 0);
  usage.demand =
      static_cast<double>(use.demand_per_1000_s) / kPerThousandSeconds;
  if (use.idle_ms >= 0) usage.last_begun = now - milliseconds(use.idle_ms);
  return usage;
}

ModelOrAdapter PartOf(const gen::ResidentUse& use) {
  return {core::ModelId(use.model), core::AdapterId(use.adapter)};
}

}  // namespace sapphire::fleet

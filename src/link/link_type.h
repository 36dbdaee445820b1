/** @file link_type.h Plain types of the links between our processes. */
#ifndef SAPPHIRE_LINK_LINK_TYPE_H_
#define SAPPHIRE_LINK_LINK_TYPE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/error_type.h"
#include "core/id_type.h"
#include "core/task_type.h"
#include "gen/link_types.h"

namespace sapphire::link {

/** What the other side said of itself, and what was seen of it since. */
struct PeerInfo {
  core::VmId vm;
  core::ZoneId zone;
  gen::Role::type role = gen::Role::ENTRY;
  std::int64_t incarnation = 0;
  std::string listen_address;
  /** Newest configuration version seen in its frames. */
  std::int64_t config_version = 0;
};

struct LinkOptions {
  /** Who this process is; listen_address is filled in by LinkNode::Listen. */
  gen::Hello self;
  std::chrono::milliseconds heartbeat_interval{500};
  /** Without a frame for this long a link counts as lost. */
  std::chrono::milliseconds dead_after{2000};
  std::chrono::milliseconds connect_timeout{1000};
  /** A link without a call for this long is closed; 0: never. Processes that
   * ask each other now and then keep no link for it: hundreds of them would
   * send heartbeats to hundreds. */
  std::chrono::milliseconds idle_close{0};
  /** Messages a sender may have outstanding on one call. */
  int window = 64;
  /** Longest frame accepted, bytes. */
  std::int32_t max_frame_bytes = 4 * 1024 * 1024;
};

/** Counters of one process's links. */
struct LinkCounters {
  std::int64_t frames_sent = 0;
  std::int64_t frames_received = 0;
  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
  /** Frames of a call that is over or was never known here. */
  std::int64_t frames_dropped = 0;
  std::int64_t links_lost = 0;
};

/** @return The Refusal that tells a peer of `error`. */
gen::Refusal ToRefusal(const core::Error& error);

/** @return The error a peer's Refusal tells of. */
core::Error FromRefusal(const gen::Refusal& refusal);

/** @return The name of the field set in `message`, for logs and errors. */
std::string KindOf(const gen::Message& message);

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_LINK_TYPE_H_

/** @file link_type.h Options, counters and helper functions of the links
 * between sapphireyoke's processes. */
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

/** The peer's Hello, and the newest configuration version received from it. */
struct PeerInfo {
  core::VmId vm;
  core::ZoneId zone;
  gen::Role::type role = gen::Role::ENTRY;
  std::int64_t incarnation = 0;
  std::string listen_address;
  /** Highest configuration version in the peer's frames. */
  std::int64_t config_version = 0;
};

struct LinkOptions {
  /** Sent to every peer; LinkNode::Listen sets listen_address. */
  gen::Hello self;
  std::chrono::milliseconds heartbeat_interval{500};
  /** A link on which no frame arrives for this long counts as lost. */
  std::chrono::milliseconds dead_after{2000};
  std::chrono::milliseconds connect_timeout{1000};
  /** A link without a call for this long is closed; 0: never. Used by processes
   * that call each other only rarely: with links kept open, hundreds of them
   * would each send heartbeats to hundreds of others. */
  std::chrono::milliseconds idle_timeout{0};
  /** Messages a sender may have outstanding on one call. */
  int window = 64;
  /** Largest frame accepted, in bytes. */
  std::int32_t max_frame_bytes = 4 * 1024 * 1024;
  /** Most bytes of incomplete frames, of all links together. Small frames are
   * accepted beyond it. */
  std::size_t max_incomplete_bytes = 64 * 1024 * 1024;
  /** Most bytes that wait to be sent on one link; beyond, its peer does not
   * read and the link is closed. */
  std::size_t max_outgoing_bytes = 64 * 1024 * 1024;
  /** Most links that others may have opened. Beyond, the one is closed whose
   * Hello has been due for the longest, then one without calls; else the new
   * one. */
  std::size_t max_accepted_links = 1024;
  /** Most calls that one peer may have open. */
  std::size_t max_accepted_calls = 16 * 1024;
};

/** @return `options` with the limits of processes on the users' platform, whose
 * calls are few and small: an order's lists of models take a few kB. */
LinkOptions WithSmallLimits(LinkOptions options);

/** Counters over all links of a process. */
struct LinkCounters {
  std::int64_t frames_sent = 0;
  std::int64_t frames_received = 0;
  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
  /** Received frames of calls that have ended or are unknown. */
  std::int64_t frames_dropped = 0;
  std::int64_t links_lost = 0;
};

/** @return `error` as a Refusal. */
gen::Refusal ToRefusal(const core::Error& error);

/** @return The error that a peer sent as a Refusal. */
core::Error FromRefusal(const gen::Refusal& refusal);

/** @return The name of the field set in `message`, for logs and errors. */
std::string KindOf(const gen::Message& message);

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_LINK_TYPE_H_

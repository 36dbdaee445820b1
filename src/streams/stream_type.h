/** @file stream_type.h The software version that began a stream. */
#ifndef SAPPHIRE_STREAMS_STREAM_TYPE_H_
#define SAPPHIRE_STREAMS_STREAM_TYPE_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "core/clock_base.h"
#include "core/id_type.h"
#include "fleet/engine_type.h"

namespace sapphire::streams {

using std::chrono::milliseconds;

/** Time after its first event for which callers may still take a stream up,
 * unless a route allows longer streams; they rarely wait longer. */
inline constexpr milliseconds kMinStreamAge{60'000};

/** Which software version began a stream. */
struct StreamOrigin {
  /** The caller's attempt that received the stream's first event. */
  core::RequestId attempt;
  core::ServiceId service;
  fleet::SoftwareVersion version;
  /** When the stream began or was last taken up. */
  core::SteadyTime at;
};

/** How the version that began a stream was found. */
enum class OriginSource {
  kOwnRecord,
  kPeer,
  kOnlyVersion,  ///< No other version has served lately.
  kUnknown,
};

/** @return The source's name in log lines and metrics. */
std::string_view NameOf(OriginSource source);

/** Evidence of an entry in its search for the version that began a stream. */
struct OriginEvidence {
  /** Number of versions that have lately served, as this entry knows. */
  int recent_versions = 0;
  /** Number of versions that the store's key of the service names; nothing if
   * there is none or it was not read. */
  std::optional<int> stored_versions;
  /** For how long this entry has seen each change of the engines; nothing
   * before the first listing. */
  std::optional<milliseconds> followed;
  /** True if this entry's view of the store may be behind. */
  bool view_late = false;
  /** Number of other entries that have answered. */
  int answered = 0;
  /** True if one of them knows all versions that have lately served. */
  bool vouched = false;
};

/** Result of a search for the version that began a stream. */
struct OriginLookup {
  OriginSource source = OriginSource::kUnknown;
  /** Set unless the source is kUnknown. */
  std::optional<fleet::SoftwareVersion> version;
  /** Age of the record, if one was found. */
  milliseconds age{0};
  /** Number of entries that were asked. */
  int asked = 0;
  OriginEvidence evidence;
};

}  // namespace sapphire::streams

#endif  // SAPPHIRE_STREAMS_STREAM_TYPE_H_

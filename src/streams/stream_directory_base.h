/** @file stream_directory_base.h Finds the software version that began a
 * stream, with the other entries. */
#ifndef SAPPHIRE_STREAMS_STREAM_DIRECTORY_BASE_H_
#define SAPPHIRE_STREAMS_STREAM_DIRECTORY_BASE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/random_func.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "fleet/peer_table_base.h"
#include "gen/link_types.h"
#include "streams/origin_table_base.h"
#include "streams/stream_type.h"
#include "streams/version_history_base.h"

namespace sapphire::streams {

struct DirectoryOptions {
  /** Key of this entry's presence in the store. */
  std::string entry;
  /** Other entries that keep a stream's origin. The entry that began the stream
   * keeps it too; it is often the one that has failed. */
  std::size_t holders = 3;
  /** The holders are asked first, and all others after this time without an
   * answer: since the stream began, entries may have joined or left. A datagram
   * and its answer take a few milliseconds. */
  milliseconds holder_timeout{40};
  /** Time after which the origin counts as unknown. */
  milliseconds timeout{200};
};

/**
 * Tells which software version began a stream that a caller takes up at any
 * entry.
 *
 * An entry records the origin of each stream that it begins. While several
 * versions serve, it also sends the origin, with the stream's first event, to
 * the entries that come first by rendezvous hashing of the attempt's id. An
 * entry that has to go on with the stream asks these, then all others. It asks
 * even if it knows one version only, as its view of the store may be behind.
 *
 * Uses no network: it sends messages through a function. Not thread-safe.
 */
class StreamDirectory {
 public:
  using Send = std::function<void(const std::string& address,
                                  const gen::EntryDatagram& datagram)>;

  /**
   * @param view_is_current Returns false while the store can't be followed.
   * @pre All references outlive the directory.
   */
  StreamDirectory(DirectoryOptions options, VersionHistory& history,
                  const fleet::PeerTable& peer_table,
                  std::function<bool()> view_is_current, Send send,
                  const core::Clock& clock);

  /** Sets the longest time that an attempt's stream may last. Its caller may
   * take it up for as long again. */
  void SetLongestStream(milliseconds time);

  /** Records that the attempt's stream begins, or is taken up, at a version. */
  void Record(const core::RequestId& attempt, const core::ServiceId& service,
              const fleet::SoftwareVersion& version);

  /** Finds the version that began the attempt's stream. */
  core::Task<OriginLookup> Find(core::RequestId attempt,
                                core::ServiceId service);

  void OnOrigins(const gen::StreamOrigins& message);
  /** @param address Address to which the answer is sent. */
  void OnAsk(const gen::StreamAsk& ask, const std::string& address);
  void OnAnswer(const gen::StreamAnswer& answer);

  /** Removes old origins and publishes those of services that several versions
   * have begun to serve. To be called at short intervals. */
  void Maintain();

  /** Sends all origins of services with several versions to their holders: this
   * entry is about to leave. */
  void HandOver();

  /** @return Number of recorded origins. */
  [[nodiscard]] std::size_t size() const { return table_.origins().size(); }

 private:
  /** A search in progress. */
  struct Search {
    core::ServiceId service;
    gen::EntryDatagram question;
    /** All other entries, those that keep the origin first. */
    std::vector<fleet::Peer> peers;
    /** Entries that have not answered yet. */
    std::set<std::string> unanswered;
    /** Number of the peers that were asked. */
    std::size_t asked = 0;
    /** Number of answers of other entries. */
    int answered = 0;
    /** Versions named by entries that know all of them; nothing if none has
     * answered. */
    std::optional<VersionSet> vouched;
    std::optional<StreamOrigin> found;
    core::Signal changed;
  };

  void Publish(const StreamOrigin& origin);
  void PublishAll(const std::set<core::ServiceId>& services);
  void SendOrigins(const std::string& address, gen::StreamOrigins message);
  std::shared_ptr<Search> BeginSearch(const core::RequestId& attempt,
                                      const core::ServiceId& service);
  void AskUpTo(Search& search, std::size_t n);
  core::Task<> RunSearch(std::shared_ptr<Search> search);
  [[nodiscard]] OriginEvidence EvidenceOf(const core::ServiceId& service);
  [[nodiscard]] bool KnowsAllVersions(const core::ServiceId& service) const;
  [[nodiscard]] std::optional<fleet::SoftwareVersion> OnlyVersion(
      const Search& search);
  core::Task<> Await(std::shared_ptr<Search> search, core::SteadyTime until);
  [[nodiscard]] gen::StreamOrigin ToMessage(const StreamOrigin& origin) const;
  [[nodiscard]] StreamOrigin FromMessage(const gen::StreamOrigin& origin) const;

  const DirectoryOptions options_;
  VersionHistory& history_;
  const fleet::PeerTable& peer_table_;
  const std::function<bool()> view_is_current_;
  const Send send_;
  const core::Clock& clock_;
  OriginTable table_;
  /** Random at the start: answers to the process that ran here before must not
   * match a question. */
  std::int64_t last_number_ = core::RandomPositive() / 2;
  std::map<std::int64_t, std::shared_ptr<Search>> searches_;
  /** Services whose origins are published as their streams begin. */
  std::set<core::ServiceId> published_;
};

}  // namespace sapphire::streams

#endif  // SAPPHIRE_STREAMS_STREAM_DIRECTORY_BASE_H_

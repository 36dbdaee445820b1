/** @file directory_base.h What this entry knows of the fleet. */
#ifndef SAPPHIRE_ENTRY_DIRECTORY_BASE_H_
#define SAPPHIRE_ENTRY_DIRECTORY_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "external/vm_list_base.h"
#include "link/link_base.h"

namespace sapphire::entry {

/** One endpoint as last reported over its link. */
struct KnownEndpoint {
  core::EndpointId id;
  std::string address;
  gen::EndpointReport report;
  /** When the report came. */
  core::SteadyTime reported_at;
  /** False once its link is lost. */
  bool connected = false;
  /** As the platform's list or the endpoint itself says. */
  bool leaving = false;
  /** Grows with each change of any endpoint: tells newer from older when
   * listeners on several threads are told out of order. */
  std::uint64_t revision = 0;
};

/** One live entry, this one included. */
struct KnownEntry {
  core::VmId vm;
  core::ZoneId zone;
  std::string address;
};

struct DirectoryOptions {
  core::VmId self;
  std::chrono::milliseconds list_interval{1000};
  /** A VM missing from the list for this long counts as gone. */
  std::chrono::milliseconds gone_grace{10000};
  /** Longest pause between two tries to subscribe to one endpoint. */
  std::chrono::milliseconds max_backoff{2000};
  /** Without a report for this long an endpoint is subscribed to anew. */
  std::chrono::milliseconds report_timeout{10000};
  /** With more entries than this, only those noted as unreachable are probed:
   * a full mesh of links costs each entry more than its share of traffic. */
  std::size_t max_probed_entries = 32;
};

/**
 * Follows the platform's VM list and subscribes to each endpoint's reports.
 * The list may lag, and its service may be down: the last list stays in use,
 * and a lost link is acted on at once.
 */
class Directory {
 public:
  /** @pre All references outlive the directory. */
  Directory(const core::Executor& executor, DirectoryOptions options,
            external::VmList& vm_list, link::LinkNode& links,
            const core::Clock& clock, const core::Logger& log);
  ~Directory();

  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  /** Begins to follow the list. */
  void Start();
  void Stop();

  /** @return All endpoints with at least one report. */
  [[nodiscard]] std::vector<KnownEndpoint> Endpoints() const;
  [[nodiscard]] std::optional<KnownEndpoint> Find(
      const core::EndpointId& id) const;

  /** @return Live entries that are not leaving, always including this one
   * unless this one leaves. */
  [[nodiscard]] std::vector<KnownEntry> Entries() const;

  /** Drops an entry from Entries until the list next shows it with a link up:
   * a home that can't be reached is passed over. */
  void NoteUnreachable(const core::VmId& entry);

  /** Marks this entry as leaving: others are preferred as homes. */
  void NoteSelfLeaving();

  /** Calls `listener` after any change; on any thread, must not block. */
  void OnChange(std::function<void()> listener);

  /** Calls `listener` with each endpoint whose report, link or leaving state
   * changed; on any thread, must not block. */
  void OnEndpoint(std::function<void(const KnownEndpoint&)> listener);

  /** @return True once each endpoint of the list has reported or failed to:
   * before that an entry that has just started knows too little to refuse. */
  [[nodiscard]] bool settled() const;

  /** @return Every VM of the list, also those that can't be reached. */
  [[nodiscard]] std::vector<external::VmRecord> Listed() const;

  /** @return True unless every read of the list so far has failed. */
  [[nodiscard]] bool list_seen() const;

  /** @return True if the list shows this VM, or did until a grace ago. */
  [[nodiscard]] bool Lists(const core::VmId& vm) const;

  /** Calls `listener` once for each VM that the list showed and shows no
   * longer, for `grace` on end: the VM is gone for good. */
  void OnGone(std::function<void(const core::VmId&)> listener);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_DIRECTORY_BASE_H_

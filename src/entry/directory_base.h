/** @file directory_base.h Service discovery: the endpoints and entries that
 * this entry knows. */
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
  /** When the report was received. */
  core::SteadyTime reported_at;
  /** False once the link is lost. */
  bool connected = false;
  /** Set by the platform's list or by the endpoint's own report. */
  bool leaving = false;
  /** Increases with each change of any endpoint, so that listeners called out
   * of order on several threads can tell newer from older. */
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
  /** A VM missing from the list for this long counts as removed. */
  std::chrono::milliseconds removal_grace{10000};
  /** Longest pause between two attempts to subscribe to one endpoint. */
  std::chrono::milliseconds max_backoff{2000};
  /** After this long without a report the endpoint is subscribed to again. */
  std::chrono::milliseconds report_timeout{10000};
  /** With more entries than this, only those marked as unreachable are probed:
   * a full mesh of links would cost each entry more than its share of traffic.
   */
  std::size_t max_probed_entries = 32;
};

/**
 * Polls the platform's VM list and subscribes to each endpoint's reports. The
 * list may lag, and its service may be down: the last list then stays in use.
 * A lost link takes effect immediately.
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

  /** Starts polling the list. */
  void Start();
  void Stop();

  /** @return All endpoints with at least one report. */
  [[nodiscard]] std::vector<KnownEndpoint> Endpoints() const;
  [[nodiscard]] std::optional<KnownEndpoint> Find(
      const core::EndpointId& id) const;

  /** @return Live entries that are not leaving; includes this one unless it is
   * leaving itself. */
  [[nodiscard]] std::vector<KnownEntry> Entries() const;

  /** Excludes an entry from Entries until a probe reaches it again, so that an
   * unreachable primary entry is skipped. */
  void MarkUnreachable(const core::VmId& entry);

  /** Marks this entry as leaving and excludes it from Entries. */
  void MarkSelfLeaving();

  /** Calls `listener` after any change; on any thread, must not block. */
  void OnChange(std::function<void()> listener);

  /** Calls `listener` with each endpoint whose report, link or leaving state
   * changed; on any thread, must not block. */
  void OnEndpointChange(std::function<void(const KnownEndpoint&)> listener);

  /** @return True once each endpoint of the list has reported or has failed to.
   * Before that an entry that has just started knows too little to refuse. */
  [[nodiscard]] bool initial_reports_done() const;

  /** @return Every VM of the list, also those that can't be reached. */
  [[nodiscard]] std::vector<external::VmRecord> ListedVms() const;

  /** @return True unless every read of the list so far has failed. */
  [[nodiscard]] bool has_list() const;

  /** @return True if the list shows this VM, or did less than `removal_grace`
   * ago.
   */
  [[nodiscard]] bool IsListed(const core::VmId& vm) const;

  /** Calls `listener` once for each VM that has been missing from the list for
   * `removal_grace` without a break and counts as removed. */
  void OnVmRemoved(std::function<void(const core::VmId&)> listener);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_DIRECTORY_BASE_H_

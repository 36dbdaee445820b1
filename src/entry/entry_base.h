/** @file entry_base.h Wires the components of an entry process. */
#ifndef SAPPHIRE_ENTRY_ENTRY_BASE_H_
#define SAPPHIRE_ENTRY_ENTRY_BASE_H_

#include <atomic>
#include <chrono>
#include <map>
#include <string>

#include "contract/config_base.h"
#include "contract/config_pull_base.h"
#include "contract/part_cache_base.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/admin_base.h"
#include "entry/claim_store_base.h"
#include "entry/config_store_base.h"
#include "entry/config_watch_base.h"
#include "entry/directory_base.h"
#include "entry/dispatcher_base.h"
#include "entry/gateway_base.h"
#include "entry/head_check_base.h"
#include "entry/metrics_base.h"
#include "entry/once_runner_base.h"
#include "entry/placer_base.h"
#include "entry/scheduler_base.h"
#include "external/key_value_base.h"
#include "external/vm_list_base.h"
#include "http/server_base.h"
#include "link/link_base.h"

namespace sapphire::entry {

struct EntryOptions {
  core::VmId vm;
  core::ZoneId zone;
  std::string listen_address;
  std::string link_listen_address;
  link::LinkOptions links;
  http::ServerLimits http;
  /** Memory that requests may occupy as the server holds them. */
  std::size_t request_bytes = std::size_t{200} * 1024 * 1024;
  CallerLimits callers;
  SchedulerOptions scheduler;
  ClaimStoreOptions claims;
  std::chrono::milliseconds finished_retention{60'000};
  std::chrono::milliseconds vm_list_interval{1000};
  std::chrono::milliseconds lame_duck{2000};
  std::chrono::milliseconds drain_timeout{60'000};
};

/** Wires the components of an entry and answers HTTP requests and link calls.
 */
class Entry {
 public:
  /** @pre All references outlive the entry. */
  Entry(const core::Executor& executor, const EntryOptions& options,
        external::KeyValueStore& store, external::VmList& vm_list,
        const core::Clock& clock, const core::Logger& log, Metrics& metrics);

  /** Starts to listen and serve. @throws core::Error kBadSettings. */
  void Start();

  [[nodiscard]] std::string http_address() const { return http_.address(); }
  [[nodiscard]] const std::string& link_address() const {
    return link_address_;
  }

  /**
   * Shuts down gracefully: reports not ready, continues to serve while the
   * balancer still sends requests, then accepts nothing new and waits for the
   * requests in progress.
   * @return True if all of them ended within the drain timeout.
   * @pre The calling coroutine runs on a strand.
   */
  core::Task<bool> Leave();

  /** Closes the links. */
  void Close();

 private:
  core::Task<> AnswerHttp(const http::Request& request,
                          http::ResponseWriter& writer);
  core::Task<> AnswerMonitoringPath(std::string path,
                                    http::ResponseWriter& writer);
  core::Task<> AnswerCall(std::shared_ptr<link::Call> call, gen::Message first);
  core::Task<> AnswerRun(std::shared_ptr<link::Call> call, gen::Run run);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] std::map<core::ServiceId, ServiceReplicas> CountReplicas()
      const;
  [[nodiscard]] MetricValues CurrentMetricValues() const;
  [[nodiscard]] bool IsIdle() const;

  const EntryOptions options_;
  const core::Clock& clock_;
  const core::Logger& log_;
  Metrics& metrics_;
  contract::ConfigHolder config_;
  contract::PartCache config_parts_;
  contract::ConfigPuller puller_;
  link::LinkNode links_;
  Directory directory_;
  ConfigWatch config_watch_;
  ConfigStore config_store_;
  HeadCheck head_check_;
  Scheduler scheduler_;
  Placer placer_;
  Dispatcher dispatcher_;
  ClaimStore claims_;
  OnceRunner once_runner_;
  Gateway gateway_;
  Admin admin_;
  http::Server http_;
  std::string link_address_;
  std::atomic<bool> leaving_{false};
  /** Calls from other entries that this one serves as the primary entry. */
  std::atomic<int> peer_calls_{0};
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ENTRY_BASE_H_

/** @file front_base.h Assembles an entry that sends requests to engines. */
#ifndef SAPPHIRE_SERVING_FRONT_BASE_H_
#define SAPPHIRE_SERVING_FRONT_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/stall_watch_base.h"
#include "core/task_type.h"
#include "external/counting_store_base.h"
#include "external/key_value_base.h"
#include "fleet/controller_client_base.h"
#include "fleet/engine_holders_base.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_registry_base.h"
#include "fleet/peer_table_base.h"
#include "http/request_budget_base.h"
#include "http/server_base.h"
#include "link/link_base.h"
#include "orders/controller_metrics_base.h"
#include "orders/controller_pool_base.h"
#include "orders/engine_leases_base.h"
#include "orders/engine_port_base.h"
#include "orders/order_service_base.h"
#include "quota/quota_client_base.h"
#include "routing/routing_table_base.h"
#include "routing/store_follower_base.h"
#include "serving/configuration_refresh_base.h"
#include "serving/crash_watch_base.h"
#include "serving/dispatcher_base.h"
#include "serving/engine_follower_base.h"
#include "serving/engine_notice_recorder_base.h"
#include "serving/engine_rate_limiter_base.h"
#include "serving/entry_follower_base.h"
#include "serving/entry_presence_base.h"
#include "serving/holder_follower_base.h"
#include "serving/load_broadcaster_base.h"
#include "serving/memory_limits_func.h"
#include "serving/model_loader_base.h"
#include "serving/peer_channel_base.h"
#include "serving/quota_gate_base.h"
#include "serving/replica_finder_base.h"
#include "serving/store_follow_options_func.h"
#include "serving/store_layout_type.h"
#include "serving/version_store_base.h"
#include "streams/stream_directory_base.h"
#include "streams/version_history_base.h"

namespace sapphire::serving {

struct FrontOptions {
  core::VmId vm;
  core::ZoneId zone;
  /** Address for callers; address and path of the load balancer's readiness
   * probe. */
  std::string listen;
  std::string ready_listen;
  std::string ready_path;
  std::string link_listen;
  /** Port on which endpoint processes listen for links, on the engine's VM. */
  std::uint16_t endpoint_link_port = 0;
  DispatchOptions dispatch;
  /** Address on which metrics are served. */
  std::string metrics_listen;
  MemoryLimits memory = DivideMemory(std::size_t{256} * 1024 * 1024);
  ConnectionLimits connections;
  Freshness freshness;
  RevocationOptions revocation;
  quota::QuotaRules quota;
  /** Leases of the engines that this entry controls. */
  orders::LeaseOptions leases;
  /** Time from the stop request until the process is killed. */
  milliseconds leave_limit{8000};
};

/** Connects and runs all components of an entry. Not thread-safe. */
class Front {
 public:
  /** @pre All references outlive the front. */
  Front(const core::Executor& executor, FrontOptions options,
        StoreLayout layout, external::KeyValueStore& store,
        const CallerWire& caller_wire, const EngineWire& engine_wire,
        orders::MakeEnginePort make_engine_port, const core::Clock& clock,
        const core::Logger& log);

  void Start();

  void SetRepeatLimits(const policy::RepeatLimits& limits) {
    dispatcher_.SetRepeatLimits(limits);
  }

  /** Shuts down without cutting off an answer; returns when the process may
   * end. */
  core::Task<> Leave();

 private:
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] FrontLevels Levels() const;
  core::Task<> AnswerMetrics(http::ResponseWriter& writer);
  core::Task<> AnswerSuspects(http::ResponseWriter& writer);
  core::Task<> AnswerReady(const http::Request& request,
                           http::ResponseWriter& writer);
  void AdoptConfiguration(const external::KvEntry& entry);
  void UpdateHeartbeats();
  void OnStreamDatagram(const gen::EntryDatagram& datagram,
                        const std::string& address);
  void OnDatagram(const gen::EntryDatagram& datagram,
                  const std::string& address);
  [[nodiscard]] bool KeysConfirmed() const;
  StoreView MakeStoreView();
  core::Task<> RunMaintenance();
  core::Task<> EnsureLocally(gen::EnsureModel load_request);
  std::vector<routing::FollowHooks> AllHooks();
  routing::FollowHooks ConfigurationHooks();

  const FrontOptions options_;
  const StoreLayout layout_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  FrontMetrics metrics_;
  core::StallWatch stalls_;
  external::CountingStore store_;
  routing::ConfigurationHolder configuration_;
  fleet::EngineRegistry registry_;
  fleet::EngineLoads loads_;
  const std::string presence_key_;
  fleet::PeerTable peer_table_;
  fleet::EngineHolders holders_;
  orders::ControllerMetrics controller_metrics_;
  orders::EngineLeases leases_;
  orders::ControllerPool pool_;
  orders::OrderService order_service_;
  link::LinkNode links_;
  fleet::ControllerClient calls_;
  EngineClients clients_;
  EngineNoticeRecorder notices_;
  LoadGauges gauges_;
  ReplicaFinder finder_;
  ModelLoader loader_;
  CrashWatch crash_watch_;
  PeerChannel channel_;
  streams::VersionHistory version_history_;
  streams::StreamDirectory stream_directory_;
  VersionStore version_store_;
  quota::QuotaClient quota_client_;
  QuotaGate quota_;
  /** Shares the rate limits that engines announce. */
  quota::QuotaClient engine_quota_client_;
  EngineRateLimiter rate_limiter_;
  ConfigurationRefresh refresh_;
  Dispatcher dispatcher_;
  EntryPresence presence_;
  LoadBroadcaster broadcaster_;
  EntryFollower entry_follower_;
  HolderFollower holder_follower_;
  EngineFollower engine_follower_;
  routing::StoreFollower store_follower_;
  const std::shared_ptr<http::RequestBudget> request_budget_;
  http::Server server_;
  http::Server ready_server_;
  http::Server metrics_server_;
  bool leaving_ = false;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_FRONT_BASE_H_

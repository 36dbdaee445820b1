/** @file endpoint_base.h The endpoint process, which controls the engine on its
 * VM. */
#ifndef SAPPHIRE_ORDERS_ENDPOINT_BASE_H_
#define SAPPHIRE_ORDERS_ENDPOINT_BASE_H_

#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "external/counting_store_base.h"
#include "external/key_value_base.h"
#include "http/server_base.h"
#include "link/link_base.h"
#include "orders/controller_metrics_base.h"
#include "orders/engine_controller_base.h"
#include "orders/engine_leases_base.h"
#include "orders/engine_port_base.h"
#include "orders/order_service_base.h"
#include "routing/routing_table_base.h"
#include "routing/store_follower_base.h"

namespace sapphire::orders {

struct EndpointOptions {
  core::VmId vm;
  core::ZoneId zone;
  std::string link_listen;
  std::string configuration_key;
  /** Address for metrics (HTTP), "ip:port". */
  std::string metrics_listen;
  /** Most links that others may open. */
  std::size_t max_links = 512;
  ControllerOptions controller;
  LeaseOptions leases;
};

/** All parts of the endpoint process. Used on one thread. */
class Endpoint {
 public:
  /** @pre All references outlive it. */
  Endpoint(const core::Executor& executor, EndpointOptions options,
           routing::ReadConfiguration read_configuration, EnginePort& engine,
           external::KeyValueStore& store, const core::Clock& clock,
           const core::Logger& log);

  void Start();

 private:
  routing::FollowHooks Hooks();
  OrderServiceCallbacks ServiceCallbacks();
  core::Task<> RequestRelease(gen::EngineHolder holder, std::string engine);
  core::Task<> HandleMetricsRequest(http::ResponseWriter& writer);

  const EndpointOptions options_;
  const routing::ReadConfiguration read_configuration_;
  const core::Executor executor_;
  const core::Logger& log_;
  ControllerMetrics metrics_;
  external::CountingStore store_;
  routing::ConfigurationHolder configuration_;
  EngineLeases leases_;
  EngineController controller_;
  OrderService service_;
  link::LinkNode links_;
  routing::StoreFollower follower_;
  http::Server metrics_server_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ENDPOINT_BASE_H_

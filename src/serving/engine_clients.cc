/** @file engine_clients.cc HTTP clients of the engines. */
#include <chrono>

#include "serving/engine_clients_base.h"

namespace sapphire::serving {

namespace {

/** Maximum idle time of connections to engines, which close them after 1.5 s.
 */
constexpr std::chrono::milliseconds kEngineIdle{900};

}  // namespace

std::shared_ptr<http::Client> EngineClients::Of(
    const fleet::EngineEntry& engine) {
  std::shared_ptr<http::Client>& client = clients_[engine.instance];
  if (!client) {
    http::ClientOptions options;
    options.max_idle_time = kEngineIdle;
    client = std::make_shared<http::Client>(engine.address, options);
  }
  return client;
}

void EngineClients::Forget(const std::set<fleet::InstanceId>& alive) {
  std::erase_if(clients_,
                [&alive](const auto& it) { return !alive.contains(it.first); });
}

}  // namespace sapphire::serving

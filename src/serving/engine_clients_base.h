/** @file engine_clients_base.h HTTP clients of the engines. */
#ifndef SAPPHIRE_SERVING_ENGINE_CLIENTS_BASE_H_
#define SAPPHIRE_SERVING_ENGINE_CLIENTS_BASE_H_

#include <map>
#include <memory>
#include <set>

#include "fleet/engine_type.h"
#include "http/client_base.h"

namespace sapphire::serving {

/** Keeps one HTTP client per engine, shared by all sends to it. Not
 * thread-safe. */
class EngineClients {
 public:
  std::shared_ptr<http::Client> Of(const fleet::EngineEntry& engine);

  /** Drops the clients of engines that are not in `alive`. */
  void Forget(const std::set<fleet::InstanceId>& alive);

 private:
  std::map<fleet::InstanceId, std::shared_ptr<http::Client>> clients_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENGINE_CLIENTS_BASE_H_

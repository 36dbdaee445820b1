/** @file engine_clients_base.h The connections to engines. */
#ifndef SAPPHIRE_SERVING_ENGINE_CLIENTS_BASE_H_
#define SAPPHIRE_SERVING_ENGINE_CLIENTS_BASE_H_

#include <map>
#include <memory>
#include <set>

#include "fleet/engine_type.h"
#include "http/client_base.h"

namespace sapphire::serving {

/** One client an engine, for all that is sent there. One thread. */
class EngineClients {
 public:
  std::shared_ptr<http::Client> Of(const fleet::EngineEntry& engine);

  /** Forgets engines that are not in `alive`. */
  void Forget(const std::set<fleet::InstanceId>& alive);

 private:
  std::map<fleet::InstanceId, std::shared_ptr<http::Client>> clients_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENGINE_CLIENTS_BASE_H_

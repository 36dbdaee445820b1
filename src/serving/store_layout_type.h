/** @file store_layout_type.h Where things lie in the store. */
#ifndef SAPPHIRE_SERVING_STORE_LAYOUT_TYPE_H_
#define SAPPHIRE_SERVING_STORE_LAYOUT_TYPE_H_

#include <functional>
#include <string>

#include "fleet/engine_type.h"
#include "routing/routing_table_base.h"

namespace sapphire::serving {

/** Where things lie in the store and how they are read. */
struct StoreLayout {
  std::string configuration_key;
  std::string engine_prefix;
  /** @throws core::Error for what can't be used. */
  routing::ReadConfiguration read_configuration;
  std::function<fleet::EngineEntry(const std::string& key,
                                   const std::string& value)>
      read_engine;
  /** The engine that a key names. */
  std::function<fleet::EngineId(const std::string& key)> engine_of;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_STORE_LAYOUT_TYPE_H_

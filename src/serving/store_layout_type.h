/** @file store_layout_type.h Keys and value formats of the store. */
#ifndef SAPPHIRE_SERVING_STORE_LAYOUT_TYPE_H_
#define SAPPHIRE_SERVING_STORE_LAYOUT_TYPE_H_

#include <functional>
#include <string>

#include "fleet/engine_type.h"
#include "routing/routing_table_base.h"

namespace sapphire::serving {

/** Keys of the store and the functions that decode them and their values. */
struct StoreLayout {
  std::string configuration_key;
  std::string engine_prefix;
  /** @throws core::Error for a configuration that can't be used. */
  routing::ReadConfiguration read_configuration;
  std::function<fleet::EngineEntry(const std::string& key,
                                   const std::string& value)>
      read_engine;
  /** @return The engine that a key names. */
  std::function<fleet::EngineId(const std::string& key)> engine_of;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_STORE_LAYOUT_TYPE_H_

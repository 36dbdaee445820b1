/** @file document_hooks_func.h Follows the one key that holds the
 * configuration. */
#ifndef SAPPHIRE_ROUTING_DOCUMENT_HOOKS_FUNC_H_
#define SAPPHIRE_ROUTING_DOCUMENT_HOOKS_FUNC_H_

#include <functional>
#include <string>

#include "external/key_value_base.h"
#include "routing/store_follower_base.h"

namespace sapphire::routing {

/**
 * @param key Key of the configuration; longer keys that begin with it are
 *   ignored.
 * @param found Called with the document after each listing and change.
 * @param missing Called if a listing lacks the document or it was deleted.
 */
[[nodiscard]] FollowHooks FollowDocument(
    std::string key, std::function<void(const external::KvEntry&)> found,
    std::function<void()> missing);

}  // namespace sapphire::routing

#endif  // SAPPHIRE_ROUTING_DOCUMENT_HOOKS_FUNC_H_

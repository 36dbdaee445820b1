/** @file document_hooks.cc Follows the one key that holds the configuration. */
#include <algorithm>
#include <utility>

#include "routing/document_hooks_func.h"

namespace sapphire::routing {

FollowHooks FollowDocument(std::string key,
                           std::function<void(const external::KvEntry&)> found,
                           std::function<void()> missing) {
  FollowHooks hooks;
  hooks.prefix = key;
  hooks.listed = [key, found, missing](
                     const std::vector<external::KvEntry>& entries,
                     LapseGraceEnd) {
    const auto document =
        std::ranges::find(entries, key, &external::KvEntry::key);
    document == entries.end() ? missing() : found(*document);
  };
  hooks.changed = [key = std::move(key), found = std::move(found),
                   missing = std::move(missing)](external::KvEvent event,
                                                 LapseGraceEnd) {
    if (event.key != key) return;
    if (!event.value) return missing();
    found({event.key, *std::move(event.value), event.revision});
  };
  return hooks;
}

}  // namespace sapphire::routing

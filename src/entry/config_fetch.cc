/** @file config_fetch.cc Reads the configuration from the key-value service. */
#include <map>
#include <utility>

#include "core/error_type.h"
#include "entry/config_fetch_func.h"

namespace sapphire::entry {

using core::ErrorCode;

namespace {

core::Task<std::string> FetchPart(external::KeyValueStore& store,
                                  std::string hash) {
  const std::optional<external::KvEntry> entry =
      co_await store.Get(PartKey(hash));
  if (!entry) {
    throw core::Error(ErrorCode::kPlatformUnavailable,
                      "configuration part " + hash + " is gone");
  }
  co_return entry->value;
}

}  // namespace

std::string PartKey(std::string_view hash) {
  return std::string(kPartPrefix) + std::string(hash);
}

core::Task<StoredHead> ReadHead(external::KeyValueStore& store) {
  const std::optional<external::KvEntry> entry =
      co_await store.Get(std::string(kHeadKey));
  if (!entry) co_return StoredHead{};
  co_return StoredHead{contract::HeadFromJson(entry->value), entry->revision};
}

core::Task<bool> AdoptHead(external::KeyValueStore& store,
                           contract::PartCache& parts,
                           contract::ConfigHead head) {
  const std::shared_ptr<const contract::EncodedConfig> have = parts.Current();
  const std::int64_t in_force = have ? have->version : 0;
  if (head.version <= in_force) co_return false;
  std::map<std::string_view, std::string_view> held;
  if (have) {
    for (const contract::Part& part : have->parts) {
      held.emplace(part.hash, part.data);
    }
  }
  contract::EncodedConfig config{head.version, head.plan, {}};
  for (const std::string& hash : head.part_hashes) {
    const auto it = held.find(hash);
    std::string data;
    if (it != held.end()) {
      data = it->second;
    } else {
      data = co_await FetchPart(store, hash);
    }
    config.parts.push_back({hash, std::move(data)});
  }
  co_return parts.Adopt(std::move(config));
}

}  // namespace sapphire::entry

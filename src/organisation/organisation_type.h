/** @file organisation_type.h Defines organisations, their API keys and
 * quotas. */
#ifndef SAPPHIRE_ORGANISATION_ORGANISATION_TYPE_H_
#define SAPPHIRE_ORGANISATION_ORGANISATION_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/id_type.h"

namespace sapphire::organisation {

/** A secret that identifies an organisation. It has no text form, so that it
 * can't be logged by mistake. */
class ApiKey {
 public:
  explicit ApiKey(std::string secret) : secret_(std::move(secret)) {}

  [[nodiscard]] bool empty() const { return secret_.empty(); }
  [[nodiscard]] std::size_t Hash() const {
    return std::hash<std::string>{}(secret_);
  }

  friend bool operator==(const ApiKey& a, const ApiKey& b) = default;

 private:
  std::string secret_;
};

struct ApiKeyHash {
  std::size_t operator()(const ApiKey& key) const { return key.Hash(); }
};

/** Unit that a quota is counted in. */
enum class QuotaUnit { kRequests, kTokens };

/** Limits the usage of an organisation, over all entries. */
struct Quota {
  QuotaUnit unit = QuotaUnit::kRequests;
  /** Units a second; 0 means no limit. */
  double per_second = 0;
  /** Units that may be used at once above the rate. */
  double burst = 0;
  /** Tokens charged for a request that doesn't state its token count. */
  std::int64_t default_tokens = 0;

  [[nodiscard]] bool IsLimited() const { return per_second > 0; }
};

struct Organisation {
  core::OrganisationId id;
  std::vector<ApiKey> keys;
  /** If set, replaces the route's rank; 0 is the most urgent. */
  std::optional<int> rank;
  Quota quota;
};

/** Token counts stated by the caller of a request. */
struct TokenCount {
  std::int64_t prompt = 0;
  std::int64_t max_output = 0;
};

}  // namespace sapphire::organisation

#endif  // SAPPHIRE_ORGANISATION_ORGANISATION_TYPE_H_

/** @file origin_table.cc Stores the origins of recent streams. */
#include <algorithm>
#include <utility>

#include "streams/origin_table_base.h"

namespace sapphire::streams {

void OriginTable::Put(StreamOrigin origin) {
  const std::size_t longest =
      std::max({origin.attempt.value().size(), origin.service.value().size(),
                origin.version.value().size()});
  if (longest > kMaxNameBytes) return;
  const auto it = by_attempt_.find(origin.attempt);
  if (it != by_attempt_.end()) {
    if (origin.at < it->second->at) return;
    origins_.erase(it->second);
    by_attempt_.erase(it);
  }
  const core::RequestId attempt = origin.attempt;
  by_attempt_[attempt] = origins_.insert(origins_.end(), std::move(origin));
  if (origins_.size() <= kMaxOrigins) return;
  by_attempt_.erase(origins_.front().attempt);
  origins_.pop_front();
}

std::optional<StreamOrigin> OriginTable::Find(const core::RequestId& attempt,
                                              milliseconds max_age) const {
  const auto it = by_attempt_.find(attempt);
  if (it == by_attempt_.end()) return std::nullopt;
  if (clock_.Now() - it->second->at > max_age) return std::nullopt;
  return *it->second;
}

void OriginTable::Expire(milliseconds max_age) {
  const core::SteadyTime now = clock_.Now();
  while (!origins_.empty() && now - origins_.front().at > max_age) {
    by_attempt_.erase(origins_.front().attempt);
    origins_.pop_front();
  }
}

}  // namespace sapphire::streams

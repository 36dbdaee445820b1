/** @file answer_budget.cc Limits the bytes of answers that a process holds. */
#include <algorithm>
#include <utility>

#include "http/http_type.h"
#include "serving/answer_budget_base.h"

namespace sapphire::serving {

bool BudgetShare::Resize(std::size_t bytes) {
  const std::size_t others = budget_->held_ - bytes_;
  if (bytes > bytes_ && others + bytes > budget_->max_bytes_) return false;
  budget_->held_ = others + bytes;
  bytes_ = bytes;
  return true;
}

std::string AppendWithin(std::string& body, std::string_view part,
                         std::size_t max_bytes, BudgetShare& share) {
  const std::size_t needed = body.size() + part.size();
  if (needed > max_bytes) return http::DescribeOversizedAnswer(max_bytes);
  if (needed > share.bytes()) {
    const std::size_t capacity = std::min(needed + needed / 4, max_bytes);
    if (!share.Resize(capacity)) {
      return "the answers held exceed " + std::to_string(share.max_bytes()) +
             " bytes";
    }
    http::SetCapacity(body, capacity);
  }
  body += part;
  return "";
}

}  // namespace sapphire::serving

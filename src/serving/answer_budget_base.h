/** @file answer_budget_base.h Limits the bytes of answers that a process holds.
 */
#ifndef SAPPHIRE_SERVING_ANSWER_BUDGET_BASE_H_
#define SAPPHIRE_SERVING_ANSWER_BUDGET_BASE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace sapphire::serving {

/** Bytes of engines' answers that an entry may hold, all requests together: a
 * VM that runs one may have 160 MB. */
inline constexpr std::size_t kMaxHeldBytes = 48 * 1024 * 1024;

/** Bytes that answers may occupy together. Not thread-safe. */
class AnswerBudget {
 public:
  explicit AnswerBudget(std::size_t max_bytes = kMaxHeldBytes)
      : max_bytes_(max_bytes) {}

  [[nodiscard]] std::size_t max_bytes() const { return max_bytes_; }
  [[nodiscard]] std::size_t held() const { return held_; }

 private:
  friend class BudgetShare;

  const std::size_t max_bytes_;
  std::size_t held_ = 0;
};

/** What one answer holds of the budget; returned on destruction. */
class BudgetShare {
 public:
  explicit BudgetShare(std::shared_ptr<AnswerBudget> budget)
      : budget_(std::move(budget)) {}
  ~BudgetShare() { budget_->held_ -= bytes_; }
  BudgetShare(const BudgetShare&) = delete;
  BudgetShare& operator=(const BudgetShare&) = delete;

  /** Makes the share this large. @return False, and no change, if the budget
   * does not allow it. */
  bool Resize(std::size_t bytes);

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] std::size_t max_bytes() const { return budget_->max_bytes(); }

 private:
  const std::shared_ptr<AnswerBudget> budget_;
  std::size_t bytes_ = 0;
};

/**
 * Appends `part` and takes the memory for it from the share.
 * @return Why the result would be too large; empty if `part` was appended.
 */
std::string AppendWithin(std::string& body, std::string_view part,
                         std::size_t max_bytes, BudgetShare& share);

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ANSWER_BUDGET_BASE_H_

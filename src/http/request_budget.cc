/** @file request_budget.cc Limits the memory that the requests of a process
 * occupy. */
#include <chrono>
#include <utility>

#include "http/request_budget_base.h"

namespace sapphire::http {

namespace {

/** The largest request in callers' traces takes 17 kB. */
constexpr std::size_t kMaxSmallBytes = std::size_t{64} * 1024;
/** A request makes progress with each this many bytes. */
constexpr std::size_t kProgressBytes = std::size_t{16} * 1024;
/** A request may be given up for others after this long without progress; a
 * lost packet is sent again sooner. */
constexpr std::chrono::milliseconds kMaxStall{1000};

}  // namespace

std::size_t RequestBudget::held() const {
  const std::lock_guard lock(mutex_);
  return held_;
}

/** Gives up requests until the share can have `bytes`. @pre `mutex_` is held.
 */
bool RequestBudget::MakeRoom(const RequestShare& share, std::size_t bytes) {
  const std::size_t limit =
      bytes <= kMaxSmallBytes ? max_bytes_ : max_bytes_ / 8 * 7;
  while (held_ - share.bytes_ + bytes > limit) {
    if (!GiveUpSlowest(share)) return false;
  }
  return true;
}

/** @pre `mutex_` is held. @return False if all others make progress. */
bool RequestBudget::GiveUpSlowest(const RequestShare& share) {
  for (auto it = reading_.begin(); it != reading_.end(); ++it) {
    RequestShare& slowest = **it;
    if (clock_.Now() - slowest.progress_at_ < kMaxStall) return false;
    if (&slowest == &share) continue;
    held_ -= std::exchange(slowest.bytes_, 0);
    slowest.given_up_ = true;
    slowest.is_reading_ = false;
    reading_.erase(it);
    slowest.give_up_();
    return true;
  }
  return false;
}

RequestShare::RequestShare(std::shared_ptr<RequestBudget> budget,
                           std::function<void()> give_up)
    : budget_(std::move(budget)), give_up_(std::move(give_up)) {
  if (!budget_) return;
  const std::lock_guard lock(budget_->mutex_);
  progress_at_ = budget_->clock_.Now();
  place_ = budget_->reading_.insert(budget_->reading_.end(), this);
  is_reading_ = true;
}

RequestShare::~RequestShare() {
  if (!budget_) return;
  const std::lock_guard lock(budget_->mutex_);
  budget_->held_ -= bytes_;
  if (is_reading_) budget_->reading_.erase(place_);
}

bool RequestShare::HasRoom(std::size_t bytes) {
  if (!budget_) return true;
  const std::lock_guard lock(budget_->mutex_);
  return !given_up_ && budget_->MakeRoom(*this, bytes);
}

bool RequestShare::Resize(std::size_t bytes, std::size_t received) {
  if (!budget_) return true;
  const std::lock_guard lock(budget_->mutex_);
  if (given_up_) return false;
  if (is_reading_ && received - progress_bytes_ >= kProgressBytes) {
    progress_bytes_ = received;
    progress_at_ = budget_->clock_.Now();
    budget_->reading_.splice(budget_->reading_.end(), budget_->reading_,
                             place_);
  }
  if (bytes > bytes_ && !budget_->MakeRoom(*this, bytes)) return false;
  budget_->held_ = budget_->held_ - bytes_ + bytes;
  bytes_ = bytes;
  return true;
}

bool RequestShare::Complete(std::size_t bytes) {
  if (!budget_) return true;
  {
    const std::lock_guard lock(budget_->mutex_);
    if (is_reading_) budget_->reading_.erase(place_);
    is_reading_ = false;
  }
  return Resize(bytes, progress_bytes_);
}

bool RequestShare::given_up() const {
  if (!budget_) return false;
  const std::lock_guard lock(budget_->mutex_);
  return given_up_;
}

}  // namespace sapphire::http

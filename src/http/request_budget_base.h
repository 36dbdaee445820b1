/** @file request_budget_base.h Limits the memory that the requests of a process
 * occupy. */
#ifndef SAPPHIRE_HTTP_REQUEST_BUDGET_BASE_H_
#define SAPPHIRE_HTTP_REQUEST_BUDGET_BASE_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

#include "core/clock_base.h"

namespace sapphire::http {

class RequestShare;

/**
 * Memory of all requests of a process, from their first byte until their answer
 * is over. Requests of up to kMaxSmallBytes may use all of it, larger ones
 * seven eighths, so that they don't keep small ones out. If it is short, those
 * that are read the slowest are given up. Thread-safe.
 */
class RequestBudget {
 public:
  /** @pre `clock` outlives the budget. */
  RequestBudget(std::size_t max_bytes, const core::Clock& clock)
      : max_bytes_(max_bytes), clock_(clock) {}

  [[nodiscard]] std::size_t max_bytes() const { return max_bytes_; }
  [[nodiscard]] std::size_t held() const;

 private:
  friend class RequestShare;

  bool MakeRoom(const RequestShare& share, std::size_t bytes);
  bool GiveUpSlowest(const RequestShare& share);

  const std::size_t max_bytes_;
  const core::Clock& clock_;
  mutable std::mutex mutex_;
  std::size_t held_ = 0;
  /** Requests being read, the one without progress for the longest first. */
  std::list<RequestShare*> reading_;
};

/** What one request holds of the budget; returned on destruction. */
class RequestShare {
 public:
  /**
   * @param budget Null: unlimited.
   * @param give_up Called on any thread if the request is given up while it is
   * read; must not block.
   */
  RequestShare(std::shared_ptr<RequestBudget> budget,
               std::function<void()> give_up);
  ~RequestShare();
  RequestShare(const RequestShare&) = delete;
  RequestShare& operator=(const RequestShare&) = delete;

  /** @return True if the share could be this large now. Others may be given up
   * for it. */
  bool HasRoom(std::size_t bytes);

  /**
   * Makes the share this large.
   * @param received Bytes of the request that have been read so far.
   * @return False if the budget does not allow it, or if the request was given
   * up.
   */
  bool Resize(std::size_t bytes, std::size_t received);

  /** Ends the reading: the request is not given up any more. */
  bool Complete(std::size_t bytes);

  [[nodiscard]] bool given_up() const;

 private:
  friend class RequestBudget;

  const std::shared_ptr<RequestBudget> budget_;
  const std::function<void()> give_up_;
  std::size_t bytes_ = 0;
  /** Bytes received by the latest time that counted as progress. */
  std::size_t progress_bytes_ = 0;
  core::SteadyTime progress_at_;
  bool given_up_ = false;
  /** The request's place among those being read. */
  std::list<RequestShare*>::iterator place_;
  bool is_reading_ = false;
};

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_REQUEST_BUDGET_BASE_H_

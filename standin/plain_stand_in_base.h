/** @file plain_stand_in_base.h Stand-in of a plain application service. */
#ifndef SAPPHIRE_STANDIN_PLAIN_STAND_IN_BASE_H_
#define SAPPHIRE_STANDIN_PLAIN_STAND_IN_BASE_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "standin/stand_in_base.h"

namespace sapphire::standin {

/**
 * Accepts any request and answers with the number of requests that it has run.
 * Faults: `lose_answers` (this many requests run, but aren't answered),
 * `cut_body` (this many get half an answer).
 */
class PlainStandIn final : public StandIn {
 public:
  PlainStandIn(StandInContext context, std::string service);

 protected:
  core::Task<> Serve(const http::Request& request,
                     http::ResponseWriter& writer) override;
  [[nodiscard]] std::string RecordJson() const override;

 private:
  struct Run {
    std::string request_id;
    std::string method;
    std::string path;
    std::string idempotency_key;
    std::int64_t at_ms = 0;
  };

  std::string RecordRun(const http::Request& request);

  const std::string service_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_PLAIN_STAND_IN_BASE_H_

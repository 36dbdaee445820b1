/** @file engine_stand_in_base.h Stand-in of a model engine. */
#ifndef SAPPHIRE_STANDIN_ENGINE_STAND_IN_BASE_H_
#define SAPPHIRE_STANDIN_ENGINE_STAND_IN_BASE_H_

#include <memory>
#include <string>

#include "core/signal_base.h"
#include "http/client_base.h"
#include "standin/engine_state_base.h"
#include "standin/engine_type.h"
#include "standin/stand_in_base.h"

namespace sapphire::standin {

/**
 * Simulates a model engine. Faults: `crash_on` (a request whose body contains
 * this text crashes the engine), `crash_now`, `slow_factor` (multiplies the
 * time of local loads, prefill and steps), `load_fail` (this many loads fail at
 * their end), `lose_order_answers` (this many orders are carried out, but not
 * answered).
 */
class EngineStandIn final : public StandIn {
 public:
  EngineStandIn(StandInContext context, EngineOptions options);

 protected:
  core::Task<> Serve(const http::Request& request,
                     http::ResponseWriter& writer) override;
  [[nodiscard]] std::string RecordJson() const override;
  void OnFaultsSet() override;

 private:
  class RunningRequest;

  core::Task<> ServeOrder(const http::Request& request,
                          http::ResponseWriter& writer);
  core::Task<bool> ExecuteOrder(const external::EngineOrder& order,
                                std::int64_t incarnation);
  core::Task<bool> LoadRemote(const std::string& checkpoint, std::int64_t bytes,
                              std::int64_t incarnation);
  core::Task<> WaitOrderDuration(std::chrono::milliseconds duration,
                                 std::int64_t incarnation);
  void CutIfCrashed(std::int64_t incarnation) const;

  core::Task<> ServeGenerate(const http::Request& request,
                             http::ResponseWriter& writer);
  core::Task<Admission> WaitForRoom(const GenerateCall& call,
                                    http::ResponseWriter& writer);
  core::Task<> Stream(RunningRequest& run, const GenerateCall& call,
                      http::ResponseWriter& writer);
  core::Task<> Generate(RunningRequest& run, const GenerateCall& call,
                        http::ResponseWriter& writer);
  std::chrono::nanoseconds StepTime() const;
  std::chrono::nanoseconds PrefillTime(const GenerateCall& call,
                                       std::size_t cached_chars) const;

  const EngineOptions options_;
  EngineState state_;
  /** Wakes waiting coroutines after a crash, an unload or a fault change; each
   * checks whether it is affected. */
  core::Signal disrupted_;
  std::unique_ptr<http::Client> weights_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_ENGINE_STAND_IN_BASE_H_

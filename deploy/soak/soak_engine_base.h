/** @file soak_engine_base.h Simulates an engine of the platform. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_ENGINE_BASE_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_ENGINE_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "core/log_base.h"
#include "core/task_type.h"
#include "http/server_base.h"
#include "soak_type.h"

namespace sapphire::deploy::soak {

/** Body of a request that crashes every engine that starts to run it. */
inline constexpr std::string_view kDeadlyBody = "deadly";

/** The prompt part that crashes every engine that begins to answer it. */
inline constexpr std::string_view kCrashingPart = "dead:40";

struct SoakEngineOptions {
  std::string listen;
  std::string instance;
  /** Written with each event until another one is set; empty: not written. */
  std::string software_version;
  /** Initially loaded models; empty for an engine of a plain service. */
  std::set<std::string> models;
  /** Models whose checkpoints are on the local disk; kept across restarts. */
  std::set<std::string> disk;
  /** Number of models that fit into memory. */
  std::size_t max_models = 3;
  /** Answers some streams without length or chunks, drawn from this seed. */
  std::optional<std::uint64_t> broken_answers_seed;
};

/** How an engine frames an answer, and where it breaks a stream off. */
struct AnswerShape {
  /** The body has neither a length nor chunks and ends with its connection. */
  bool ends_with_connection = false;
  /** Events of this run before the break; negative: the stream is complete. */
  int events_before_break = -1;
  bool breaks_inside_event = false;
  /** The answer's end is stated, or its connection closed; else it is reset. */
  bool breaks_orderly = false;
};

/** Implements the platform's engine protocol and records the requests it runs.
 * Single-threaded. */
class SoakEngine {
 public:
  /** @pre All references outlive it. */
  SoakEngine(boost::asio::io_context& io, SoakEngineOptions options,
             SoakRecord& record, std::function<void()> on_crash,
             const core::Clock& clock, const core::Logger& log);

  /** Restarts as a new instance, without loaded models unless
   * SetSoftwareVersion was called; checkpoints stay on its disk. */
  void Restart(const std::string& instance);
  /** Says in all answers from now on that it leaves. */
  void Leave() { leaving_ = true; }
  /** Sets the software version of the next instance, which starts with the
   * initial models loaded. */
  void SetSoftwareVersion(std::string version) {
    software_version_ = std::move(version);
    starts_loaded_ = true;
  }
  /** Turns requests away until `until` and asks for `rest` each time. */
  void TurnAway(core::SteadyTime until, milliseconds rest) {
    turns_away_until_ = until;
    rest_ = rest;
  }
  /** Ends the time in which streams are broken off. */
  void StopBreakingAnswers() { breaks_answers_ = false; }
  /** Aborts running requests and the current order, and drops loaded models. */
  void Crash();

  [[nodiscard]] const std::string& instance() const { return instance_; }
  [[nodiscard]] const std::string& software_version() const {
    return software_version_;
  }
  [[nodiscard]] const std::set<std::string>& loaded_models() const {
    return loaded_models_;
  }

 private:
  core::Task<> Answer(const http::Request& request,
                      http::ResponseWriter& writer);
  core::Task<> AnswerOrder(const http::Request& request,
                           http::ResponseWriter& writer);
  core::Task<> Load(std::string model, std::int64_t crash_count);
  core::Task<> Unload(std::string model, std::int64_t crash_count);
  core::Task<> RunStream(const http::Request& request,
                         http::ResponseWriter& writer);
  core::Task<> WriteEvents(const http::Request& request,
                           http::ResponseWriter& writer,
                           std::int64_t crash_count);
  core::Task<> RunPlain(const http::Request& request,
                        http::ResponseWriter& writer);
  http::Response Report() const;
  int AcceptOrder(const boost::json::object& order);
  http::Response NotRunResponse(int status) const;
  core::Task<> AnswerTurnedAway(const http::Request& request,
                                http::ResponseWriter& writer);
  void AddNotice(http::ResponseHead& head) const;
  http::ResponseHead MakeResponseHead(const std::string& id) const;
  [[nodiscard]] AnswerShape ShapeOf(const std::string& request) const;
  void Begin(const http::Request& request);
  void CrashIfDeadly(const http::Request& request);
  core::Task<> SleepUnlessCrashed(milliseconds time,
                                  std::int64_t crash_count) const;

  const SoakEngineOptions options_;
  boost::asio::io_context& io_;
  SoakRecord& record_;
  const std::function<void()> on_crash_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::string instance_;
  std::string software_version_;
  bool starts_loaded_ = false;
  bool breaks_answers_ = true;
  bool leaving_ = false;
  core::SteadyTime turns_away_until_;
  milliseconds rest_{0};
  /** Counts crashes; work that began under an earlier value is aborted. */
  std::int64_t crash_count_ = 0;
  std::set<std::string> loaded_models_;
  std::map<std::string, int> running_;
  bool order_in_progress_ = false;
  std::int64_t orders_ = 0;
  http::Server server_;
};

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_ENGINE_BASE_H_

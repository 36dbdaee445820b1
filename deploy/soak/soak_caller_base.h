/** @file soak_caller_base.h Simulates callers that send requests, cancel
 * some of them and check the answers. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_CALLER_BASE_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_CALLER_BASE_H_

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/task_type.h"
#include "http/client_base.h"
#include "soak_draw_base.h"
#include "soak_identity_func.h"
#include "soak_type.h"

namespace sapphire::deploy::soak {

inline constexpr std::string_view kHost = "soak.example";
inline constexpr std::string_view kStreamPath = "/stream/";
inline constexpr std::string_view kOncePath = "/once/";
inline constexpr std::string_view kSafePath = "/safe/";
/** @return The path of the added route with this number. */
std::string AddedPath(std::size_t number);

/** Request timeout of the routes. */
inline constexpr milliseconds kRouteTimeout{4000};

struct SoakCallerOptions {
  std::vector<std::string> entries;
  std::vector<std::string> models;
  std::uint64_t seed = 0;
  int number = 0;
  /** The caller occasionally sends a request that crashes engines until this
   * time. */
  core::SteadyTime deadly_until;
  /** Current keys of the organisations; null if no key is sent. */
  const KeyGenerations* keys = nullptr;
  /** Requests share prompt parts; some have kCrashingPart until this time. */
  std::optional<core::SteadyTime> crashing_part_until;
  /** Takes up streams that were broken off. */
  bool takes_up_streams = false;
  /** Time for which it tries to; at least kMaxTakeUps attempts. */
  milliseconds take_up_time{0};
};

/** Sends one request at a time over persistent connections. */
class SoakCaller {
 public:
  /** @pre All references outlive it. */
  SoakCaller(SoakCallerOptions options, SoakRecord& record,
             const core::Clock& clock);

  /** Sends requests until `end`. */
  core::Task<> Run(core::SteadyTime end);

 private:
  [[nodiscard]] std::string CurrentKey() const;
  http::Request MakeRequest(Attempt& attempt, int events);
  std::string DrawPath(Attempt& attempt);
  std::string DrawPromptParts(Attempt& attempt);
  core::Task<> Send(Attempt& attempt, const http::Request& request, int events,
                    milliseconds idle_timeout, StreamProgress& progress);
  void RecordLeaveNotice(const Attempt& attempt,
                         const http::ResponseHead& head);
  void CheckAnswer(Attempt& attempt, const http::ResponseHead& head,
                   const std::string& body, int events,
                   StreamProgress& progress);
  bool ReadEvents(const Attempt& attempt, std::string_view body,
                  StreamProgress& progress);
  core::Task<> TakeUp(http::Request request, int events,
                      StreamProgress& progress);
  [[nodiscard]] Attempt NextAttempt(routing::RequestKind kind);
  int RandomBelow(int bound);

  const SoakCallerOptions options_;
  SoakRecord& record_;
  const core::Clock& clock_;
  std::mt19937_64 random_;
  /** Apart from the other draws, which routes that are added don't change. */
  Draw path_draw_;
  std::vector<std::unique_ptr<http::Client>> clients_;
  int sent_ = 0;
};

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_CALLER_BASE_H_

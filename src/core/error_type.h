/** @file error_type.h Every failure's type, and what a caller is told of it. */
#ifndef SAPPHIRE_CORE_ERROR_TYPE_H_
#define SAPPHIRE_CORE_ERROR_TYPE_H_

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sapphire::core {

/** What went wrong. The table in error.cc gives each its name and meaning. */
enum class ErrorCode {
  // Bad input.
  kMalformedRequest,
  kUnknownModel,
  kUnknownAdapter,
  kUnknownService,
  kUnknownPath,
  kBodyTooLarge,
  kHeaderTooLarge,
  kBadHeader,
  kBadSettings,
  kBadIntent,
  kIntentOverLimit,
  kUnknownPlan,
  kPlanConflict,
  kUnauthenticated,
  // Refusals: nothing ran.
  kDeadlineTooShort,
  kQueueFull,
  kNoCapacity,
  kReplicaLimit,
  kOverShare,
  kOverQuota,
  kConfigurationStale,
  kQuarantined,
  kLeaving,
  kNotConfigured,
  kNoEndpoint,
  kAttemptVoided,
  kInProgress,
  kOverMemory,
  // Failures in between.
  kLoadFailed,
  kEngineCrashed,
  kEngineRefusedOrder,
  kEngineReplaced,
  kNotHolder,
  kEngineUnavailable,
  kTimedOut,
  kOutcomeUnknown,
  kAlreadyRan,
  kAnswerCut,
  kLinkLost,
  kCancelled,
  kPlatformUnavailable,
  kPlatformUnknownOutcome,
  kInternal,
};

/** Whether the request may have run. */
enum class Outcome {
  kNotRun,   ///< It is certain that nothing ran.
  kUnknown,  ///< It may have run.
};

/** One row of the error table. */
struct ErrorInfo {
  ErrorCode code;
  std::string_view name;  ///< Stable, for wires, logs and metrics.
  int http_status;
  Outcome outcome;  ///< Unless the error itself says otherwise.
  std::string_view title;
};

/** @return The table row of `code`. */
const ErrorInfo& InfoOf(ErrorCode code);

/** @return The code with this stable name; kInternal if there is none. */
ErrorCode CodeNamed(std::string_view name);

/** The one exception type that crosses module borders. */
class Error : public std::runtime_error {
 public:
  /**
   * @param code What went wrong.
   * @param detail For a person; names the field at fault where there is one.
   * @param retry_after When a retry can help; nothing if it can't.
   */
  explicit Error(
      ErrorCode code, const std::string& detail = {},
      std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

  [[nodiscard]] ErrorCode code() const { return code_; }
  [[nodiscard]] const std::string& detail() const { return detail_; }
  [[nodiscard]] std::optional<std::chrono::milliseconds> retry_after() const {
    return retry_after_;
  }
  [[nodiscard]] Outcome outcome() const { return outcome_; }

  /** @return The same error with a stronger or weaker outcome. */
  [[nodiscard]] Error WithOutcome(Outcome outcome) const;

 private:
  ErrorCode code_;
  std::string detail_;
  std::optional<std::chrono::milliseconds> retry_after_;
  Outcome outcome_;
};

/** @return The body of an `application/problem+json` answer (RFC 9457). */
std::string ProblemJson(const Error& error, std::string_view request_id);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_ERROR_TYPE_H_

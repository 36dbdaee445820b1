/** @file error_type.h Error codes, the Error exception and error responses. */
#ifndef SAPPHIRE_CORE_ERROR_TYPE_H_
#define SAPPHIRE_CORE_ERROR_TYPE_H_

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sapphire::core {

/** Error codes. The table in error.cc has the name and meaning of each. */
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
  kStreamVersionGone,
  kStreamVersionUnknown,
  kAttemptVoided,
  kInProgress,
  kOverMemory,
  kNoRequestMemory,
  // Failures during processing.
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
  std::string_view name;  ///< Stable; used on the wire, in logs and metrics.
  int http_status;
  Outcome outcome;  ///< Default; Error::WithOutcome overrides it.
  std::string_view title;
};

/** @return The table row of `code`. */
const ErrorInfo& InfoOf(ErrorCode code);

/** @return The code with this stable name; kInternal if there is none. */
ErrorCode CodeNamed(std::string_view name);

/** The only exception type that crosses module boundaries. */
class Error : public std::runtime_error {
 public:
  /**
   * @param code Kind of the error.
   * @param detail Human-readable; names the invalid field, if there is one.
   * @param retry_after Time until a retry may succeed; empty if none can.
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

  /** @return A copy of this error with another outcome. */
  [[nodiscard]] Error WithOutcome(Outcome outcome) const;

 private:
  ErrorCode code_;
  std::string detail_;
  std::optional<std::chrono::milliseconds> retry_after_;
  Outcome outcome_;
};

/** @return The body of an `application/problem+json` response (RFC 9457). */
std::string ProblemJson(const Error& error, std::string_view request_id);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_ERROR_TYPE_H_

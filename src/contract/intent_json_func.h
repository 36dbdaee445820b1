/** @file intent_json_func.h Intents as JSON values; inside `contract` only. */
#ifndef SAPPHIRE_CONTRACT_INTENT_JSON_FUNC_H_
#define SAPPHIRE_CONTRACT_INTENT_JSON_FUNC_H_

#include <boost/json/fwd.hpp>
#include <exception>
#include <string>
#include <string_view>

#include "contract/intent_func.h"
#include "core/error_type.h"

namespace sapphire::contract {

/** A fault in one field, before it is known where that stands in a file. */
class FieldFault : public std::exception {
 public:
  FieldFault(core::ErrorCode fault_code, std::string fault_field,
             std::string fault_reason);

  [[nodiscard]] const char* what() const noexcept override;

  /** @return The error to throw, its detail led by `place` ("" or "f:12: ").
   */
  [[nodiscard]] core::Error ToError(std::string_view place) const;

  [[nodiscard]] const std::string& field() const { return field_; }

 private:
  core::ErrorCode code_;
  std::string field_;
  std::string reason_;
};

/** What to do with keys that this release does not know. */
enum class UnknownKeys {
  kReject,  ///< What a person wrote: most likely a slip.
  kIgnore,  ///< What a newer release wrote.
};

/**
 * Lists of named things: "model.itinerary" is the path of the element named
 * "itinerary", "model[3]" that of one without a name.
 */
std::string ElementPath(std::string_view list, std::size_t index,
                        std::string_view name);

/** @throws FieldFault */
Intent IntentFromJson(const boost::json::value& value, UnknownKeys unknown);

/** @throws FieldFault, as Validate. */
void CheckIntent(const Intent& intent, const IntentLimits& limits);

boost::json::object ToJsonObject(const Service& service);
boost::json::object ToJsonObject(const Model& model);
boost::json::object ToJsonObject(const Owner& owner);
/** @return The fields that are no lists: deployment, weights, store. */
boost::json::object ScalarsToJson(const Intent& intent);

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_INTENT_JSON_FUNC_H_

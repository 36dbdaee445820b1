/** @file intent_json_func.h Intents as JSON values; internal to `contract`. */
#ifndef SAPPHIRE_CONTRACT_INTENT_JSON_FUNC_H_
#define SAPPHIRE_CONTRACT_INTENT_JSON_FUNC_H_

#include <boost/json/fwd.hpp>
#include <exception>
#include <string>
#include <string_view>

#include "contract/intent_func.h"
#include "core/error_type.h"

namespace sapphire::contract {

/** An invalid field whose position in the file is not known yet. */
class FieldError : public std::exception {
 public:
  FieldError(core::ErrorCode error_code, std::string field_path,
             std::string error_reason);

  [[nodiscard]] const char* what() const noexcept override;

  /** @return The error to throw; its detail starts with `place` ("" or
   * "f:12: "). */
  [[nodiscard]] core::Error ToError(std::string_view place) const;

  [[nodiscard]] const std::string& field() const { return field_; }

 private:
  core::ErrorCode code_;
  std::string field_;
  std::string reason_;
};

/** How to handle keys that this release does not know. */
enum class UnknownKeys {
  kReject,  ///< For operators' input: most likely a typing error.
  kIgnore,  ///< For stored data: a newer release may have written them.
};

/**
 * @return The path of a list element: "model.itinerary" for the element named
 *   "itinerary", "model[3]" for one without a name.
 */
std::string ElementPath(std::string_view list, std::size_t index,
                        std::string_view name);

/** @throws FieldError */
Intent IntentFromJson(const boost::json::value& value, UnknownKeys unknown);

/** @throws FieldError, as Validate. */
void CheckIntent(const Intent& intent, const IntentLimits& limits);

boost::json::object ToJsonObject(const Service& service);
boost::json::object ToJsonObject(const Model& model);
boost::json::object ToJsonObject(const Owner& owner);
/** @return All fields but the lists: deployment, weights, weight store. */
boost::json::object ScalarsToJson(const Intent& intent);

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_INTENT_JSON_FUNC_H_

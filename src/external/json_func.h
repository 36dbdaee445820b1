/** @file json_func.h Reads typed fields of JSON objects. */
#ifndef SAPPHIRE_EXTERNAL_JSON_FUNC_H_
#define SAPPHIRE_EXTERNAL_JSON_FUNC_H_

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace sapphire::external {

/**
 * All functions here throw core::Error kMalformedRequest, which names the
 * field, if the text or the field is missing or has the wrong type.
 */
boost::json::object ParseObject(std::string_view text);

std::string StringAt(const boost::json::object& object, std::string_view field);
std::int64_t IntegerAt(const boost::json::object& object,
                       std::string_view field);
/** @return Any number, with or without a fraction. */
double NumberAt(const boost::json::object& object, std::string_view field);
bool BooleanAt(const boost::json::object& object, std::string_view field);
const boost::json::array& ArrayAt(const boost::json::object& object,
                                  std::string_view field);

/** These return `fallback` if the field is absent. */
std::string StringOr(const boost::json::object& object, std::string_view field,
                     std::string_view fallback);
std::int64_t IntegerOr(const boost::json::object& object,
                       std::string_view field, std::int64_t fallback);
double NumberOr(const boost::json::object& object, std::string_view field,
                double fallback);
bool BooleanOr(const boost::json::object& object, std::string_view field,
               bool fallback);

/** @return The value as an object. @param field Named in the error. */
const boost::json::object& AsObject(const boost::json::value& value,
                                    std::string_view field);

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_JSON_FUNC_H_

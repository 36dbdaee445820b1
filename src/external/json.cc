/** @file json.cc Reads typed fields of JSON objects. */
#include <boost/json.hpp>
#include <boost/system/error_code.hpp>

#include "core/error_type.h"
#include "external/json_func.h"

namespace sapphire::external {

namespace json = boost::json;

namespace {

[[noreturn]] void FailField(std::string_view field, const std::string& why) {
  throw core::Error(core::ErrorCode::kMalformedRequest,
                    std::string(field) + ": " + why);
}

const json::value& ValueAt(const json::object& object, std::string_view field) {
  const json::value* it = object.if_contains(field);
  if (it == nullptr) FailField(field, "is missing");
  return *it;
}

}  // namespace

json::object ParseObject(std::string_view text) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  if (ec) FailField("body", ec.message());
  if (!value.is_object()) FailField("body", "must be an object");
  return std::move(value.as_object());
}

std::string StringAt(const json::object& object, std::string_view field) {
  const json::value& value = ValueAt(object, field);
  if (!value.is_string()) FailField(field, "must be a string");
  return std::string(value.get_string());
}

std::int64_t IntegerAt(const json::object& object, std::string_view field) {
  boost::system::error_code ec;
  const auto n = ValueAt(object, field).to_number<std::int64_t>(ec);
  if (ec) FailField(field, "must be an integer");
  return n;
}

double NumberAt(const json::object& object, std::string_view field) {
  boost::system::error_code ec;
  const double n = ValueAt(object, field).to_number<double>(ec);
  if (ec) FailField(field, "must be a number");
  return n;
}

bool BooleanAt(const json::object& object, std::string_view field) {
  const json::value& value = ValueAt(object, field);
  if (!value.is_bool()) FailField(field, "must be a boolean");
  return value.get_bool();
}

const json::array& ArrayAt(const json::object& object, std::string_view field) {
  const json::value& value = ValueAt(object, field);
  if (!value.is_array()) FailField(field, "must be an array");
  return value.get_array();
}

std::string StringOr(const json::object& object, std::string_view field,
                     std::string_view fallback) {
  if (!object.contains(field)) return std::string(fallback);
  return StringAt(object, field);
}

std::int64_t IntegerOr(const json::object& object, std::string_view field,
                       std::int64_t fallback) {
  return object.contains(field) ? IntegerAt(object, field) : fallback;
}

double NumberOr(const json::object& object, std::string_view field,
                double fallback) {
  return object.contains(field) ? NumberAt(object, field) : fallback;
}

bool BooleanOr(const json::object& object, std::string_view field,
               bool fallback) {
  return object.contains(field) ? BooleanAt(object, field) : fallback;
}

const json::object& AsObject(const json::value& value, std::string_view field) {
  if (!value.is_object()) FailField(field, "must be an object");
  return value.get_object();
}

}  // namespace sapphire::external

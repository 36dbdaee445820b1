/** @file intent_toml.cc Reads an intent from TOML. */
#include <fmt/format.h>
#include <toml++/toml.h>

#include <boost/json.hpp>
#include <map>
#include <optional>

#include "contract/intent_json_func.h"

namespace sapphire::contract {

namespace json = boost::json;

namespace {

using Line = toml::source_index;

/** Line of each field, by its path. */
using LineMap = std::map<std::string, Line, std::less<>>;

/** Converts TOML nodes to JSON values, so that one reader serves both formats,
 * and records their lines. */
class TomlConverter {
 public:
  json::value Convert(const toml::node& node, const std::string& path) {
    lines_.insert_or_assign(path, node.source().begin.line);
    if (const toml::table* table = node.as_table()) {
      return ConvertTable(*table, path);
    }
    if (const toml::array* array = node.as_array()) {
      return ConvertArray(*array, path);
    }
    return ConvertScalar(node, path);
  }

  /** @return The line of the field, or of its parent if it is missing. */
  [[nodiscard]] Line LineOf(std::string_view path) const {
    while (!path.empty()) {
      const auto it = lines_.find(path);
      if (it != lines_.end()) return it->second;
      const std::size_t cut = path.find_last_of(".[");
      path = path.substr(0, cut == std::string_view::npos ? 0 : cut);
    }
    return 1;
  }

 private:
  json::value ConvertTable(const toml::table& table, const std::string& path) {
    json::object object;
    for (const auto& [key, node] : table) {
      const std::string own = path.empty()
                                  ? std::string(key.str())
                                  : fmt::format("{}.{}", path, key.str());
      object[key.str()] = Convert(node, own);
    }
    return object;
  }

  json::value ConvertArray(const toml::array& array, const std::string& path) {
    json::array list;
    for (const toml::node& node : array) {
      list.push_back(
          Convert(node, ElementPath(path, list.size(), NameIn(node))));
    }
    return list;
  }

  static std::string NameIn(const toml::node& node) {
    const toml::table* table = node.as_table();
    const toml::node* name = table != nullptr ? table->get("name") : nullptr;
    if (name == nullptr) return {};
    return name->value_exact<std::string>().value_or("");
  }

  static json::value ConvertScalar(const toml::node& node,
                                   const std::string& path) {
    if (const auto text = node.value_exact<std::string>()) {
      return json::value(*text);
    }
    if (const auto flag = node.value_exact<bool>()) return *flag;
    if (const auto number = node.value_exact<std::int64_t>()) return *number;
    if (const auto number = node.value_exact<double>()) return *number;
    throw FieldError(core::ErrorCode::kBadIntent, path,
                     "dates and times have no place here");
  }

  LineMap lines_;
};

toml::table ParseToml(std::string_view text, std::string_view file_name) {
  try {
    return toml::parse(text, file_name);
  } catch (const toml::parse_error& e) {
    throw core::Error(core::ErrorCode::kBadIntent,
                      fmt::format("{}:{}: is no TOML: {}", file_name,
                                  e.source().begin.line, e.description()));
  }
}

}  // namespace

Intent ParseIntentToml(std::string_view text, std::string_view file_name) {
  const toml::table table = ParseToml(text, file_name);
  TomlConverter converter;
  try {
    const json::value value = converter.Convert(table, "");
    Intent intent = IntentFromJson(value, UnknownKeys::kReject);
    CheckIntent(intent, {});
    return intent;
  } catch (const FieldError& error) {
    throw error.ToError(
        fmt::format("{}:{}: ", file_name, converter.LineOf(error.field())));
  }
}

}  // namespace sapphire::contract

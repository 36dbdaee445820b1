/** @file settings_test.cc Tests of reading settings according to a table. */
#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include "core/error_type.h"
#include "core/settings_func.h"

namespace sapphire::core {
namespace {

constexpr SettingDef kTable[] = {
    {.name = "port",
     .type = SettingType::kInteger,
     .default_toml = "",
     .unit = "",
     .min = 0,
     .max = 65535,
     .help = "Port"},
    {.name = "wait",
     .type = SettingType::kInteger,
     .default_toml = "250",
     .unit = "ms",
     .min = 1,
     .max = 1000,
     .help = "Wait"},
};

std::string FailureOf(std::string_view toml) {
  try {
    ParseSettings(kTable, toml, "a.toml");
  } catch (const Error& e) {
    BOOST_TEST((e.code() == ErrorCode::kBadSettings));
    return e.detail();
  }
  return "no failure";
}

BOOST_AUTO_TEST_CASE(FillsInDefaults) {
  const Settings settings = ParseSettings(kTable, "port = 80", "a.toml");
  BOOST_TEST(settings.Integer("port") == 80);
  BOOST_TEST((settings.Millis("wait") == std::chrono::milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(ErrorsNameFileLineAndKey) {
  BOOST_TEST(FailureOf("\nport = \"x\"") ==
             "a.toml:2: port: must be of type integer");
  BOOST_TEST(FailureOf("port = 70000") ==
             "a.toml:1: port: must be from 0 to 65535");
  BOOST_TEST(FailureOf("port = 1\nprot = 2") ==
             "a.toml:2: prot: is not a setting of this program");
  BOOST_TEST(FailureOf("wait = 2") == "a.toml:1: port: is required");
  BOOST_TEST(FailureOf("port = ").starts_with("a.toml:1: syntax: "));
}

}  // namespace
}  // namespace sapphire::core

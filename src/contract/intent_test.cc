/** @file intent_test.cc Tests of reading, checking and writing intents. */
#define BOOST_TEST_MODULE intent
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "contract/byte_size_func.h"
#include "contract/intent_func.h"
#include "contract/testing_intent.h"
#include "core/error_type.h"

namespace sapphire::contract {
namespace {

using core::ErrorCode;

constexpr std::string_view kValidToml = R"(deployment = "meander"
[[service]]
name = "cabin"
max_replicas = 2
[[service]]
name = "status"
kind = "plain"
[[model]]
name = "itinerary"
service = "cabin"
weight_bytes = "8 GiB"
kv_budget_bytes = 1000
[[model.adapter]]
name = "rhine"
bytes = "20 MB"
)";

struct BadCase {
  std::string_view find;
  std::string_view replacement;
  std::string_view place_and_field;
  ErrorCode code = ErrorCode::kBadIntent;
};

std::ostream& operator<<(std::ostream& out, const BadCase& item) {
  return out << item.replacement;
}

const BadCase kBadCases[] = {
    {"deployment = \"meander\"", "", "m.toml:1: deployment: is required"},
    {"\"meander\"", "", "m.toml:1: is no TOML"},
    {"max_replicas = 2", "max_replica = 2",
     "m.toml:2: service.cabin.max_replicas: is required"},
    {"max_replicas = 2", "max_replicas = \"2\"",
     "m.toml:4: service.cabin.max_replicas: must be a whole number"},
    {"max_replicas = 2", "max_replicas = -1",
     "m.toml:4: service.cabin.max_replicas: must be at least 0"},
    {"max_replicas = 2", "max_replicas = 2\nspeed = 1",
     "m.toml:5: service.cabin.speed: is not known"},
    {"max_replicas = 2", "max_replicas = 1000000",
     "m.toml:4: service.cabin.max_replicas", ErrorCode::kIntentOverLimit},
    {"kind = \"plain\"", "kind = \"plan\"", "m.toml:7: service.status.kind"},
    {"kind = \"plain\"", "kind = \"plain\"\nmax_replicas = 1",
     "m.toml:8: service.status.max_replicas: is only for model services"},
    {"kind = \"plain\"", "kind = \"plain\"\nnon_idempotent = [\"/book\"]",
     "m.toml:8: service.status.non_idempotent"},
    {"name = \"itinerary\"", "nam = \"x\"",
     "m.toml:8: model[0].name: is required"},
    {"name = \"itinerary\"", "name = \"a:b\"",
     "m.toml:9: model.a:b.name: may hold letters"},
    {"service = \"cabin\"", "service = \"cabbin\"",
     "m.toml:10: model.itinerary.service: no service is named \"cabbin\""},
    {"service = \"cabin\"", "service = \"status\"",
     "m.toml:10: model.itinerary.service: \"status\" is a plain service"},
    {"\"8 GiB\"", "\"8 GiBs\"", "m.toml:11: model.itinerary.weight_bytes"},
    {"\"8 GiB\"", "0", "m.toml:11: model.itinerary.weight_bytes"},
    {"kv_budget_bytes = 1000", "",
     "m.toml:8: model.itinerary.kv_budget_bytes: is required"},
    {"\"20 MB\"", "1979-05-27",
     "m.toml:15: model.itinerary.adapter.rhine.bytes: dates"},
    {"\"20 MB\"", "-3", "model.itinerary.adapters.rhine.bytes: must be at"},
    {"[[model.adapter]]",
     "[[model.adapter]]\nname = \"rhine\"\nbytes = 1\n"
     "[[model.adapter]]",
     "model.itinerary.adapters.rhine.name: stands twice"},
    {"name = \"status\"", "name = \"cabin\"",
     "service.cabin.name: stands twice"},
};

std::string Replaced(std::string_view find, std::string_view replacement) {
  std::string text(kValidToml);
  const std::size_t at = text.find(find);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, find.size(), replacement);
}

BOOST_DATA_TEST_CASE(BadTomlNamesFileLineAndField,
                     boost::unit_test::data::make(kBadCases), item) {
  const std::string text = Replaced(item.find, item.replacement);
  BOOST_CHECK_EXCEPTION(
      ParseIntentToml(text, "m.toml"), core::Error, [&](const core::Error& e) {
        BOOST_TEST_MESSAGE(e.detail());
        return e.code() == item.code &&
               e.detail().find(item.place_and_field) != std::string::npos;
      });
}

BOOST_AUTO_TEST_CASE(ValidTomlIsRead) {
  const Intent intent = ParseIntentToml(kValidToml, "m.toml");
  const Model& model = intent.models.at(core::ModelId("itinerary"));
  BOOST_TEST(model.weight_bytes == 8LL << 30);
  BOOST_TEST(model.adapters.at(0).bytes == 20'000'000);
}

BOOST_AUTO_TEST_CASE(BadJsonNamesField) {
  for (const std::string_view text :
       {"{", "[]", "{}", R"({"deployment": 3})",
        R"({"deployment": "d", "model": {}})",
        R"({"deployment": "d", "weights": {"idle": "much"}})",
        R"({"deployment": "d", "weight_store": {"at_once": 0}})",
        R"({"deployment": "d", "colour": "red"})"}) {
    BOOST_CHECK_THROW(ParseIntentJson(text), core::Error);
  }
}

BOOST_DATA_TEST_CASE(WrittenIntentsReadBackEqual,
                     boost::unit_test::data::xrange(40), seed) {
  testing::Random random(seed);
  const Intent intent = testing::RandomIntent(random, 20);
  BOOST_CHECK(ParseIntentJson(ToJson(intent)) == intent);
  BOOST_CHECK(ParseIntentToml(ToToml(intent), "t") == intent);
}

/** @return An intent of this many models with this many adapters each. */
Intent LargeIntent(int models, int adapters) {
  Intent intent;
  intent.deployment = "large";
  const core::ServiceId service("s");
  intent.services[service] = {service, ServiceKind::kModel, 100, {}, 16};
  for (int i = 0; i < models; ++i) {
    Model& model = intent.models[core::ModelId(fmt::format("m{:05}", i))];
    model.name = core::ModelId(fmt::format("m{:05}", i));
    model.service = service;
    model.weight_bytes = 1;
    for (int j = 0; j < adapters; ++j) {
      model.adapters.push_back(
          {core::AdapterId(fmt::format("a{:05}", j)), "1", 1});
    }
  }
  return intent;
}

BOOST_AUTO_TEST_CASE(LargestSizesAreValidAndLargerOnesAreNot) {
  const Intent largest = LargeIntent(2'000, 10);
  BOOST_CHECK(ParseIntentToml(ToToml(largest), "t") == largest);
  const auto over = [](const core::Error& e) {
    return e.code() == ErrorCode::kIntentOverLimit &&
           e.detail().starts_with("model");
  };
  BOOST_CHECK_EXCEPTION(Validate(LargeIntent(2'001, 0)), core::Error, over);
  BOOST_CHECK_EXCEPTION(Validate(LargeIntent(1'819, 11)), core::Error, over);
  BOOST_CHECK_EXCEPTION(Validate(LargeIntent(1, 2'001)), core::Error, over);
}

/** @return The numbers of models and adapters of an intent. */
std::pair<std::size_t, std::size_t> SizesOf(const Intent& intent) {
  std::size_t adapters = 0;
  for (const auto& [name, model] : intent.models) {
    adapters += model.adapters.size();
  }
  return {intent.models.size(), adapters};
}

BOOST_AUTO_TEST_CASE(ExamplesAreValid) {
  using Sizes = std::pair<std::size_t, std::size_t>;
  std::map<std::string, Sizes> sizes;
  const auto folder =
      std::filesystem::path(__FILE__).parent_path() / "../../examples";
  for (const auto& item : std::filesystem::directory_iterator(folder)) {
    if (item.path().extension() != ".toml") continue;
    std::ostringstream text;
    text << std::ifstream(item.path()).rdbuf();
    const std::string name = item.path().stem().string();
    sizes[name] = SizesOf(ParseIntentToml(text.str(), name));
  }
  // The two deployments that users run today.
  BOOST_CHECK(sizes["meander"] == Sizes(65, 75));
  BOOST_CHECK(sizes["hanbit"] == Sizes(50, 40));
}

BOOST_AUTO_TEST_CASE(ByteSizes) {
  BOOST_TEST(ParseByteSize("1.5 KiB").value_or(0) == 1536);
  BOOST_TEST(ParseByteSize("7MB").value_or(0) == 7'000'000);
  for (const std::string_view text : {"", "GiB", "-1 B", "nan B", "9e99 B"}) {
    BOOST_TEST(!ParseByteSize(text));
  }
}

}  // namespace
}  // namespace sapphire::contract

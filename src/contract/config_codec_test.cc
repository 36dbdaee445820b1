/** @file config_codec_test.cc Tests of encoding a configuration as parts. */
#define BOOST_TEST_MODULE config_codec
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

#include "contract/config_func.h"
#include "contract/intent_func.h"
#include "contract/part_cache_base.h"
#include "contract/testing_intent.h"
#include "core/error_type.h"
#include "core/random_func.h"

namespace sapphire::contract {
namespace {

const core::PlanId kPlan("p");

/** @return How many parts of `after` are not in `before`. */
std::size_t NewParts(const Intent& before, const Intent& after) {
  const auto old_hashes = HashesOf(EncodeConfig({1, kPlan, before}));
  const std::set<std::string> known(old_hashes.begin(), old_hashes.end());
  std::size_t n = 0;
  for (const std::string& hash : HashesOf(EncodeConfig({2, kPlan, after}))) {
    if (!known.contains(hash)) ++n;
  }
  return n;
}

// The reference is the whole document as one JSON text.
BOOST_DATA_TEST_CASE(PartsDecodeToTheWholeDocument,
                     boost::unit_test::data::xrange(40), seed) {
  testing::Random random(seed);
  const Config config{7, kPlan, testing::RandomIntent(random, seed * 5)};
  EncodedConfig encoded = EncodeConfig(config);
  std::shuffle(encoded.parts.begin(), encoded.parts.end(), random);
  const Config decoded = DecodeConfig(7, kPlan, encoded.parts);
  BOOST_TEST(ToJson(decoded.intent) == ToJson(config.intent));
  BOOST_CHECK(decoded.intent == config.intent);
}

BOOST_DATA_TEST_CASE(OneChangeReplacesAtMostOnePart,
                     boost::unit_test::data::xrange(40), seed) {
  testing::Random random(seed);
  const Intent before = testing::RandomIntent(random, 500);
  Intent after = before;
  testing::Mutate(random, after);
  BOOST_TEST(NewParts(before, after) <= 1);
}

/** @return The worst case: models with the longest lists of the longest names,
 * all in one bucket. */
Intent LargestBucketIntent() {
  Intent intent;
  intent.deployment = "crowded";
  const core::ServiceId service("s");
  intent.services[service] = {service, ServiceKind::kModel, 1, {}, 16};
  const IntentLimits limits;
  for (int i = 0; intent.models.size() < 10; ++i) {
    const core::ModelId name(fmt::format("{:064}", i));
    if (core::HashOf(name.value()) % kModelBuckets != 0) continue;
    Model& model = intent.models[name];
    model.name = name;
    model.service = service;
    model.weight_bytes = 1;
    for (std::size_t j = 0; j < limits.adapters_per_model; ++j) {
      model.adapters.push_back({core::AdapterId(fmt::format("{:064}", j)),
                                std::string(limits.name_bytes, 'v'),
                                1LL << 50});
    }
  }
  return intent;
}

BOOST_AUTO_TEST_CASE(EveryPartFitsTheKeyValueService) {
  const Config config{1, kPlan, LargestBucketIntent()};
  Validate(config.intent);
  const EncodedConfig encoded = EncodeConfig(config);
  for (const Part& part : encoded.parts) {
    BOOST_TEST(part.data.size() <= kMaxPartBytes);
  }
  BOOST_CHECK(DecodeConfig(1, kPlan, encoded.parts).intent == config.intent);
}

// Guards against undeclared or missing models after a part was damaged in
// transit or swapped for another: its hash no longer matches its content.
BOOST_AUTO_TEST_CASE(DamagedPartIsNotAdopted) {
  testing::Random random(1);
  const EncodedConfig encoded =
      EncodeConfig({1, kPlan, testing::RandomIntent(random, 20)});
  ConfigHolder holder;
  PartCache cache(holder);
  EncodedConfig damaged = encoded;
  std::string& data = damaged.parts[0].data;
  data.replace(data.find("random"), 6, "rrndom");
  BOOST_CHECK_THROW(cache.Adopt(damaged), core::Error);
  BOOST_TEST(holder.version() == 0);
  BOOST_TEST(cache.Adopt(encoded));
  BOOST_TEST(holder.version() == 1);
}

// During an upgrade, a newer release confirms a configuration with a field that
// this release does not know. It must still come into force and be forwarded
// unchanged.
BOOST_AUTO_TEST_CASE(FieldsOfNewerReleasesAreForwarded) {
  const std::string data =
      R"({"deployment":"d","colour":"red","service":[{"name":"s",)"
      R"("max_replicas":1,"tier":3}]})";
  ConfigHolder holder;
  PartCache cache(holder);
  BOOST_TEST(cache.Adopt({3, kPlan, {{PartHash(data), data}}}));
  BOOST_TEST(cache.Current()->parts.at(0).data == data);
}

BOOST_AUTO_TEST_CASE(CacheFollowsTheHolder) {
  testing::Random random(1);
  ConfigHolder holder;
  PartCache cache(holder);
  BOOST_TEST(!cache.Current());
  const Config first{1, kPlan, testing::RandomIntent(random, 20)};
  BOOST_TEST(cache.Adopt(EncodeConfig(first)));
  const Config second{2, kPlan, testing::RandomIntent(random, 20)};
  BOOST_TEST(holder.Adopt(second));
  BOOST_CHECK(cache.Current()->parts == EncodeConfig(second).parts);
  BOOST_TEST(!cache.Adopt(EncodeConfig(first)));
  BOOST_TEST(cache.Current()->version == 2);
}

BOOST_AUTO_TEST_CASE(HeadReadsBackEqual) {
  const ConfigHead head{9, kPlan, {"a", "b"}, {{kPlan, 9}}};
  BOOST_CHECK(HeadFromJson(HeadToJson(head)) == head);
  BOOST_CHECK_THROW(HeadFromJson("{}"), core::Error);
}

}  // namespace
}  // namespace sapphire::contract

/** @file plan_test.cc Tests of plans, against naive implementations. */
#define BOOST_TEST_MODULE plan
#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "contract/intent_func.h"
#include "contract/plan_func.h"
#include "contract/testing_intent.h"

namespace sapphire::contract {
namespace {

namespace json = boost::json;
namespace data = boost::unit_test::data;

using Names = std::set<std::pair<std::string, std::string>>;
using Flat = std::map<std::pair<std::string, std::string>, std::string>;

/** @return Every object of the JSON document as text, by kind and name. */
Flat Flatten(const Intent& intent) {
  Flat flat;
  json::object document = json::parse(ToJson(intent)).as_object();
  for (const std::string list : {"service", "model", "owner"}) {
    for (json::value& item : document[list].as_array()) {
      const std::string name(item.at("name").as_string());
      if (list == "model") {
        for (const json::value& adapter : item.at("adapters").as_array()) {
          const std::string own(adapter.at("name").as_string());
          flat[{"adapter", fmt::format("{}:{}", name, own)}] =
              json::serialize(adapter);
        }
        item.as_object().erase("adapters");
      }
      flat[{list, name}] = json::serialize(item);
    }
  }
  for (const std::string scalar : {"deployment", "weights", "weight_store"}) {
    flat[{scalar, ""}] = json::serialize(document[scalar]);
  }
  return flat;
}

Names NaiveDiff(const Intent& before, const Intent& after) {
  const Flat old_things = Flatten(before);
  const Flat new_things = Flatten(after);
  Names names;
  for (const auto& [key, text] : old_things) {
    const auto it = new_things.find(key);
    if (it == new_things.end() || it->second != text) names.insert(key);
  }
  for (const auto& [key, text] : new_things) {
    if (!old_things.contains(key)) names.insert(key);
  }
  return names;
}

BOOST_DATA_TEST_CASE(ChangesAgreeWithNaiveDiff, data::xrange(60), seed) {
  testing::Random random(seed);
  const Intent before = testing::RandomIntent(random, 30);
  Intent after = before;
  for (int i = 0; i < seed % 8; ++i) testing::Mutate(random, after);
  Names names;
  for (const Change& change : Diff(before, after)) {
    names.emplace(std::string(NameOf(change.subject)), change.name);
    BOOST_TEST(
        (change.kind != ChangeKind::kChanged || change.before != change.after));
  }
  BOOST_CHECK(names == NaiveDiff(before, after));
}

/** @return Whether the replicas respect all limits of the intent. */
bool WithinLimits(const Intent& intent,
                  const std::vector<ObservedReplica>& replicas) {
  std::map<core::ModelId, int> by_model;
  std::map<core::ServiceId, int> by_service;
  for (const ObservedReplica& replica : replicas) {
    const auto it = intent.models.find(replica.model);
    if (it == intent.models.end()) return false;
    const Service& service = intent.services.at(it->second.service);
    if (++by_model[replica.model] > it->second.max_replicas ||
        ++by_service[service.name] > service.max_replicas) {
      return false;
    }
  }
  return true;
}

BOOST_DATA_TEST_CASE(ExcessIsSufficientAndMinimal, data::xrange(60), seed) {
  testing::Random random(seed);
  const Intent intent = testing::RandomIntent(random, 8);
  std::vector<ObservedReplica> observed;
  observed.reserve(20);
  for (int i = 0; i < 20; ++i) {
    observed.push_back(
        {core::EndpointId(fmt::format("vm-{}", i)),
         core::ModelId(fmt::format("model-{}", testing::Pick(random, 0, 9))),
         testing::Pick(random, 0, 2),
         {}});
  }
  const auto excess = ExcessReplicas(intent, observed);
  std::vector<ObservedReplica> kept;
  for (const ObservedReplica& replica : observed) {
    const bool unloaded = std::ranges::any_of(excess, [&](const auto& item) {
      return item.replica.endpoint == replica.endpoint;
    });
    if (!unloaded) kept.push_back(replica);
  }
  BOOST_TEST(WithinLimits(intent, kept));
  for (const ExcessReplica& item : excess) {
    std::vector<ObservedReplica> one_more = kept;
    one_more.push_back(item.replica);
    BOOST_TEST(!WithinLimits(intent, one_more));
  }
}

Intent OneModel(int max_replicas, const std::string& version) {
  Intent intent;
  const core::ServiceId service("s");
  intent.services[service] = {service, ServiceKind::kModel, 9, {}, 16};
  Model& model = intent.models[core::ModelId("m")];
  model.name = core::ModelId("m");
  model.service = service;
  model.max_replicas = max_replicas;
  model.version = version;
  model.adapters = {{core::AdapterId("a"), version, 1}};
  return intent;
}

std::vector<EffectKind> EffectsOf(const Intent& before, const Intent& after) {
  const Config base{4, core::PlanId("old"), before};
  const std::vector<ObservedReplica> observed = {
      {core::EndpointId("vm-1"), core::ModelId("m"), 0, {}},
      {core::EndpointId("vm-2"), core::ModelId("m"), 3, {core::AdapterId("a")}},
  };
  std::vector<EffectKind> kinds;
  const Plan plan = MakePlan(core::PlanId("new"), &base, after, observed);
  for (const Effect& effect : plan.effects) kinds.push_back(effect.kind);
  BOOST_TEST(RenderText(plan).find("against version 4") != std::string::npos);
  return kinds;
}

BOOST_AUTO_TEST_CASE(EffectsFollowFromChanges) {
  using enum EffectKind;
  using Kinds = std::vector<EffectKind>;
  const Intent base = OneModel(2, "1");
  BOOST_CHECK(EffectsOf(base, base).empty());
  BOOST_CHECK(EffectsOf(base, OneModel(1, "1")) == Kinds{kUnloadReplica});
  BOOST_CHECK(EffectsOf(base, OneModel(0, "1")) ==
              (Kinds{kRefuse, kUnloadReplica, kUnloadReplica}));
  BOOST_CHECK(EffectsOf(base, OneModel(2, "2")) == (Kinds{kReload, kReload}));
  Intent no_adapter = base;
  no_adapter.models.begin()->second.adapters.clear();
  BOOST_CHECK(EffectsOf(base, no_adapter) == (Kinds{kRefuse, kUnloadAdapter}));
  Intent no_model = base;
  no_model.models.clear();
  BOOST_CHECK(EffectsOf(base, no_model) ==
              (Kinds{kRefuse, kUnloadReplica, kUnloadReplica}));
  BOOST_CHECK(EffectsOf(OneModel(0, "1"), base) == Kinds{kAccept});
}

BOOST_AUTO_TEST_CASE(FirstPlanHasNoBase) {
  const Plan plan =
      MakePlan(core::PlanId("new"), nullptr, OneModel(1, "1"), {});
  BOOST_TEST(plan.base_version == 0);
  BOOST_TEST(RenderText(plan).find("+ model m") != std::string::npos);
}

}  // namespace
}  // namespace sapphire::contract

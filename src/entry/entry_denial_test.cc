/** @file entry_denial_test.cc Tests of requests for models, adapters and
 * services that this entry's configuration lacks. */
#define BOOST_TEST_MODULE entry_denial
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "contract/intent_func.h"
#include "entry/config_store_base.h"
#include "entry/entry_base.h"
#include "entry/fleet_fake_base.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "http/client_base.h"

namespace sapphire::entry {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr milliseconds kClientWait{10'000};

constexpr std::string_view kOldIntent = R"(deployment = "meander"
[[service]]
name = "cabin"
max_replicas = 2
[[model]]
name = "itinerary"
service = "cabin"
weight_bytes = "8 GiB"
kv_budget_bytes = "1 GiB"
)";

/** What the newest configuration has beyond the old one. */
constexpr std::string_view kAddition = R"([[model.adapter]]
name = "lake"
version = "1"
bytes = "1 MiB"
[[model]]
name = "lunch"
service = "cabin"
weight_bytes = "8 GiB"
kv_budget_bytes = "1 GiB"
[[service]]
name = "desk"
kind = "plain"
)";

http::Request ModelCall(const std::string& model) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = R"({"model":")" + model + R"(","prompt":"x"})";
  request.headers = {{"Host", "entry"}, {"X-Request-Timeout-Ms", "200"}};
  return request;
}

http::Request ServiceCall(const std::string& service) {
  http::Request request;
  request.method = "GET";
  request.target = "/services/" + service + "/x";
  request.headers = {{"Host", "entry"}, {"X-Request-Timeout-Ms", "200"}};
  return request;
}

std::vector<http::Request> CallsOfTheAddition() {
  return {ModelCall("lunch"), ModelCall("itinerary:lake"), ServiceCall("desk")};
}

EntryOptions OptionsOf() {
  EntryOptions options;
  options.vm = core::VmId("entry-1");
  options.zone = core::ZoneId("a");
  options.listen_address = "127.0.0.1:0";
  options.link_listen_address = "127.0.0.1:0";
  options.links = fake::LinkOptionsOf("entry-1", gen::Role::ENTRY);
  options.callers = {milliseconds(1000), milliseconds(10'000)};
  options.vm_list_interval = milliseconds(20);
  return options;
}

/** An entry with an old configuration, whose watch reports no changes. */
struct Rig {
  Rig() {
    Confirm(std::string(kOldIntent));
    entry.Start();
    BOOST_REQUIRE(testing::RunUntil(io, [this] {
      return kv.watches > 0 && Send(ModelCall("none")).head.status == kNotFound;
    }));
    kv.miss_changes = true;
    Pass(milliseconds(1500));
    kv.gets = 0;
  }

  void Confirm(const std::string& toml) {
    const contract::Intent wanted = contract::ParseIntentToml(toml, "i.toml");
    const auto plan = testing::RunTask(io, operators.SavePlan(wanted, {}));
    testing::RunTask(io, operators.Confirm(plan.id));
  }

  void ConfirmAddition() {
    Confirm(std::string(kOldIntent) + std::string(kAddition));
    kv.gets = 0;
  }

  void Pass(milliseconds time) {
    const core::SteadyTime end = clock.Now() + time;
    BOOST_REQUIRE(testing::RunUntil(io, [&] { return clock.Now() >= end; }));
  }

  http::Response Send(const http::Request& request) {
    http::Client client(entry.http_address());
    return testing::RunTask(io, client.Fetch(request, kClientWait));
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log{{"test", core::VmId("entry-1"), core::ZoneId("a")},
                   core::LogLevel::kError,
                   clock};
  testing::MemoryKeyValue kv{clock};
  fake::FakeVmList list;
  Metrics metrics;
  contract::ConfigHolder operators_holder;
  contract::PartCache operators_parts{operators_holder};
  ConfigStore operators{{}, kv, operators_holder, operators_parts, clock, log};
  Entry entry{io.get_executor(), OptionsOf(), kv, list, clock, log, metrics};
};

}  // namespace

/** Guards against 404 for what was added a moment ago. */
BOOST_AUTO_TEST_CASE(WhatWasJustAddedIsReadFromTheStore) {
  for (const http::Request& it : CallsOfTheAddition()) {
    Rig rig;
    rig.ConfirmAddition();
    const http::Response response = rig.Send(it);
    BOOST_TEST(response.head.status == kUnavailable,
               it.target << " " << it.body.text() << " " << response.body);
    BOOST_TEST(response.body.find("configuration_stale") == std::string::npos);
  }
}

/** Guards against 404 for what was added while the store can't be read. */
BOOST_AUTO_TEST_CASE(TheUnknownIsRefusedWhileTheStoreIsDown) {
  for (const http::Request& it : CallsOfTheAddition()) {
    Rig rig;
    rig.ConfirmAddition();
    rig.kv.down = true;
    const http::Response response = rig.Send(it);
    BOOST_TEST(response.head.status == kUnavailable,
               it.target << " " << it.body.text() << " " << response.body);
    BOOST_TEST(
        http::FindHeader(response.head.headers, "Retry-After").has_value());
  }
}

/** Guards against a store that shows an older head than the one in force as
 * evidence. */
BOOST_AUTO_TEST_CASE(AnOlderHeadIsNoEvidence) {
  Rig rig;
  const auto older = rig.kv.Peek("config/head");
  rig.ConfirmAddition();
  BOOST_TEST(rig.Send(ModelCall("lunch")).head.status == kUnavailable);
  rig.Pass(milliseconds(1500));
  rig.kv.head_overrides.assign(100, older);
  BOOST_TEST(rig.Send(ModelCall("dinner")).head.status == kUnavailable);
}

/** Guards against an old read that counts as evidence for a later request. */
BOOST_AUTO_TEST_CASE(AModelAddedAfterAReadIsFound) {
  Rig rig;
  BOOST_TEST(rig.Send(ModelCall("lunch")).head.status == kNotFound);
  rig.ConfirmAddition();
  rig.Pass(milliseconds(1500));
  BOOST_TEST(rig.Send(ModelCall("lunch")).head.status == kUnavailable);
}

/** Guards against callers with random names that cause a call to the store
 * each. */
BOOST_AUTO_TEST_CASE(RandomNamesCauseFewReads) {
  Rig rig;
  int denied = 0;
  const core::SteadyTime began = rig.clock.Now();
  for (int i = 0; i < 50; ++i) {
    const std::string name = "m" + std::to_string(i);
    denied += rig.Send(ModelCall(name)).head.status == kNotFound ? 1 : 0;
    denied += rig.Send(ServiceCall(name)).head.status == kNotFound ? 1 : 0;
  }
  BOOST_TEST(denied == 100);
  const auto took =
      std::chrono::duration_cast<std::chrono::seconds>(rig.clock.Now() - began);
  BOOST_TEST(rig.kv.gets <= 1 + took.count());
}

/** Guards against a denial by another entry that is behind this one. */
BOOST_AUTO_TEST_CASE(DenialOfAPeerThatIsBehindIsNotRelayed) {
  Rig rig;
  std::string more(kOldIntent);
  for (int i = 0; i < 10; ++i) {
    more += "[[model]]\nname = \"m" + std::to_string(i) +
            "\"\nservice = \"cabin\"\nweight_bytes = \"8 GiB\"\n"
            "kv_budget_bytes = \"1 GiB\"\n";
  }
  rig.kv.miss_changes = false;
  rig.Confirm(more);
  fake::Threads threads;
  fake::FakeStore peers_store;
  core::SystemClock peers_clock;
  contract::ConfigHolder peers_config;
  peers_config.Adopt(fake::ConfigOf("itinerary", 1, 1));
  fake::FakeEntry peer(threads, "entry-2", rig.list, peers_store, peers_config,
                       peers_clock, rig.log);
  rig.Pass(milliseconds(1500));
  for (int i = 0; i < 10; ++i) {
    const http::Response response =
        rig.Send(ModelCall("m" + std::to_string(i)));
    BOOST_TEST(response.head.status == kUnavailable,
               "m" << i << " " << response.body);
  }
  peer.node().Close();
  threads.Stop();
}

}  // namespace sapphire::entry

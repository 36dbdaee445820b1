/** @file fleet_view_test.cc Tests the endpoint views and load time estimates
 * that placement decisions use. */
#define BOOST_TEST_MODULE entry_fleet_view
#include <boost/test/unit_test.hpp>

#include "entry/estimate_func.h"
#include "entry/fleet_view_base.h"
#include "entry/model_queue_base.h"

namespace sapphire::entry {

const core::ModelId kModel("m");
const core::ServiceId kService("s");

KnownEndpoint EndpointOf(const std::string& name, int running,
                         bool with_replica) {
  KnownEndpoint known;
  known.id = core::EndpointId(name);
  known.connected = true;
  known.report.endpoint = name;
  known.report.kind = "model";
  known.report.memory_bytes = 1000;
  known.report.engine_up = true;
  if (with_replica) {
    gen::ReplicaReport replica;
    replica.model = kModel.value();
    replica.state = gen::ReplicaState::READY;
    replica.running = running;
    replica.bytes = 100;
    known.report.replicas.push_back(replica);
    known.report.reserved_bytes = 100;
  }
  return known;
}

policy::PlacementRequest RequestOf(int max_replicas, int max_concurrent) {
  policy::PlacementRequest request;
  request.model = kModel;
  request.replica_bytes = 100;
  request.max_replicas = max_replicas;
  request.max_concurrent = max_concurrent;
  request.service_max_replicas = max_replicas;
  request.remaining = core::Millis(20000);
  return request;
}

struct View {
  View() { fleet.SetServices({{kModel, kService}}); }
  policy::PlacementDecision Decide(const policy::PlacementRequest& request) {
    return fleet.Decide(request, kService, {});
  }
  core::ManualClock clock;
  FleetView fleet{clock};
};

// Several requests are placed between two reports. With reports alone, all
// would go to the one replica that looks idle and wait there although another
// is free.
BOOST_AUTO_TEST_CASE(PlacementsCountBeforeTheyAreReported) {
  View view;
  view.fleet.Update(EndpointOf("a", 0, true));
  view.fleet.Update(EndpointOf("b", 0, true));
  const auto request = RequestOf(2, 1);
  std::set<core::EndpointId> used;
  for (int i = 0; i < 2; ++i) {
    const auto decision = view.Decide(request);
    BOOST_REQUIRE((decision.action == policy::PlacementAction::kRun));
    view.fleet.AddSlot({.endpoint = decision.endpoint, .model = kModel});
    used.insert(decision.endpoint);
  }
  BOOST_TEST(used.size() == 2U);
  BOOST_TEST((view.Decide(request).action == policy::PlacementAction::kWait));
  // A stale report that still shows both idle must not free the slots.
  view.fleet.Update(EndpointOf("a", 0, true));
  BOOST_TEST((view.Decide(request).action == policy::PlacementAction::kWait));
  view.fleet.RemoveSlot({.endpoint = *used.begin(), .model = kModel});
  BOOST_TEST((view.Decide(request).action == policy::PlacementAction::kRun));
}

// A report from before a load order arrives after it. The load must stay
// visible, or the next request orders it again at another endpoint.
BOOST_AUTO_TEST_CASE(OrderedLoadSurvivesAnOlderReport) {
  View view;
  view.fleet.Update(EndpointOf("a", 0, false));
  view.fleet.Update(EndpointOf("b", 0, false));
  const auto request = RequestOf(1, 4);
  const auto first = view.Decide(request);
  BOOST_REQUIRE((first.action == policy::PlacementAction::kLoad));
  LoadOrder order;
  order.endpoint = first.endpoint;
  order.model = kModel;
  order.bytes = 100;
  view.fleet.BeginLoad(order);
  view.fleet.Update(EndpointOf(first.endpoint.value(), 0, false));
  BOOST_TEST((view.Decide(request).action == policy::PlacementAction::kWait));
  view.fleet.EndLoad(order, true);
  BOOST_TEST((view.Decide(request).action == policy::PlacementAction::kRun));
}

// An endpoint's link is lost. Requests must go to other endpoints immediately,
// without waiting for the platform's list.
BOOST_AUTO_TEST_CASE(LostEndpointIsNotPlacedAt) {
  View view;
  view.fleet.Update(EndpointOf("a", 0, true));
  view.fleet.Update(EndpointOf("b", 0, true));
  KnownEndpoint lost = EndpointOf("a", 0, true);
  lost.connected = false;
  view.fleet.Update(lost);
  const auto decision = view.Decide(RequestOf(2, 1));
  BOOST_REQUIRE((decision.action == policy::PlacementAction::kRun));
  BOOST_TEST(decision.endpoint.value() == "b");
  BOOST_TEST(!view.fleet.AddressOf(core::EndpointId("a")).has_value());
}

// The loss of a link and an older report arrive on two threads in the wrong
// order. The older report must not revive the endpoint.
BOOST_AUTO_TEST_CASE(OlderReportDoesNotReviveALostEndpoint) {
  View view;
  KnownEndpoint report = EndpointOf("a", 0, true);
  report.revision = 1;
  KnownEndpoint lost = report;
  lost.connected = false;
  lost.revision = 2;
  view.fleet.Update(lost);
  view.fleet.Update(report);
  BOOST_TEST(!view.fleet.AddressOf(core::EndpointId("a")).has_value());
}

// The replica count of a service must stay exact over updates, losses and
// reconnections; a count that drifts would refuse or allow loads for ever.
BOOST_AUTO_TEST_CASE(ServiceReplicaCountStaysExact) {
  View view;
  for (int round = 0; round < 3; ++round) {
    for (const char* name : {"a", "b", "c"}) {
      view.fleet.Update(EndpointOf(name, 0, true));
      KnownEndpoint lost = EndpointOf(name, 0, true);
      lost.connected = false;
      view.fleet.Update(lost);
    }
  }
  view.fleet.Update(EndpointOf("a", 0, false));
  const auto decision = view.Decide(RequestOf(1, 1));
  BOOST_TEST((decision.action == policy::PlacementAction::kLoad));
}

// Picks by zone first and by load second, and skips leaving endpoints.
BOOST_AUTO_TEST_CASE(PlainServiceGoesToTheLeastLoadedInThisZone) {
  View view;
  for (const char* name : {"far", "near-1", "near-2", "leaving"}) {
    KnownEndpoint known = EndpointOf(name, 0, false);
    known.report.kind = "booths";
    known.report.zone = std::string(name) == "far" ? "b" : "a";
    known.leaving = std::string(name) == "leaving";
    view.fleet.Update(known);
  }
  const core::ServiceId booths("booths");
  const core::ZoneId zone("a");
  std::set<core::EndpointId> picked;
  for (int i = 0; i < 2; ++i) {
    const auto pick = view.fleet.PickPlain(booths, zone, {});
    BOOST_REQUIRE(pick.has_value());
    view.fleet.AddSlot({.endpoint = *pick, .model = {}});
    picked.insert(*pick);
  }
  BOOST_TEST((picked == std::set{core::EndpointId("near-1"),
                                 core::EndpointId("near-2")}));
  const auto far = view.fleet.PickPlain(booths, zone, picked);
  BOOST_REQUIRE(far.has_value());
  BOOST_TEST(far->value() == "far");
}

// One load was very slow. If its time stayed the estimate for ever, all
// requests would be refused as too late, and no load would run to correct it.
BOOST_AUTO_TEST_CASE(MeasuredLoadTimeDecaysToTheGuess) {
  LoadEstimates loads = InitialLoadEstimates(0);
  const core::SteadyTime start;
  const core::Millis guess = LoadTimesAt(loads, start).remote;
  RecordLoadTime(loads, policy::Tier::kRemote, std::chrono::seconds(60), start);
  BOOST_TEST(LoadTimesAt(loads, start).remote.count() == 60000);
  const auto later = LoadTimesAt(loads, start + std::chrono::minutes(20));
  BOOST_TEST((later.remote - guess).count() < 10);
}

}  // namespace sapphire::entry

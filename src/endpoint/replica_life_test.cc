/** @file replica_life_test.cc Tests of a replica's state machine. */
#define BOOST_TEST_MODULE replica_life
#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "endpoint/replica_life_base.h"

namespace sapphire::endpoint {

using Event = ReplicaEvent;
using Phase = ReplicaPhase;

BOOST_AUTO_TEST_CASE(AcceptsTransitionsOfAWholeLifecycle) {
  ReplicaLife life;
  BOOST_TEST((life.phase() == Phase::kAbsent));
  const std::vector<std::pair<Event, Phase>> steps = {
      {Event::kStarted, Phase::kGranted},
      {Event::kLoadOrdered, Phase::kLoading},
      {Event::kSeenLoaded, Phase::kReady},
      {Event::kDrainStarted, Phase::kDraining},
      {Event::kDrainCancelled, Phase::kReady},
      {Event::kDrainStarted, Phase::kDraining},
      {Event::kUnloadOrdered, Phase::kUnloading},
      {Event::kOutcomeLost, Phase::kUnknown},
      {Event::kSeenAbsent, Phase::kGranted},
      {Event::kGrantReleased, Phase::kAbsent},
      {Event::kFoundLoaded, Phase::kReady},
      {Event::kSeenAbsent, Phase::kGranted},
  };
  for (const auto& [event, phase] : steps) {
    BOOST_TEST(life.Apply(event));
    BOOST_TEST(NameOf(life.phase()) == NameOf(phase));
  }
}

// Failure: a grant was released while the model might still be loaded, so that
// another VM loaded one replica too many. An event was accepted in a wrong
// phase.
BOOST_AUTO_TEST_CASE(GrantIsNotReleasedBeforeTheModelIsSeenAbsent) {
  ReplicaLife life;
  const auto refuses = [&life] {
    const Phase before = life.phase();
    return !life.Apply(Event::kGrantReleased) && life.phase() == before;
  };
  BOOST_TEST(refuses());
  for (const Event it : {Event::kStarted, Event::kLoadOrdered}) life.Apply(it);
  BOOST_TEST(refuses());
  life.Apply(Event::kOutcomeLost);
  BOOST_TEST(refuses());
  life.Apply(Event::kSeenLoaded);
  BOOST_TEST(refuses());
  life.Apply(Event::kUnloadOrdered);
  BOOST_TEST(refuses());
  life.Apply(Event::kSeenAbsent);
  BOOST_TEST(life.Apply(Event::kGrantReleased));
}

}  // namespace sapphire::endpoint

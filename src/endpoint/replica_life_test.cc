/** @file replica_life_test.cc Tests of a replica's state machine. */
#define BOOST_TEST_MODULE replica_life
#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "endpoint/replica_life_base.h"

namespace sapphire::endpoint {

using Event = ReplicaEvent;
using Phase = ReplicaPhase;

BOOST_AUTO_TEST_CASE(WholeLife) {
  ReplicaLife life;
  BOOST_TEST((life.phase() == Phase::kAbsent));
  const std::vector<std::pair<Event, Phase>> steps = {
      {Event::kWanted, Phase::kGranted},
      {Event::kLoadOrdered, Phase::kLoading},
      {Event::kShownLoaded, Phase::kReady},
      {Event::kDrainStarted, Phase::kDraining},
      {Event::kDrainCalledOff, Phase::kReady},
      {Event::kDrainStarted, Phase::kDraining},
      {Event::kUnloadOrdered, Phase::kUnloading},
      {Event::kOutcomeLost, Phase::kUnknown},
      {Event::kShownAbsent, Phase::kGranted},
      {Event::kGrantHandedBack, Phase::kAbsent},
      {Event::kFoundLoaded, Phase::kReady},
      {Event::kShownAbsent, Phase::kGranted},
  };
  for (const auto& [event, phase] : steps) {
    BOOST_TEST(life.Apply(event));
    BOOST_TEST(NameOf(life.phase()) == NameOf(phase));
  }
}

// Failure: a grant was released while the model might still be loaded, so that
// another VM loaded one replica too many. An event was accepted in a wrong
// phase.
BOOST_AUTO_TEST_CASE(GrantCanNotGoBackBeforeAbsenceIsShown) {
  ReplicaLife life;
  const auto refuses = [&life] {
    const Phase before = life.phase();
    return !life.Apply(Event::kGrantHandedBack) && life.phase() == before;
  };
  BOOST_TEST(refuses());
  for (const Event it : {Event::kWanted, Event::kLoadOrdered}) life.Apply(it);
  BOOST_TEST(refuses());
  life.Apply(Event::kOutcomeLost);
  BOOST_TEST(refuses());
  life.Apply(Event::kShownLoaded);
  BOOST_TEST(refuses());
  life.Apply(Event::kUnloadOrdered);
  BOOST_TEST(refuses());
  life.Apply(Event::kShownAbsent);
  BOOST_TEST(life.Apply(Event::kGrantHandedBack));
}

}  // namespace sapphire::endpoint

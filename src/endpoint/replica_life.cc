/** @file replica_life.cc Boost.MSM state machine of one replica's lifecycle. */
// The transition table has more rows than MSM's default limit of 20.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "endpoint/replica_life_base.h"

namespace sapphire::endpoint {

namespace {

namespace msm = boost::msm;
using msm::front::none;

struct Started {};
struct FoundLoaded {};
struct LoadOrdered {};
struct SeenLoaded {};
struct SeenAbsent {};
struct OutcomeLost {};
struct DrainStarted {};
struct DrainCancelled {};
struct UnloadOrdered {};
struct GrantReleased {};

struct Absent : msm::front::state<> {};
struct Granted : msm::front::state<> {};
struct Loading : msm::front::state<> {};
struct Ready : msm::front::state<> {};
struct Draining : msm::front::state<> {};
struct Unloading : msm::front::state<> {};
struct Unknown : msm::front::state<> {};

struct LifeDef : msm::front::state_machine_def<LifeDef> {
  using initial_state = Absent;

  template <typename From, typename Event, typename To>
  using Row = msm::front::Row<From, Event, To, none, none>;

  // clang-format off
  // MSM requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      Row<Absent,    Started,        Granted>,
      Row<Absent,    FoundLoaded,    Ready>,
      Row<Granted,   FoundLoaded,    Ready>,
      Row<Granted,   LoadOrdered,    Loading>,
      Row<Granted,   GrantReleased,  Absent>,
      Row<Loading,   SeenLoaded,     Ready>,
      Row<Loading,   SeenAbsent,     Granted>,
      Row<Loading,   OutcomeLost,    Unknown>,
      Row<Ready,     DrainStarted,   Draining>,
      Row<Ready,     SeenAbsent,     Granted>,
      Row<Draining,  DrainCancelled, Ready>,
      Row<Draining,  UnloadOrdered,  Unloading>,
      Row<Draining,  SeenAbsent,     Granted>,
      Row<Unloading, SeenAbsent,     Granted>,
      Row<Unloading, SeenLoaded,     Draining>,
      Row<Unloading, OutcomeLost,    Unknown>,
      Row<Unknown,   SeenLoaded,     Draining>,
      Row<Unknown,   SeenAbsent,     Granted>
  > {};
  // clang-format on

  /** Does nothing, so that Apply can return false for an event without a row;
   * MSM's default asserts. */
  template <typename Fsm, typename Event>
  void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) {}
};

/** Phases by MSM state id; MSM numbers the states by their first rows. */
constexpr std::array kPhasesById = {
    ReplicaPhase::kAbsent, ReplicaPhase::kGranted,  ReplicaPhase::kLoading,
    ReplicaPhase::kReady,  ReplicaPhase::kDraining, ReplicaPhase::kUnloading,
    ReplicaPhase::kUnknown};

}  // namespace

struct ReplicaLife::Machine {
  msm::back::state_machine<LifeDef> fsm;
};

ReplicaLife::ReplicaLife() : machine_(std::make_unique<Machine>()) {
  machine_->fsm.start();
}

ReplicaLife::~ReplicaLife() = default;

ReplicaPhase ReplicaLife::phase() const {
  return kPhasesById.at(
      static_cast<std::size_t>(machine_->fsm.current_state()[0]));
}

bool ReplicaLife::Apply(ReplicaEvent event) {
  const auto process = [this](auto typed) {
    return machine_->fsm.process_event(typed) == msm::back::HANDLED_TRUE;
  };
  switch (event) {
    case ReplicaEvent::kStarted:
      return process(Started{});
    case ReplicaEvent::kFoundLoaded:
      return process(FoundLoaded{});
    case ReplicaEvent::kLoadOrdered:
      return process(LoadOrdered{});
    case ReplicaEvent::kSeenLoaded:
      return process(SeenLoaded{});
    case ReplicaEvent::kSeenAbsent:
      return process(SeenAbsent{});
    case ReplicaEvent::kOutcomeLost:
      return process(OutcomeLost{});
    case ReplicaEvent::kDrainStarted:
      return process(DrainStarted{});
    case ReplicaEvent::kDrainCancelled:
      return process(DrainCancelled{});
    case ReplicaEvent::kUnloadOrdered:
      return process(UnloadOrdered{});
    case ReplicaEvent::kGrantReleased:
      return process(GrantReleased{});
  }
  return false;
}

std::string_view NameOf(ReplicaPhase phase) {
  constexpr std::array<std::string_view, 7> kNames = {
      "absent",   "granted",   "loading", "ready",
      "draining", "unloading", "unknown"};
  return kNames.at(static_cast<std::size_t>(phase));
}

}  // namespace sapphire::endpoint

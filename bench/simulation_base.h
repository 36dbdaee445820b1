/** @file simulation_base.h Discrete-event simulation of one day. */
#ifndef SAPPHIRE_BENCH_SIMULATION_BASE_H_
#define SAPPHIRE_BENCH_SIMULATION_BASE_H_

#include <map>
#include <queue>
#include <tuple>
#include <vector>

#include "bench/fleet_type.h"
#include "bench/simulation_type.h"
#include "bench/workload_type.h"
#include "policy/admission_func.h"
#include "policy/keep_alive_func.h"
#include "policy/service_time_func.h"
#include "policy/store_lane_func.h"

namespace sapphire::bench {

/** Interval between searches for a model to stage. */
inline constexpr Millis kStagingInterval = std::chrono::seconds(20);

/** Kind of a simulated event. */
enum class EventKind {
  kArrival,
  kEnd,
  kLoaded,
  kIdleCheck,
  kLanes,
  kStaging,
  kQueueTimeout
};

/** One entry of the event queue; engine, model and request are indexes. */
struct Event {
  Millis at{0};
  /** Orders events of the same time by creation. */
  std::int64_t order = 0;
  EventKind kind = EventKind::kArrival;
  int engine = 0;
  int model = 0;
  int request = 0;
};

/** Orders the event queue by time, earliest first. */
struct Later {
  bool operator()(const Event& a, const Event& b) const {
    return std::tie(a.at, a.order) > std::tie(b.at, b.order);
  }
};

/** A load that waits for a lane of the weight store. */
struct PendingLoad {
  policy::LoadBid bid;
  int engine = 0;
  int model = 0;
};

/** @return The simulated time as the type that the policy functions take. */
inline core::SteadyTime TimeOf(Millis at) { return core::SteadyTime(at); }

/** Simulates one workload with one policy, once. Reads no clock. */
class Simulation {
 public:
  /** @pre Both outlive the simulation. */
  Simulation(const Workload& workload, const PolicyChoice& choice);

  /** Simulates the whole day; call it once. */
  Result Run();

 private:
  void Schedule(Millis delay, EventKind kind, int engine, int model,
                int request = 0);
  void Handle(const Event& event);

  void OnArrival(int request);
  void OnEnd(const Event& event);
  void OnLoaded(const Event& event);
  void OnIdleCheck(int engine_index);
  void OnStaging();
  void OnQueueTimeout(int request);

  /** Queues a request until it starts or can't finish before its limit. */
  void Enqueue(int request);

  /** @return The placement of a request with `ahead` requests before it. */
  policy::PlacementDecision Decide(int request, int ahead);
  /** Starts or refuses queued requests of the model until one must wait. */
  void ServeQueue(int model);
  void Start(int request, const core::EndpointId& endpoint);
  void StartLoad(int model, const policy::PlacementDecision& decision,
                 Millis deadline);
  /** Requests a lane for a load from the weight store, which starts once the
   * lane is granted. */
  void BidForLane(int engine_index, int model, Millis deadline,
                  bool caller_waits);
  void BeginTransfer(int engine_index, int model, Millis transfer);
  void GrantLanes();
  void Refuse(int request);
  void StartIdleTime(int engine_index, int model);
  void RefreshFleet();

  [[nodiscard]] Millis KeepAlive(const EngineState& engine, int model) const;
  [[nodiscard]] bool IsPriced() const {
    return choice_.unload_policy == UnloadPolicy::kPriced ||
           choice_.unload_policy == UnloadPolicy::kPricedApart ||
           choice_.unload_policy == UnloadPolicy::kPricedAlone;
  }
  [[nodiscard]] bool HasReady(int model) const;
  [[nodiscard]] int EngineIndex(const core::EndpointId& endpoint) const;
  [[nodiscard]] int ModelIndex(const core::ModelId& model) const;
  [[nodiscard]] const ModelSpec& Spec(int model) const {
    return workload_.models[static_cast<std::size_t>(model)];
  }
  [[nodiscard]] const Arrival& Caller(int request) const {
    return workload_.arrivals[static_cast<std::size_t>(request)];
  }

  const Workload& workload_;
  const PolicyChoice& choice_;
  std::vector<EngineState> fleet_;
  std::vector<policy::EndpointView> views_;
  std::vector<policy::ArrivalHistory> histories_;
  std::vector<std::vector<int>> queues_;
  std::vector<policy::ServiceTimes> service_times_;
  /** Whether each request found no ready replica on arrival. */
  std::vector<bool> cold_;
  std::map<core::OwnerId, policy::OwnerUse> owners_;
  std::vector<PendingLoad> pending_;
  policy::StoreUse store_use_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::int64_t next_order_ = 0;
  Millis now_{0};
  Result result_;
};

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_SIMULATION_BASE_H_

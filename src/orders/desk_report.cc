/** @file desk_report.cc What entries are told of an engine. */
#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "orders/desk_report_func.h"
#include "policy/placement_func.h"

namespace sapphire::orders {

using std::chrono::milliseconds;

namespace {

/** How long the time of a load from the weight store tells of the next. */
constexpr std::chrono::seconds kStoreLoadFresh{15};
/** An overdue load is expected to take this part of its time so far more. */
constexpr int kOverdueShare = 3;
/** A load from disk that takes this much longer than usual is none. */
constexpr milliseconds kDiskSlack{500};
/** Told of an order that should be over any moment. */
constexpr milliseconds kSoonOver{200};
/** Places of an engine whose service is not configured yet. */
constexpr int kUnknownPlaces = 1;

std::int64_t PerThousandSeconds(double per_second) {
  return static_cast<std::int64_t>(per_second * 1000);
}

std::vector<std::string> Names(const std::set<core::ModelId>& models) {
  std::vector<std::string> names;
  names.reserve(models.size());
  for (const core::ModelId& it : models) names.push_back(it.value());
  return names;
}

/** Told of a model of which no use is known. */
constexpr milliseconds kLongIdle{3'600'000};

milliseconds IdleTime(const fleet::Usage& usage, core::SteadyTime now) {
  if (usage.running > 0) return milliseconds(0);
  if (!usage.last_begun) return kLongIdle;
  return std::chrono::duration_cast<milliseconds>(now - *usage.last_begun);
}

gen::ReplicaReport HeldReplica(const fleet::HeldModel& held,
                               const fleet::ModelUsage& usages,
                               core::SteadyTime now) {
  const fleet::Usage usage = usages.Of({held.model, core::AdapterId()});
  gen::ReplicaReport replica;
  replica.model = held.model.value();
  replica.state = gen::ReplicaState::READY;
  replica.running = usage.running;
  replica.idle_ms = IdleTime(usage, now).count();
  replica.demand_per_1000_s = PerThousandSeconds(usage.demand);
  for (const core::AdapterId& it : held.adapters) {
    replica.adapters.push_back(it.value());
  }
  return replica;
}

gen::ReplicaReport ComingReplica(const OpenWish& wish) {
  gen::ReplicaReport replica;
  replica.model = wish.model.value();
  replica.state = gen::ReplicaState::LOADING;
  return replica;
}

/** @return How long something goes on that began then and usually ends then. */
milliseconds ExpectedLeft(core::SteadyTime began, core::SteadyTime usual_end,
                          core::SteadyTime now) {
  const auto usual = std::chrono::duration_cast<milliseconds>(usual_end - now);
  if (usual.count() > 0) return usual;
  // What takes longer than usual is likely to take longer still: a load from
  // the weight store in company takes twice its time.
  return std::chrono::duration_cast<milliseconds>(now - began) / kOverdueShare;
}

/** @return Until the last wish here is expected to be met. */
milliseconds TimeOfWishes(std::span<const OpenWish> wishes,
                          core::SteadyTime now) {
  milliseconds left{0};
  for (const OpenWish& wish : wishes) {
    left = std::max(left, ExpectedLeft(wish.began, wish.ready, now));
  }
  return left;
}

/** The longest loads of a service, from a disk and from the weight store. */
struct LongestLoads {
  milliseconds disk{0};
  milliseconds remote{0};
};

LongestLoads LongestOf(const routing::EngineSpec* spec) {
  LongestLoads longest;
  if (spec == nullptr) return longest;
  for (const auto& [id, model] : spec->models) {
    longest.disk = std::max(longest.disk, model.load_times.disk);
    longest.remote = std::max(longest.remote, model.load_times.remote);
  }
  return longest;
}

}  // namespace

milliseconds ForeignOrderLeft(std::optional<core::SteadyTime> since,
                              const routing::EngineSpec* spec,
                              core::SteadyTime now) {
  if (!since) return milliseconds(0);
  const LongestLoads longest = LongestOf(spec);
  // Most loads come from a disk, and this one began before we saw it.
  const core::SteadyTime from_disk = *since + longest.disk;
  if (now < from_disk + kDiskSlack) {
    const auto left = std::chrono::duration_cast<milliseconds>(from_disk - now);
    return std::max(left, kSoonOver);
  }
  return ExpectedLeft(*since, *since + longest.remote, now);
}

policy::Tier TierOf(const EngineReport& engine, const core::ModelId& model) {
  if (engine.copies.in_memory.contains(model)) return policy::Tier::kMemory;
  if (engine.copies.on_disk.contains(model)) return policy::Tier::kDisk;
  return policy::Tier::kRemote;
}

milliseconds LoadTime(const EngineReport& engine,
                      const routing::EngineSpec* spec,
                      const core::ModelId& model) {
  if (spec == nullptr || !spec->models.contains(model)) return milliseconds(0);
  return policy::LoadTimeFrom(spec->models.at(model).load_times,
                              TierOf(engine, model));
}

gen::EndpointReport MakeReport(const DeskView& view) {
  const EngineReport& engine = *view.engine;
  gen::EndpointReport out;
  out.endpoint = view.holder;
  out.engine_instance = view.instance.value();
  out.engine_up = view.engine_up;
  out.order_count = engine.order_count;
  out.running = engine.running;
  out.waiting = engine.waiting;
  out.kv_tokens_used = engine.kv_used;
  out.kv_tokens_total = engine.kv_total;
  out.max_running =
      view.spec == nullptr ? kUnknownPlaces : view.spec->max_running;
  for (const fleet::HeldModel& it : engine.models) {
    out.replicas.push_back(HeldReplica(it, *view.usage, view.now));
  }
  for (const OpenWish& it : view.wishes) {
    out.replicas.push_back(ComingReplica(it));
  }
  out.memory_tier = Names(engine.copies.in_memory);
  out.disk_tier = Names(engine.copies.on_disk);
  const milliseconds left =
      std::max(TimeOfWishes(view.wishes, view.now),
               ForeignOrderLeft(view.foreign_order, view.spec, view.now));
  out.loading_left_ms = left.count();
  const bool fresh =
      view.store_load && view.now - view.store_load->at < kStoreLoadFresh;
  if (fresh) out.store_load_ms = view.store_load->took.count();
  if (!view.wishes.empty()) {
    out.loading_model = view.wishes.front().model.value();
  }
  return out;
}

}  // namespace sapphire::orders

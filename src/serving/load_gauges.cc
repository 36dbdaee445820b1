/** @file load_gauges.cc Queries engines for their load. */
#include <algorithm>
#include <exception>
#include <string>
#include <utility>

#include "core/task_func.h"
#include "serving/load_gauges_base.h"

namespace sapphire::serving {

namespace {

/** Minimum time between two queries of an engine, whose figures are a few
 * hundred milliseconds old anyway. */
constexpr milliseconds kMinQueryInterval{250};
/** Timeout of a query; a request then relies on what is known. */
constexpr milliseconds kQueryTimeout{60};
/** Pause between two polls. */
constexpr milliseconds kPollInterval{50};
/** Maximum age of a report to rely on; streams last seconds. */
constexpr milliseconds kMaxReportAge{1500};

}  // namespace

LoadGauges::LoadGauges(const EngineWire& wire, EngineClients& clients,
                       fleet::EngineRegistry& registry,
                       fleet::EngineLoads& loads, EngineNoticeRecorder& notices,
                       const core::Executor& executor, const core::Clock& clock,
                       const core::Logger& log)
    : wire_(wire),
      clients_(clients),
      registry_(registry),
      loads_(loads),
      notices_(notices),
      executor_(executor),
      clock_(clock),
      log_(log) {}

core::Task<> LoadGauges::Refresh(std::vector<fleet::InstanceId> instances) {
  const core::SteadyTime now = clock_.Now();
  std::erase_if(instances, [&](const fleet::InstanceId& it) {
    const auto gauge = gauges_.find(it);
    return gauge != gauges_.end() && now - gauge->second.at < kMinQueryInterval;
  });
  for (const fleet::InstanceId& it : instances) {
    if (!querying_.insert(it).second) continue;
    core::Spawn(executor_, log_, "gauge_engine",
                [this, it] { return QueryOne(it); });
  }
  const core::SteadyTime end = now + kQueryTimeout;
  while (clock_.Now() < end) {
    const std::uint64_t seen = answered_.epoch();
    const bool open = std::ranges::any_of(
        instances, [this](const auto& it) { return querying_.contains(it); });
    if (!open) co_return;
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - clock_.Now());
    co_await answered_.Wait(seen, std::max(left, milliseconds(1)));
  }
}

core::Task<> LoadGauges::QueryOne(fleet::InstanceId instance) {
  std::string failure;
  try {
    co_await QueryLoad(instance);
  } catch (const std::exception& e) {
    failure = e.what();
  }
  querying_.erase(instance);
  answered_.Notify();
  if (failure.empty()) co_return;
  log_.Event(core::LogLevel::kDebug, core::LogCategory::kReplica,
             "engine_ungauged", {{"instance", instance}, {"error", failure}});
}

/** @throws std::exception if the engine can't be queried. */
core::Task<> LoadGauges::QueryLoad(fleet::InstanceId instance) {
  const fleet::EngineEntry* engine = registry_.Find(instance);
  if (engine == nullptr) co_return;
  const std::shared_ptr<http::Client> client = clients_.Of(*engine);
  http::Request question = wire_.StateRequest(instance);
  const http::Response answer = co_await client->Fetch(
      std::move(question),
      http::SmallAnswer(kQueryTimeout, http::UnstatedEnd::kAccept));
  notices_.Record({instance, EngineCall::kState, core::RequestId()},
                  wire_.Read(answer.head));
  gauges_[instance] = LoadGauge{wire_.ReadState(answer), clock_.Now(),
                                loads_.Running(instance)};
}

core::Task<> LoadGauges::Poll(std::function<bool()> store_failing) {
  while (true) {
    const auto next = store_failing() ? NextToPoll() : std::nullopt;
    if (next && querying_.insert(*next).second) {
      core::Spawn(executor_, log_, "ask_engine",
                  [this, it = *next] { return QueryHoldings(it); });
    }
    co_await core::SleepFor(kPollInterval);
  }
}

core::Task<> LoadGauges::QueryHoldings(fleet::InstanceId instance) {
  co_await QueryOne(instance);
  const auto it = gauges_.find(instance);
  const bool answered =
      it != gauges_.end() && clock_.Now() - it->second.at < kMinQueryInterval;
  if (!answered) co_return;
  registry_.UpdateModels(instance, it->second.state.models,
                         it->second.state.copies);
}

/** @return The next engine of a model service to poll. */
std::optional<fleet::InstanceId> LoadGauges::NextToPoll() {
  const auto& engines = registry_.engines();
  auto it = engines.upper_bound(last_polled_);
  for (std::size_t i = 0; i < engines.size(); ++i, ++it) {
    if (it == engines.end()) it = engines.begin();
    const fleet::EngineEntry& engine = it->second;
    const bool of_model_service =
        !engine.models.empty() || !engine.copies.on_disk.empty();
    const bool rests = loads_.notices().RestLeft(it->first) > milliseconds(0);
    if (!of_model_service || rests) continue;
    last_polled_ = it->first;
    return last_polled_;
  }
  return std::nullopt;
}

const LoadGauge* LoadGauges::Find(const fleet::InstanceId& instance) const {
  const auto it = gauges_.find(instance);
  if (it == gauges_.end()) return nullptr;
  return clock_.Now() - it->second.at < kMaxReportAge ? &it->second : nullptr;
}

void LoadGauges::Forget(const std::set<fleet::InstanceId>& alive) {
  std::erase_if(gauges_,
                [&alive](const auto& it) { return !alive.contains(it.first); });
}

}  // namespace sapphire::serving

/** @file endpoint_feed_base.h Follows the endpoint processes beside engines. */
#ifndef SAPPHIRE_FLEET_ENDPOINT_FEED_BASE_H_
#define SAPPHIRE_FLEET_ENDPOINT_FEED_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_registry_base.h"
#include "link/link_base.h"

namespace sapphire::fleet {

/** What an endpoint process said last. */
struct EndpointState {
  gen::EndpointReport report;
  core::SteadyTime at;
  /** Requests from here that the report counts in. */
  int own_running = 0;
  /** The engine tells its endpoint that it is another start than the one that
   * is followed: the report says nothing of the latter. */
  bool of_other_start = false;
};

/** @return True if the report is about another start of the engine. */
[[nodiscard]] bool IsOfOtherStart(const gen::EndpointReport& report,
                                  const InstanceId& followed);

struct FeedOptions {
  /** Port on which endpoint processes listen for links, on the engine's VM. */
  std::uint16_t link_port = 0;
  /** Between two looks whether endpoints have to be told of use. */
  std::chrono::milliseconds usage_interval{250};
  /** An endpoint is told again after this long though nothing has changed: it
   * takes an entry that is silent for 5 s for gone. */
  std::chrono::milliseconds usage_repeat{2000};
  /** Between two tries to reach an endpoint. */
  std::chrono::milliseconds retry_pause{500};
  /** Without a word for this long, an endpoint is asked anew. */
  std::chrono::milliseconds silence{2000};
  /** A report older than this is not gone by. */
  std::chrono::milliseconds fresh{1500};
};

/** One thread. */
class EndpointFeed {
 public:
  /** @pre All references outlive the feed. */
  EndpointFeed(FeedOptions options, link::LinkNode& links,
               const EngineRegistry& registry, EngineLoads& loads,
               const core::Executor& executor, const core::Clock& clock,
               const core::Logger& log);

  /** Follows the endpoint of an engine; does nothing if it is followed. */
  void Follow(const InstanceId& instance);

  /** @return The newest report about this start of the engine, if fresh. */
  [[nodiscard]] const EndpointState* Find(const InstanceId& instance) const;

  /** @return True if the endpoint says that its engine does not answer. */
  [[nodiscard]] bool EngineDown(const InstanceId& instance) const;

  /**
   * Asks an endpoint to have a model loaded.
   * @throws core::Error
   */
  core::Task<> Ensure(InstanceId instance, gen::EnsureModel wish,
                      std::chrono::milliseconds timeout);

  /** @return How many entries follow the fleet, this one included. */
  [[nodiscard]] int entries() const;

  /** @return Endpoints that are followed, in reach or not. */
  [[nodiscard]] int followed() const {
    return static_cast<int>(followed_.size());
  }

  /** Moves on every report. */
  [[nodiscard]] core::Signal& changed() { return changed_; }

 private:
  /** Where an endpoint is told of the use of its engine. */
  struct UsageLink {
    std::shared_ptr<link::Call> call;
    gen::UsageReport told;
    core::SteadyTime told_at;
    /** A report is on its way; a frozen endpoint takes none for seconds. */
    bool sending = false;
  };

  core::Task<> FollowOne(InstanceId instance);
  core::Task<> Subscribe(InstanceId instance);
  core::Task<> TellUsage();
  void TellOne(const InstanceId& instance, UsageLink& link);
  core::Task<> SendUsage(InstanceId instance, std::shared_ptr<link::Call> call,
                         gen::UsageReport usage);
  [[nodiscard]] const EndpointState* Fresh(const InstanceId& instance) const;
  [[nodiscard]] std::string LinkAddress(const InstanceId& instance) const;

  const FeedOptions options_;
  link::LinkNode& links_;
  const EngineRegistry& registry_;
  EngineLoads& loads_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  core::Signal changed_;
  std::map<InstanceId, EndpointState> states_;
  std::set<InstanceId> followed_;
  std::map<InstanceId, UsageLink> usage_links_;
  bool telling_ = false;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENDPOINT_FEED_BASE_H_

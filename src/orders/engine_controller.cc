/** @file engine_controller.cc Gives orders to one engine. */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "fleet/instance_func.h"
#include "orders/engine_controller_base.h"
#include "policy/placement_func.h"

namespace sapphire::orders {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using std::chrono::milliseconds;

namespace {

/** Pause before an order of unknown outcome is sent again. */
constexpr milliseconds kRetryPause{150};
/**
 * An order fails if its effect is not reported within this time. Loads from the
 * weight store take a minute when several engines load from there.
 */
constexpr milliseconds kOrderTimeout{120'000};
/**
 * The engine's report counts an accepted order within this time: a report is
 * some hundred milliseconds old at most.
 */
constexpr milliseconds kMaxReportDelay{1000};
/** Interval between two checks for open orders. */
constexpr milliseconds kDrainPollInterval{100};
/**
 * A load request that would wait longer than this for other orders is refused:
 * a load from disk takes up to 2 s.
 */
constexpr milliseconds kMaxQueueTime{2500};

std::string_view NameOf(OrderKind kind) {
  return kind == OrderKind::kLoad ? "load" : "unload";
}

std::string_view NameOf(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kAccepted:
      return "accepted";
    case OrderAnswer::kAlreadyDone:
      return "already_done";
    case OrderAnswer::kBusy:
      return "busy";
    case OrderAnswer::kOtherInstance:
      return "other_instance";
  }
  return "";
}

}  // namespace

EngineController::EngineController(
    ControllerOptions options, EnginePort& engine, const EngineLeases& leases,
    const routing::ConfigurationHolder& configuration,
    ControllerMetrics& metrics, const core::Clock& clock,
    const core::Logger& log)
    : options_(std::move(options)),
      engine_(engine),
      leases_(leases),
      configuration_(configuration),
      metrics_(metrics),
      clock_(clock),
      log_(log) {}

core::Task<> EngineController::Run() {
  while (true) {
    co_await TryPoll();
    co_await core::SleepFor(options_.poll_interval);
  }
}

core::Task<> EngineController::TryPoll() {
  std::string failure;
  try {
    co_await Poll();
  } catch (const Error& e) {
    failure = e.what();
  }
  const bool reachable = failure.empty();
  if (reachable == engine_up_) co_return;
  engine_up_ = reachable;
  if (!reachable) metrics_.EngineLost();
  log_.Event(reachable ? LogLevel::kInfo : LogLevel::kWarning,
             LogCategory::kReplica,
             reachable ? "engine_regained" : "engine_lost",
             {{"engine", options_.engine_address}, {"error", failure}});
}

core::Task<> EngineController::Poll() {
  const core::SteadyTime requested = clock_.Now();
  EngineReport report = co_await engine_.Report();
  // Responses of concurrent polls may arrive out of order.
  const bool overtaken = report.start_time &&
                         report.start_time == report_.start_time &&
                         report.order_count < report_.order_count;
  if (overtaken) co_return;
  report_ = std::move(report);
  report_time_ = clock_.Now();
  report_requested_ = requested;
  if (report_.start_time && !instance_.empty()) {
    UpdateInstance(
        fleet::MakeInstance(fleet::EngineOf(instance_), report_.start_time));
  }
  RecordHeldState();
  RemoveFinishedOrders();
  UpdateForeignOrder();
}

core::Task<> EngineController::EnsureLoaded(LoadRequest load_request) {
  const core::SteadyTime began = clock_.Now();
  const policy::Tier tier = NearestTier(report_, load_request.model);
  const auto ended = [&](std::string_view outcome) {
    const auto took =
        std::chrono::duration_cast<milliseconds>(clock_.Now() - began);
    metrics_.LoadRequestEnded(tier, outcome, took);
  };
  ++requests_in_progress_;
  std::optional<Error> failure;
  try {
    co_await Fulfil(load_request);
  } catch (const Error& e) {
    failure = e;
  }
  --requests_in_progress_;
  ended(failure ? core::InfoOf(failure->code()).name : "ok");
  if (failure) throw Error(*failure);
}

core::Task<> EngineController::AwaitDrained(milliseconds limit) {
  const core::SteadyTime end = clock_.Now() + limit;
  const auto is_quiet = [this] {
    return requests_in_progress_ == 0 && open_orders_.empty();
  };
  while (!is_quiet() && clock_.Now() < end) {
    co_await core::SleepFor(kDrainPollInterval);
    co_await TryPoll();
  }
}

core::Task<> EngineController::Fulfil(const LoadRequest& load_request) {
  co_await CheckInstance(load_request.instance);
  co_await Poll();
  co_await AwaitHandover(load_request.deadline);
  usage_ = load_request.usage;
  CheckLeaving(load_request);
  if (!Holds(load_request.model, core::AdapterId())) {
    CheckQueueTime(load_request);
    const core::SteadyTime now = clock_.Now();
    core::SteadyTime free =
        now + ForeignOrderTimeLeft(foreign_order_since_, FindEngineSpec(), now);
    if (!load_requests_.empty()) {
      free = std::max(free, load_requests_.back().ready);
    }
    load_requests_.push_back({load_request.model, free,
                              free + ExpectedLoadTime(report_, FindEngineSpec(),
                                                      load_request.model)});
    std::exception_ptr failure;
    try {
      co_await EnsureModel(load_request);
    } catch (...) {
      failure = std::current_exception();
    }
    const auto it = std::ranges::find(load_requests_, load_request.model,
                                      &OpenLoadRequest::model);
    if (it != load_requests_.end()) load_requests_.erase(it);
    if (failure) std::rethrow_exception(failure);
  }
  if (!load_request.adapter.empty()) {
    co_await EnsureAdapter(load_request);
  }
}

core::Task<> EngineController::EnsureModel(const LoadRequest& load_request) {
  co_await model_mutex_.Acquire();
  const FifoMutex::Lock lock(model_mutex_);
  if (clock_.Now() >= load_request.deadline) {
    throw Error(ErrorCode::kTimedOut, "nobody waits for the model any more");
  }
  EngineOrder load;
  load.model = load_request.model;
  load.instance = load_request.instance;
  co_await AwaitIdle(load_request.deadline);
  while (!HasTakenEffect(load) && !Fits(load)) {
    EngineOrder unload;
    unload.kind = OrderKind::kUnload;
    unload.model = ModelToUnload(load_request);
    unload.instance = load_request.instance;
    co_await ExecuteOrder(unload, load_request.deadline);
  }
  co_await ExecuteOrder(load, load_request.deadline);
  last_loaded_[{load_request.model, core::AdapterId()}] = clock_.Now();
}

/** Refuses to load anything on an engine that leaves: it would be lost, and the
 * caller would wait for it in vain. */
void EngineController::CheckLeaving(const LoadRequest& load_request) const {
  if (!report_.leaving) return;
  if (Holds(load_request.model, load_request.adapter)) return;
  throw Error(ErrorCode::kEngineRefusedOrder, "the engine leaves");
}

/**
 * Refuses a load request that would wait long behind other orders, so that the
 * requesting entry tries another engine. A request for a model that is being
 * loaded joins that load.
 */
void EngineController::CheckQueueTime(const LoadRequest& load_request) const {
  const bool is_coming =
      std::ranges::find(load_requests_, load_request.model,
                        &OpenLoadRequest::model) != load_requests_.end();
  if (is_coming) return;
  const core::SteadyTime now = clock_.Now();
  const milliseconds left = std::max(
      LoadRequestsTimeLeft(load_requests_, now),
      ForeignOrderTimeLeft(foreign_order_since_, FindEngineSpec(), now));
  if (left <= kMaxQueueTime) return;
  throw Error(ErrorCode::kNoCapacity, "the engine is busy with other orders",
              left);
}

/**
 * Waits until the engine carries out no order. After a restart of this process
 * the engine may still be loading a model that its report does not list yet.
 */
core::Task<> EngineController::AwaitIdle(core::SteadyTime deadline) {
  co_await Poll();
  while (report_.order_in_progress) {
    const core::SteadyTime now = clock_.Now();
    if (now >= deadline) {
      throw Error(ErrorCode::kTimedOut, "the engine is busy with an order");
    }
    // The order, given by an earlier holder of the lease, is first assumed to
    // be a load from disk; requests are refused once it takes longer than one.
    const milliseconds left =
        ForeignOrderTimeLeft(foreign_order_since_, FindEngineSpec(), now);
    if (left > kMaxQueueTime) {
      throw Error(ErrorCode::kNoCapacity,
                  "the engine is busy with an order from before", left);
    }
    co_await core::SleepFor(options_.busy_poll_interval);
    co_await Poll();
  }
}

core::ModelId EngineController::ModelToUnload(
    const LoadRequest& load_request) const {
  const EngineOrder none;
  const auto victim = ChooseModelToUnload(
      BuildMemoryState(none), load_request.evict, load_request.model);
  if (!victim) {
    throw Error(ErrorCode::kNoCapacity, "every model here is in use");
  }
  return *victim;
}

core::Task<> EngineController::EnsureAdapter(const LoadRequest& load_request) {
  co_await adapter_mutex_.Acquire();
  const FifoMutex::Lock lock(adapter_mutex_);
  EngineOrder load;
  load.model = load_request.model;
  load.adapter = load_request.adapter;
  load.instance = load_request.instance;
  co_await Poll();
  while (!HasTakenEffect(load) && !Fits(load)) {
    const EngineOrder none;
    const auto victim = ChooseAdapterToUnload(BuildMemoryState(none));
    if (!victim) {
      throw Error(ErrorCode::kNoCapacity, "every adapter here is in use");
    }
    EngineOrder unload;
    unload.kind = OrderKind::kUnload;
    unload.model = victim->model;
    unload.adapter = victim->adapter;
    unload.instance = load_request.instance;
    co_await ExecuteOrder(unload, load_request.deadline);
  }
  co_await ExecuteOrder(load, load_request.deadline);
  last_loaded_[{load_request.model, load_request.adapter}] = clock_.Now();
}

/**
 * Sends an order, again if necessary, and waits until the engine reports its
 * effect.
 */
core::Task<> EngineController::ExecuteOrder(EngineOrder order,
                                            core::SteadyTime deadline) {
  const core::SteadyTime began = clock_.Now();
  bool accepted = false;
  core::SteadyTime accepted_at;
  while (true) {
    co_await Poll();
    if (IsOtherInstance(order.instance)) {
      throw Error(ErrorCode::kEngineReplaced, "the engine has restarted");
    }
    if (HasTakenEffect(order)) break;
    // An engine that crashes and restarts between two polls loses the order and
    // its order count.
    const bool forgotten = accepted &&
                           report_.order_count <= order.expected_count &&
                           clock_.Now() - accepted_at > kMaxReportDelay;
    if (forgotten) {
      throw Error(ErrorCode::kLoadFailed, "the engine has forgotten the order");
    }
    if (clock_.Now() - began > kOrderTimeout) {
      throw Error(ErrorCode::kLoadFailed, "the order has shown no effect");
    }
    // An accepted order is followed even after all callers have given up.
    if (!accepted && clock_.Now() >= deadline) {
      throw Error(ErrorCode::kTimedOut, "the order was not accepted in time");
    }
    if (accepted && IsFinished(order)) {
      throw Error(ErrorCode::kLoadFailed, "the engine gave the order up");
    }
    // An engine refuses any order, also for an adapter, while it carries one
    // out: when orders were sent meanwhile, half of all were refused.
    if (!accepted && !report_.order_in_progress) {
      // Checks the memory by the report whose order count is sent, not by an
      // older one.
      if (!Fits(order)) {
        throw Error(ErrorCode::kOverMemory, "the room is taken meanwhile");
      }
      order.expected_count = report_.order_count;
      accepted = co_await SubmitOnce(order);
      accepted_at = clock_.Now();
    }
    co_await core::SleepFor(options_.busy_poll_interval);
  }
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "order_done",
             {{"order", NameOf(order.kind)},
              {"model", order.model},
              {"adapter", order.adapter},
              {"instance", order.instance},
              {"order_count", report_.order_count},
              {"took_ms", std::chrono::duration_cast<milliseconds>(
                              clock_.Now() - began)}});
}

/**
 * Sends an order once.
 * @return True if the engine has accepted it.
 */
core::Task<bool> EngineController::SubmitOnce(EngineOrder order) {
  order.fence =
      leases_.FencingToken(options_.engine_address, HasNoForeignOrders());
  const std::int64_t number = next_order_++;
  open_orders_.push_back({number, order, clock_.Now()});
  std::optional<OrderAnswer> answer;
  std::optional<Error> failure;
  try {
    answer = co_await engine_.Submit(order);
  } catch (const Error& e) {
    failure = e;
  }
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "order_given",
             {{"order", NameOf(order.kind)},
              {"model", order.model},
              {"adapter", order.adapter},
              {"instance", order.instance},
              {"order_count", order.expected_count},
              {"fence", order.fence},
              {"answer", answer ? NameOf(*answer) : "no_answer"},
              {"error", failure ? failure->what() : ""}});
  metrics_.OrderSubmitted(NameOf(order.kind),
                          answer ? NameOf(*answer) : "no_answer");
  const bool unknown = failure && failure->code() == ErrorCode::kOutcomeUnknown;
  if (!unknown && (!answer || *answer != OrderAnswer::kAccepted)) {
    // The list may have changed while the order was sent, and the order itself
    // may have been removed as finished.
    std::erase_if(open_orders_, [number](const OpenOrder& it) {
      return it.number == number;
    });
  }
  if (unknown) {
    co_await core::SleepFor(kRetryPause);
    co_return false;
  }
  if (failure) throw Error(*failure);
  if (*answer == OrderAnswer::kOtherInstance) {
    throw Error(ErrorCode::kEngineReplaced, "the engine has restarted");
  }
  co_return *answer == OrderAnswer::kAccepted;
}

/**
 * Waits until no order of an earlier holder on another VM can be so recent that
 * orders of two VMs would seem to alternate.
 */
core::Task<> EngineController::AwaitHandover(core::SteadyTime deadline) {
  const milliseconds left =
      leases_.HandoverDelay(options_.engine_address, HasNoForeignOrders());
  if (left == milliseconds(0)) co_return;
  if (clock_.Now() + left >= deadline) {
    throw Error(ErrorCode::kNoCapacity, "the engine has just changed hands",
                left);
  }
  co_await core::SleepFor(left);
  co_await Poll();
}

/**
 * @return True if the engine has accepted no order of any other holder of its
 *   lease since this process was last allowed to give it orders. A report from
 *   before the claim may miss orders of the holder before. An engine without
 *   orders proves nothing: it may have restarted since, and forgotten them.
 */
bool EngineController::HasNoForeignOrders() const {
  if (!options_.reports_are_current || !report_time_) return false;
  if (report_requested_ < leases_.HeldSince(options_.engine_address)) {
    return false;
  }
  return last_held_state_ == ReportedState();
}

EngineController::HeldState EngineController::ReportedState() const {
  return {instance_, report_.start_time, report_.order_count};
}

void EngineController::RecordHeldState() {
  const std::string& engine = options_.engine_address;
  const bool may_order =
      leases_.Holds(engine) &&
      leases_.HandoverDelay(engine, HasNoForeignOrders()) == milliseconds(0);
  if (may_order) last_held_state_ = ReportedState();
}

/**
 * Tracks an order in progress that this process did not give, but an earlier
 * holder of the engine's lease. The engine accepts no further order until it
 * ends, and entries must not wait for that here.
 */
void EngineController::UpdateForeignOrder() {
  if (!report_.order_in_progress || !open_orders_.empty()) {
    foreign_order_since_.reset();
  } else if (!foreign_order_since_) {
    foreign_order_since_ = clock_.Now();
  }
}

}  // namespace sapphire::orders

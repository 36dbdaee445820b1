/** @file placer.cc Gets an endpoint for a request from its primary entry. */
#include <algorithm>
#include <utility>

#include "core/task_func.h"
#include "entry/attempt_func.h"
#include "entry/caller_request_func.h"
#include "entry/placer_base.h"
#include "policy/placement_func.h"

namespace sapphire::entry {

using core::Error;
using core::ErrorCode;
using core::Task;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kRetryAfter{1000};
/** Interval between checks whether the caller has disconnected. */
constexpr milliseconds kAbandonedPoll{250};

/** A slot that another entry holds for this one while the call is open. */
class RemotePlacement final : public Placement {
 public:
  RemotePlacement(const core::Executor& executor, const core::Logger& log,
                  std::shared_ptr<link::Call> call, gen::Placed placed)
      : executor_(executor),
        log_(log),
        call_(std::move(call)),
        placed_(std::move(placed)) {}

  [[nodiscard]] const gen::Placed& placed() const override { return placed_; }

  void Finish(gen::RunResult::type result) override {
    if (!call_) return;
    gen::PlaceDone done;
    done.result = result;
    gen::Message message;
    message.__set_place_done(done);
    core::Spawn(executor_, log_, "place_done",
                [call = std::exchange(call_, nullptr), message] {
                  return call->Send(message);
                });
  }

 private:
  const core::Executor executor_;
  const core::Logger& log_;
  std::shared_ptr<link::Call> call_;
  const gen::Placed placed_;
};

/** @return True if the failure is the entry's own, so that the next entry in
 * the ranking may answer. */
bool MayTryNextEntry(const Error& error) {
  const bool ended_there = error.code() == ErrorCode::kCancelled &&
                           error.outcome() == core::Outcome::kUnknown;
  return error.code() == ErrorCode::kLinkLost || ended_there;
}

}  // namespace

Placer::Placer(const core::Executor& executor, core::VmId self,
               Directory& directory, Scheduler& scheduler,
               link::LinkNode& links, const core::Clock& clock,
               const core::Logger& log)
    : executor_(executor),
      self_(std::move(self)),
      directory_(directory),
      scheduler_(scheduler),
      links_(links),
      clock_(clock),
      log_(log) {}

std::vector<KnownEntry> Placer::RankedEntries(std::string_view key) const {
  const std::vector<KnownEntry> entries = directory_.Entries();
  std::vector<core::VmId> names;
  names.reserve(entries.size());
  for (const KnownEntry& entry : entries) names.push_back(entry.vm);
  std::vector<KnownEntry> ranked;
  for (const core::VmId& name : policy::RankByRendezvousHash(key, names)) {
    const auto it =
        std::find_if(entries.begin(), entries.end(),
                     [&](const KnownEntry& entry) { return entry.vm == name; });
    ranked.push_back(*it);
  }
  return ranked;
}

Task<std::unique_ptr<Placement>> Placer::Place(gen::Run run,
                                               std::set<core::EndpointId> avoid,
                                               core::SteadyTime deadline,
                                               Abandoned abandoned) {
  if (run.model.empty()) {
    co_return co_await scheduler_.PlaceService(
        core::ServiceId(run.service_id), core::OwnerId(run.owner),
        Remaining(clock_, deadline), std::move(avoid));
  }
  gen::Place request = ToPlace(run);
  for (const core::EndpointId& id : avoid) request.avoid.push_back(id.value());
  for (const KnownEntry& entry : RankedEntries(run.model)) {
    if (Remaining(clock_, deadline) <= milliseconds::zero()) break;
    try {
      co_return co_await PlaceAt(entry, request, deadline, abandoned);
    } catch (const Error& e) {
      if (entry.vm == self_ || !MayTryNextEntry(e)) throw;
      directory_.MarkUnreachable(entry.vm);
      log_.Event(core::LogLevel::kWarning, core::LogCategory::kRequest,
                 "home_unreachable",
                 {{"request", run.request_id},
                  {"home", entry.vm},
                  {"error", e.what()}});
    }
  }
  throw Error(ErrorCode::kDeadlineTooShort, "no home entry could be asked",
              kRetryAfter);
}

Task<std::unique_ptr<Placement>> Placer::PlaceAt(KnownEntry entry,
                                                 gen::Place request,
                                                 core::SteadyTime deadline,
                                                 Abandoned abandoned) {
  request.remaining_ms = Remaining(clock_, deadline).count();
  if (entry.vm == self_) {
    co_return co_await scheduler_.Place(std::move(request),
                                        std::move(abandoned));
  }
  gen::Message first;
  first.__set_place(request);
  const auto call = co_await links_.Open(entry.address, std::move(first));
  gen::Message answer =
      co_await AwaitPlaced(call, deadline, std::move(abandoned));
  if (!answer.__isset.placed) {
    throw Error(ErrorCode::kInternal, "unexpected " + link::KindOf(answer));
  }
  co_return std::make_unique<RemotePlacement>(executor_, log_, call,
                                              std::move(answer.placed));
}

/** Polls while it waits, so that a disconnected caller leaves the queue:
 * dropping the call withdraws the request at the primary entry. */
Task<gen::Message> Placer::AwaitPlaced(std::shared_ptr<link::Call> call,
                                       core::SteadyTime deadline,
                                       Abandoned abandoned) {
  while (true) {
    const milliseconds left = Remaining(clock_, deadline);
    if (left <= milliseconds::zero()) {
      // The primary entry has not placed the request; dropping the call
      // withdraws it.
      throw Error(ErrorCode::kDeadlineTooShort,
                  "its time passed while it waited", kRetryAfter);
    }
    if (abandoned()) {
      throw Error(ErrorCode::kCancelled, "the caller left")
          .WithOutcome(core::Outcome::kNotRun);
    }
    std::optional<Error> failure;
    try {
      co_return co_await call->Receive(std::min(left, kAbandonedPoll));
    } catch (const Error& e) {
      failure = e;
    }
    if (failure->code() != ErrorCode::kTimedOut) throw Error(*failure);
  }
}

}  // namespace sapphire::entry

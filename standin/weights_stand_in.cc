/** @file weights_stand_in.cc Stand-in of the rate-limited weight store. */
#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "standin/weights_stand_in_base.h"

namespace sapphire::standin {

namespace json = boost::json;
using FloatSeconds = std::chrono::duration<double>;

namespace {

constexpr int kOk = 200;
constexpr std::string_view kPathPrefix = "/weights/";
/** How often a transfer recomputes its share of the store's speed. */
constexpr core::Millis kShareInterval{10};

constexpr std::array kFaults = {
    FaultDef{.name = "slow_factor", .kind = FaultKind::kNumber, .initial = 1},
};

std::int64_t BytesOf(const http::Request& request) {
  const auto text = http::QueryValue(request.target, "bytes");
  try {
    return std::stoll(text.value_or("none"));
  } catch (const std::logic_error&) {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      "bytes: must be an integer");
  }
}

}  // namespace

WeightsStandIn::WeightsStandIn(StandInContext context, WeightsOptions options)
    : StandIn(std::move(context), kFaults),
      options_(options),
      start_pacer_(options.loads_per_second, context_.clock) {}

core::Task<> WeightsStandIn::Serve(const http::Request& request,
                                   http::ResponseWriter& writer) {
  const std::string_view path = http::PathOf(request.target);
  if (!path.starts_with(kPathPrefix)) {
    throw core::Error(core::ErrorCode::kUnknownPath, std::string(path));
  }
  Transfer transfer;
  transfer.name = path.substr(kPathPrefix.size());
  transfer.bytes = BytesOf(request);
  transfer.requested_ms = WallMillis(context_.clock);
  co_await start_pacer_.Acquire();
  transfer.started_ms = WallMillis(context_.clock);
  co_await SimulateTransfer(transfer.bytes);
  transfer.ended_ms = WallMillis(context_.clock);
  RecordTransfer(transfer);
  co_await SendJson(writer, kOk, "{}");
}

core::Task<> WeightsStandIn::SimulateTransfer(std::int64_t bytes) {
  BeginTransfer();
  auto left = static_cast<double>(bytes);
  core::SteadyTime last = context_.clock.Now();
  while (left > 0 && !faults_.Flag("down")) {
    const FloatSeconds needed(left / CurrentSpeed());
    const auto whole = std::chrono::ceil<std::chrono::milliseconds>(
        std::min(needed, FloatSeconds(kShareInterval)));
    co_await core::SleepFor(whole);
    const core::SteadyTime now = context_.clock.Now();
    left -= FloatSeconds(now - last).count() * CurrentSpeed();
    last = now;
  }
  const std::lock_guard lock(mutex_);
  --active_;
}

void WeightsStandIn::BeginTransfer() {
  const std::lock_guard lock(mutex_);
  ++active_;
  peak_active_ = std::max(peak_active_, active_);
}

void WeightsStandIn::RecordTransfer(const Transfer& transfer) {
  CutIfDown();
  const std::lock_guard lock(mutex_);
  transfers_.push_back(transfer);
}

double WeightsStandIn::CurrentSpeed() const {
  const std::lock_guard lock(mutex_);
  const int at_full_speed = options_.at_once;
  const double share =
      active_ <= at_full_speed ? 1.0 : double{1} * at_full_speed / active_;
  const double slow = std::max(faults_.Number("slow_factor"), 1e-3);
  return options_.bytes_per_second * share / slow;
}

std::string WeightsStandIn::RecordJson() const {
  const std::lock_guard lock(mutex_);
  json::array transfers;
  for (const Transfer& it : transfers_) {
    json::object transfer;
    transfer["name"] = it.name;
    transfer["bytes"] = it.bytes;
    transfer["asked_ms"] = it.requested_ms;
    transfer["started_ms"] = it.started_ms;
    transfer["ended_ms"] = it.ended_ms;
    transfers.push_back(std::move(transfer));
  }
  json::object record;
  record["transfers"] = std::move(transfers);
  record["active"] = active_;
  record["peak_active"] = peak_active_;
  return json::serialize(record);
}

}  // namespace sapphire::standin

/** @file stand_in.cc Base class of the platform services' stand-ins. */
#include <utility>

#include "core/task_func.h"
#include "standin/stand_in_base.h"

namespace sapphire::standin {

namespace {

constexpr int kOk = 200;

}  // namespace

StandIn::StandIn(StandInContext context, std::span<const FaultDef> table)
    : context_(std::move(context)), faults_(table) {}

core::Task<> StandIn::Handle(const http::Request& request,
                             http::ResponseWriter& writer) {
  const std::string_view path = http::PathOf(request.target);
  if (path == "/standin/faults") {
    if (request.method == "POST") {
      faults_.SetJson(request.body.text());
      OnFaultsSet();
    }
    co_await SendJson(writer, kOk, faults_.AsJson());
    co_return;
  }
  if (path == "/standin/record") {
    co_await SendJson(writer, kOk, RecordJson());
    co_return;
  }
  CutIfDown();
  const std::chrono::milliseconds delay = faults_.Duration("delay_ms");
  if (delay.count() > 0) {
    co_await core::SleepFor(delay);
    CutIfDown();
  }
  co_await Serve(request, writer);
}

void StandIn::CutIfDown() const {
  if (faults_.Flag("down")) CutConnection("down");
}

void CutConnection(const std::string& why) {
  throw http::ConnectionCut("stand-in: " + why);
}

core::Task<> SendJson(http::ResponseWriter& writer, int status,
                      std::string body) {
  http::Response response =
      http::MakeResponse(status, "application/json", std::move(body));
  co_await writer.Send(std::move(response));
}

std::int64_t WallMillis(const core::Clock& clock) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             clock.WallNow().time_since_epoch())
      .count();
}

}  // namespace sapphire::standin

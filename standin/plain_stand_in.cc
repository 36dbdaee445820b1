/** @file plain_stand_in.cc Stand-in of a plain application service. */
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "standin/plain_stand_in_base.h"

namespace sapphire::standin {

namespace json = boost::json;

namespace {

constexpr int kOk = 200;
constexpr std::array kFaults = {
    FaultDef{.name = "lose_answers", .kind = FaultKind::kCount},
    FaultDef{.name = "cut_body", .kind = FaultKind::kCount},
};

std::string HeaderOf(const http::Request& request, std::string_view name) {
  return std::string(http::FindHeader(request.headers, name).value_or(""));
}

/** Sends the first half of an answer and closes the connection. */
core::Task<> SendHalf(http::ResponseWriter& writer, const std::string& body) {
  http::ResponseHead head;
  head.headers.push_back({"Content-Type", "application/json"});
  co_await writer.Begin(std::move(head));
  const std::string_view whole = body;
  co_await writer.Write(whole.substr(0, whole.size() / 2));
  CutConnection("cut body");
}

}  // namespace

PlainStandIn::PlainStandIn(StandInContext context, std::string service)
    : StandIn(std::move(context), kFaults), service_(std::move(service)) {}

core::Task<> PlainStandIn::Serve(const http::Request& request,
                                 http::ResponseWriter& writer) {
  std::string body = RecordRun(request);
  if (faults_.ConsumeOne("lose_answers")) CutConnection("lost answer");
  if (faults_.ConsumeOne("cut_body")) {
    co_await SendHalf(writer, body);
    co_return;
  }
  co_await SendJson(writer, kOk, std::move(body));
}

std::string PlainStandIn::RecordRun(const http::Request& request) {
  Run run;
  run.request_id = HeaderOf(request, "X-Request-Id");
  run.method = request.method;
  run.path = http::PathOf(request.target);
  run.idempotency_key = HeaderOf(request, "Idempotency-Key");
  run.at_ms = WallMillis(context_.clock);
  json::object answer;
  answer["service"] = service_;
  answer["request_id"] = run.request_id;
  const std::lock_guard lock(mutex_);
  runs_.push_back(std::move(run));
  answer["runs"] = runs_.size();
  return json::serialize(answer);
}

std::string PlainStandIn::RecordJson() const {
  const std::lock_guard lock(mutex_);
  json::array runs;
  for (const Run& it : runs_) {
    json::object run;
    run["request_id"] = it.request_id;
    run["method"] = it.method;
    run["path"] = it.path;
    run["idempotency_key"] = it.idempotency_key;
    run["at_ms"] = it.at_ms;
    runs.push_back(std::move(run));
  }
  json::object record;
  record["runs"] = std::move(runs);
  return json::serialize(record);
}

}  // namespace sapphire::standin

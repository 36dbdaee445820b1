/** @file soak_engine.cc Simulates an engine of the platform. */
#include <fmt/format.h>

#include <utility>

#include "core/random_func.h"
#include "core/task_func.h"
#include "external/json_func.h"
#include "platform/wire_names.h"
#include "soak_draw_base.h"
#include "soak_engine_base.h"

namespace sapphire::deploy::soak {

namespace json = boost::json;
using platform::kCredentials;
using platform::kEngineLeaving;
using platform::kExpectInstance;
using platform::kInstance;
using platform::kLastEvent;
using platform::kModel;
using platform::kNotRun;
using platform::kOrganisation;
using platform::kPromptParts;
using platform::kRequestId;
using platform::kResponseStamp;
using platform::kRetryAfter;
using platform::kTokenCount;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr milliseconds kLoadTime{400};
constexpr milliseconds kEventInterval{20};
constexpr milliseconds kPlainRunTime{40};
constexpr milliseconds kRunPollInterval{5};
/** One in this many streams is broken off. */
constexpr int kBreakEvery = 6;
constexpr int kMaxEventsBeforeBreak = 4;

std::string HeaderOf(const http::Request& request, std::string_view name) {
  return std::string(http::FindHeader(request.headers, name).value_or(""));
}

/**
 * Ends a stream in the middle. An orderly end falls inside an event or, without
 * length or chunks, before the first one; elsewhere it would be the end of a
 * complete stream.
 * @param event The event that would follow.
 * @throws http::ConnectionCut
 */
core::Task<> BreakOff(http::ResponseWriter& writer, const AnswerShape& shape,
                      const std::string& event) {
  if (shape.breaks_inside_event) {
    co_await writer.Write(event.substr(0, event.size() / 2));
  }
  const bool is_empty = shape.events_before_break == 0;
  const bool may_end =
      shape.breaks_inside_event || (is_empty && shape.ends_with_connection);
  if (!shape.breaks_orderly || !may_end) {
    throw http::ConnectionCut("broken off");
  }
  co_await writer.End();
}

}  // namespace

SoakEngine::SoakEngine(boost::asio::io_context& io, SoakEngineOptions options,
                       SoakRecord& record, std::function<void()> on_crash,
                       const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      io_(io),
      record_(record),
      on_crash_(std::move(on_crash)),
      clock_(clock),
      log_(log),
      instance_(options_.instance),
      software_version_(options_.software_version),
      loaded_models_(options_.models),
      server_(
          io.get_executor(), options_.listen, http::ServerLimits(),
          [this](const http::Request& request, http::ResponseWriter& writer) {
            return Answer(request, writer);
          },
          log) {
  server_.Start();
}

void SoakEngine::Crash() {
  ++crash_count_;
  loaded_models_.clear();
  running_.clear();
  order_in_progress_ = false;
  orders_ = 0;
}

void SoakEngine::Restart(const std::string& instance) {
  Crash();
  if (std::exchange(starts_loaded_, false)) loaded_models_ = options_.models;
  instance_ = instance;
  leaving_ = false;
  turns_away_until_ = core::SteadyTime();
}

core::Task<> SoakEngine::Answer(const http::Request& request,
                                http::ResponseWriter& writer) {
  if (request.target.ends_with("/report")) {
    co_await writer.Send(Report());
    co_return;
  }
  const std::string expected = HeaderOf(request, kExpectInstance);
  if (!expected.empty() && expected != instance_) {
    co_await writer.Send(NotRunResponse(kMisdirected));
    co_return;
  }
  if (request.target.ends_with("/order")) {
    co_await AnswerOrder(request, writer);
    co_return;
  }
  if (clock_.Now() < turns_away_until_) {
    co_await AnswerTurnedAway(request, writer);
    co_return;
  }
  const std::string model = HeaderOf(request, kModel);
  if (model.empty()) {
    co_await RunPlain(request, writer);
  } else if (loaded_models_.contains(model)) {
    co_await RunStream(request, writer);
  } else {
    co_await writer.Send(NotRunResponse(kMisdirected));
  }
}

http::Response SoakEngine::Report() const {
  json::array models;
  for (const std::string& it : loaded_models_) {
    models.push_back(json::object{
        {"name", it}, {"version", 1}, {"adapters", json::array()}});
  }
  json::array disk;
  for (const std::string& it : options_.disk) disk.emplace_back(it);
  int running = 0;
  for (const auto& [model, count] : running_) running += count;
  const json::object report{{"models", models},
                            {"atHand", json::object{{"onDisk", disk}}},
                            {"busy", order_in_progress_},
                            {"seq", orders_},
                            {"running", running},
                            {"waiting", 0},
                            {"kvUsed", 0},
                            {"kvTotal", 100'000}};
  http::Response response =
      http::MakeResponse(kOk, "application/json", json::serialize(report));
  AddNotice(response.head);
  return response;
}

core::Task<> SoakEngine::AnswerOrder(const http::Request& request,
                                     http::ResponseWriter& writer) {
  const json::object order = external::ParseObject(request.body.text());
  ReceivedOrder seen;
  seen.instance = instance_;
  seen.holder = external::StringAt(order, "holder");
  seen.fence = external::IntegerAt(order, "fence");
  seen.at = clock_.Now();
  record_.orders.push_back(seen);
  const int status = AcceptOrder(order);
  co_await writer.Send(http::MakeResponse(status, "application/json", "{}"));
}

/** @return The HTTP status of the answer. */
int SoakEngine::AcceptOrder(const json::object& order) {
  const std::string model = external::StringAt(order, "model");
  const bool load = external::StringAt(order, "op") == "load";
  if (loaded_models_.contains(model) == load) return kOk;
  const bool stale = external::IntegerAt(order, "expect") != orders_;
  if (order_in_progress_ || stale) return kConflict;
  if (load && loaded_models_.size() >= options_.max_models) {
    record_.over_memory.push_back(instance_ + " by " + model);
  }
  ++orders_;
  order_in_progress_ = true;
  const std::int64_t crash_count = crash_count_;
  core::Spawn(
      io_.get_executor(), log_, "order", [this, load, model, crash_count] {
        return load ? Load(model, crash_count) : Unload(model, crash_count);
      });
  return kAccepted;
}

core::Task<> SoakEngine::Load(std::string model, std::int64_t crash_count) {
  co_await core::SleepFor(kLoadTime);
  if (crash_count != crash_count_) co_return;
  loaded_models_.insert(model);
  order_in_progress_ = false;
}

core::Task<> SoakEngine::Unload(std::string model, std::int64_t crash_count) {
  while (crash_count == crash_count_ && running_[model] > 0) {
    co_await core::SleepFor(kRunPollInterval);
  }
  if (crash_count != crash_count_) co_return;
  loaded_models_.erase(model);
  order_in_progress_ = false;
}

http::Response SoakEngine::NotRunResponse(int status) const {
  http::Response response = http::MakeResponse(status, "text/plain", "");
  response.head.headers.push_back({std::string(kNotRun), "1"});
  response.head.headers.push_back({std::string(kInstance), instance_});
  AddNotice(response.head);
  return response;
}

core::Task<> SoakEngine::AnswerTurnedAway(const http::Request& request,
                                          http::ResponseWriter& writer) {
  record_.turned_away.push_back(
      {HeaderOf(request, kRequestId), instance_, clock_.Now(), rest_});
  http::Response response = NotRunResponse(kUnavailable);
  const std::chrono::duration<double> seconds = rest_;
  response.head.headers.push_back(
      {std::string(kRetryAfter), fmt::format("{:.3f}", seconds.count())});
  co_await writer.Send(std::move(response));
}

void SoakEngine::AddNotice(http::ResponseHead& head) const {
  if (!leaving_) return;
  head.headers.push_back({std::string(kEngineLeaving), "1"});
}

AnswerShape SoakEngine::ShapeOf(const std::string& request) const {
  AnswerShape shape;
  if (!options_.broken_answers_seed) return shape;
  Draw draw(*options_.broken_answers_seed ^ core::HashOf(request + instance_));
  shape.ends_with_connection = draw.Below(2) == 0;
  if (!breaks_answers_ || draw.Below(kBreakEvery) != 0) return shape;
  shape.events_before_break = draw.Below(kMaxEventsBeforeBreak);
  shape.breaks_inside_event = draw.Below(2) == 0;
  shape.breaks_orderly = draw.Below(2) == 0;
  return shape;
}

http::ResponseHead SoakEngine::MakeResponseHead(const std::string& id) const {
  http::ResponseHead head;
  head.headers.push_back({std::string(kRequestId), id});
  head.headers.push_back({std::string(kResponseStamp), "soak"});
  head.headers.push_back({std::string(kInstance), instance_});
  AddNotice(head);
  return head;
}

void SoakEngine::Begin(const http::Request& request) {
  const std::string id = HeaderOf(request, kRequestId);
  record_.organisations.push_back(
      {id, HeaderOf(request, kOrganisation), clock_.Now()});
  if (http::FindHeader(request.headers, kCredentials)) {
    record_.credentials_passed_on.push_back(id);
  }
  if (request.body.text() == kDeadlyBody) {
    ++record_.deadly_crashes;
    on_crash_();
    throw http::ConnectionCut("crashed");
  }
  Run run;
  run.instance = instance_;
  run.began = clock_.Now();
  record_.runs[id].push_back(run);
}

/** Crashes if the prompt has kCrashingPart. @throws http::ConnectionCut */
void SoakEngine::CrashIfDeadly(const http::Request& request) {
  const std::string parts = HeaderOf(request, kPromptParts);
  if (parts.find(kCrashingPart) == std::string::npos) return;
  record_.part_crashes.emplace_back(HeaderOf(request, kRequestId),
                                    clock_.Now());
  on_crash_();
  throw http::ConnectionCut("crashed");
}

/** @throws http::ConnectionCut if the engine crashes during the pause. */
core::Task<> SoakEngine::SleepUnlessCrashed(milliseconds time,
                                            std::int64_t crash_count) const {
  co_await core::SleepFor(time);
  if (crash_count != crash_count_) throw http::ConnectionCut("crashed");
}

core::Task<> SoakEngine::RunPlain(const http::Request& request,
                                  http::ResponseWriter& writer) {
  const std::string id = HeaderOf(request, kRequestId);
  Begin(request);
  co_await SleepUnlessCrashed(kPlainRunTime, crash_count_);
  http::ResponseHead head = MakeResponseHead(id);
  head.headers.push_back({"Content-Type", "text/plain"});
  head.ends_with_connection = ShapeOf(id).ends_with_connection;
  if (head.ends_with_connection) {
    co_await writer.Begin(std::move(head));
    co_await writer.Write(id);
    co_await writer.End();
    co_return;
  }
  http::Response response{std::move(head), id};
  co_await writer.Send(std::move(response));
}

/** @throws http::ConnectionCut if the engine crashes or breaks the stream off.
 */
core::Task<> SoakEngine::WriteEvents(const http::Request& request,
                                     http::ResponseWriter& writer,
                                     std::int64_t crash_count) {
  const std::string id = HeaderOf(request, kRequestId);
  const std::string tokens = HeaderOf(request, kTokenCount);
  const int events = std::stoi(tokens.substr(tokens.find(',') + 1));
  const std::string last = HeaderOf(request, kLastEvent);
  const AnswerShape shape = ShapeOf(id);
  http::ResponseHead head = MakeResponseHead(id);
  head.ends_with_connection = shape.ends_with_connection;
  co_await writer.Begin(std::move(head));
  CrashIfDeadly(request);
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  for (int i = first; i <= events; ++i) {
    co_await SleepUnlessCrashed(kEventInterval, crash_count);
    if (writer.CallerDisconnected()) throw http::ConnectionCut("caller gone");
    const std::string event =
        fmt::format("id: {}\ndata: {}{}\n\n", i, id, software_version_);
    if (i == first + shape.events_before_break) {
      co_await BreakOff(writer, shape, event);
      co_return;
    }
    co_await writer.Write(event);
  }
  co_await writer.End();
}

core::Task<> SoakEngine::RunStream(const http::Request& request,
                                   http::ResponseWriter& writer) {
  const std::string id = HeaderOf(request, kRequestId);
  const std::string model = HeaderOf(request, kModel);
  Begin(request);
  const std::size_t run = record_.runs[id].size() - 1;
  const std::int64_t crash_count = crash_count_;
  ++running_[model];
  std::exception_ptr end;
  try {
    co_await WriteEvents(request, writer, crash_count);
  } catch (...) {
    end = std::current_exception();
  }
  if (crash_count == crash_count_) --running_[model];
  record_.runs[id][run].ended = clock_.Now();
  record_.runs[id][run].finished = true;
  if (end) std::rethrow_exception(end);
}

}  // namespace sapphire::deploy::soak

/** @file soak_caller.cc Simulates callers that send requests, cancel
 * some of them and check the answers. */
#include <fmt/format.h>

#include <utility>

#include "core/task_func.h"
#include "platform/wire_names.h"
#include "soak_caller_base.h"
#include "soak_engine_base.h"

namespace sapphire::deploy::soak {

using platform::kCredentials;
using platform::kDeadline;
using platform::kEngineLeaving;
using platform::kInstance;
using platform::kLastEvent;
using platform::kModel;
using platform::kPromptParts;
using platform::kRequestId;
using platform::kResponseStamp;
using platform::kResumes;
using platform::kTokenCount;
using routing::RequestKind;

namespace {

constexpr milliseconds kPause{60};
/** Time allowed for an answer to arrive after the route's timeout. */
constexpr milliseconds kAnswerSlack{1500};
constexpr int kMaxEvents = 40;
/** One in kCancelEvery requests is cancelled early; one in kDeadlyEvery is
 * deadly. */
constexpr int kCancelEvery = 12;
constexpr int kDeadlyEvery = 8;
/** One in this many streams has kCrashingPart. */
constexpr int kCrashingPartEvery = 5;
/** One in this many requests that may be repeated has a path without a route.
 */
constexpr int kNoRouteEvery = 5;
/** One in this many of the others has the path of an older route. */
constexpr int kOldRouteEvery = 3;
/** XORed with the seed to give paths a random stream of their own. */
constexpr std::uint64_t kPathStream = 0x7061'7468;
/** Sessions of a caller, whose requests share a prompt part. */
constexpr int kSessions = 3;
/** Attempts to take a broken stream up. */
constexpr int kMaxTakeUps = 3;
/** Attempts within options_.take_up_time, if refused at once. */
constexpr int kTakeUpsInTime = 20;
constexpr int kKinds = 4;
constexpr int kOk = 200;

bool GuaranteesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

RequestKind KindOf(int drawn) {
  if (drawn == 0) return RequestKind::kIdempotent;
  return drawn == 1 ? RequestKind::kNonIdempotent : RequestKind::kStream;
}

}  // namespace

std::string AddedPath(std::size_t number) {
  return fmt::format("/added{}/", number);
}

SoakCaller::SoakCaller(SoakCallerOptions options, SoakRecord& record,
                       const core::Clock& clock)
    : options_(std::move(options)),
      record_(record),
      clock_(clock),
      random_(options_.seed * 1000 + static_cast<unsigned>(options_.number)),
      path_draw_(
          (options_.seed * 1000 + static_cast<unsigned>(options_.number)) ^
          kPathStream) {
  for (const std::string& it : options_.entries) {
    clients_.push_back(std::make_unique<http::Client>(it));
  }
}

int SoakCaller::RandomBelow(int bound) {
  return static_cast<int>(random_() % static_cast<std::uint64_t>(bound));
}

core::Task<> SoakCaller::Run(core::SteadyTime end) {
  while (clock_.Now() < end) {
    Attempt attempt = NextAttempt(KindOf(RandomBelow(kKinds)));
    const int events = 1 + RandomBelow(kMaxEvents);
    const bool leaves = RandomBelow(kCancelEvery) == 0;
    const milliseconds idle_timeout = leaves
                                          ? milliseconds(20 + RandomBelow(500))
                                          : kRouteTimeout + kAnswerSlack;
    const http::Request request = MakeRequest(attempt, events);
    StreamProgress progress;
    attempt.sent = clock_.Now();
    co_await Send(attempt, request, events, idle_timeout, progress);
    attempt.ended = clock_.Now();
    if (leaves && attempt.end == AttemptEnd::kTimedOut) {
      attempt.end = AttemptEnd::kCancelled;
    }
    record_.attempts.push_back(attempt);
    const bool is_broken = attempt.end == AttemptEnd::kConnectionFailed;
    if (options_.takes_up_streams && is_broken && progress.events > 0) {
      co_await TakeUp(request, events, progress);
    }
    co_await core::SleepFor(kPause + milliseconds(RandomBelow(60)));
  }
}

Attempt SoakCaller::NextAttempt(RequestKind kind) {
  Attempt attempt;
  attempt.id = fmt::format("{}-{}", options_.number, ++sent_);
  attempt.kind = kind;
  attempt.entry = RandomBelow(static_cast<int>(clients_.size()));
  attempt.key = CurrentKey();
  return attempt;
}

/** Goes on with a stream that was broken off, at entries drawn anew. */
core::Task<> SoakCaller::TakeUp(http::Request request, int events,
                                StreamProgress& progress) {
  std::erase_if(request.headers,
                [](const http::Header& it) { return it.name == kRequestId; });
  const core::SteadyTime began = clock_.Now();
  const int had_at_first = progress.events;
  const auto is_over = [&](int attempts) {
    return progress.events >= events ||
           (attempts >= kMaxTakeUps &&
            clock_.Now() >= began + options_.take_up_time);
  };
  for (int i = 0; !is_over(i); ++i) {
    co_await core::SleepFor(
        std::max(kPause, options_.take_up_time / kTakeUpsInTime));
    Attempt attempt = NextAttempt(RequestKind::kStream);
    http::Request next = request;
    next.headers.push_back({std::string(kRequestId), attempt.id});
    next.headers.push_back({std::string(kResumes), progress.first_attempt});
    next.headers.push_back(
        {std::string(kLastEvent), std::to_string(progress.events)});
    const int had = progress.events;
    attempt.sent = clock_.Now();
    co_await Send(attempt, next, events, kRouteTimeout + kAnswerSlack,
                  progress);
    attempt.ended = clock_.Now();
    record_.attempts.push_back(attempt);
    ++record_.taken_up;
    if (progress.events > had) ++record_.went_on;
  }
  const auto& kills = record_.kills_of_all_entries;
  const bool is_killed = !kills.empty() && began >= kills.back() &&
                         began <= kills.back() + kAnswerSlack;
  if (!is_killed) co_return;
  ++(progress.events > had_at_first ? record_.rejoined : record_.not_rejoined);
}

std::string SoakCaller::CurrentKey() const {
  if (options_.keys == nullptr) return "";
  const int organisation = OrganisationOf(options_.number);
  const int generation =
      options_.number == kStaleKeyCaller
          ? 0
          : options_.keys->at(static_cast<std::size_t>(organisation));
  return KeyOf(organisation, generation);
}

/** @return Parts that all streams share, that a session shares and that the
 * request has alone; before the last one, maybe kCrashingPart. */
std::string SoakCaller::DrawPromptParts(Attempt& attempt) {
  attempt.crashes_engines = clock_.Now() < *options_.crashing_part_until &&
                            RandomBelow(kCrashingPartEvery) == 0;
  const int session = options_.number * kSessions + RandomBelow(kSessions);
  return fmt::format(
      "a1:80,{:x}:40,{}c{:x}{:04x}:9", 0xb0000 + session,
      attempt.crashes_engines ? std::string(kCrashingPart) + "," : "",
      options_.number, sent_);
}

/** Draws the path of a request: if it may be repeated, mostly that of the
 * newest route. */
std::string SoakCaller::DrawPath(Attempt& attempt) {
  if (attempt.kind == RequestKind::kStream) return std::string(kStreamPath);
  if (attempt.kind == RequestKind::kNonIdempotent) {
    return std::string(kOncePath);
  }
  if (path_draw_.Below(kNoRouteEvery) == 0) {
    attempt.route_since.reset();
    return fmt::format("/never{}/", sent_);
  }
  const auto& added = record_.routes_added;
  const int n = static_cast<int>(added.size());
  const bool is_old = path_draw_.Below(kOldRouteEvery) == 0;
  const int number = is_old ? path_draw_.Below(n + 1) - 1 : n - 1;
  if (number < 0) return std::string(kSafePath);
  attempt.route_since = added.at(static_cast<std::size_t>(number));
  return AddedPath(static_cast<std::size_t>(number));
}

http::Request SoakCaller::MakeRequest(Attempt& attempt, int events) {
  http::Request request;
  request.method = "POST";
  request.target = DrawPath(attempt) + "x";
  const auto set = [&request](std::string_view name, std::string value) {
    request.headers.push_back({std::string(name), std::move(value)});
  };
  set("Host", std::string(kHost));
  set(kRequestId, attempt.id);
  set(kDeadline, std::to_string(kRouteTimeout.count()));
  if (!attempt.key.empty()) set(kCredentials, "Bearer " + attempt.key);
  request.body = "body of " + attempt.id;
  if (attempt.kind != RequestKind::kStream) return request;
  const int model = RandomBelow(static_cast<int>(options_.models.size()));
  set(kModel, options_.models.at(static_cast<std::size_t>(model)));
  set(kTokenCount, fmt::format("100,{}", events));
  if (options_.crashing_part_until) {
    set(kPromptParts, DrawPromptParts(attempt));
  }
  const bool deadly =
      clock_.Now() < options_.deadly_until && RandomBelow(kDeadlyEvery) == 0;
  if (deadly) request.body = std::string(kDeadlyBody);
  return request;
}

core::Task<> SoakCaller::Send(Attempt& attempt, const http::Request& request,
                              int events, milliseconds idle_timeout,
                              StreamProgress& progress) {
  const core::SteadyTime end = clock_.Now() + idle_timeout;
  const auto left = [&] {
    const auto rest =
        std::chrono::duration_cast<milliseconds>(end - clock_.Now());
    return std::max(rest, milliseconds(1));
  };
  http::Client& client = *clients_.at(static_cast<std::size_t>(attempt.entry));
  std::string body;
  try {
    const auto stream = co_await client.Open(request, left());
    RecordLeaveNotice(attempt, stream->head());
    while (true) {
      const http::BodyPart part = co_await stream->Read(left());
      const auto* bytes = std::get_if<std::string>(&part);
      if (bytes == nullptr) break;
      body += *bytes;
      if (clock_.Now() >= end) {
        throw http::TransportError("too late", true, true);
      }
    }
    CheckAnswer(attempt, stream->head(), body, events, progress);
  } catch (const http::TransportError& e) {
    attempt.end =
        e.timed_out() ? AttemptEnd::kTimedOut : AttemptEnd::kConnectionFailed;
    if (attempt.kind == RequestKind::kStream) {
      ReadEvents(attempt, body, progress);
    }
  }
}

void SoakCaller::RecordLeaveNotice(const Attempt& attempt,
                                   const http::ResponseHead& head) {
  if (!http::FindHeader(head.headers, kEngineLeaving)) return;
  const auto instance = http::FindHeader(head.headers, kInstance);
  record_.leave_notices.push_back(
      {attempt.entry, std::string(instance.value_or("")), clock_.Now()});
}

/** Adds the events of an attempt's answer, which may end inside an event.
 * @return True if the answer consists of complete events in order. */
bool SoakCaller::ReadEvents(const Attempt& attempt, std::string_view body,
                            StreamProgress& progress) {
  constexpr std::string_view kEnd = "\n\n";
  while (!body.empty()) {
    const std::string begin =
        fmt::format("id: {}\ndata: {}", progress.events + 1, attempt.id);
    const std::size_t end = body.find(kEnd);
    if (end == body.npos || !body.starts_with(begin)) return false;
    const std::string version(body.substr(begin.size(), end - begin.size()));
    if (!version.empty() && !version.starts_with('@')) return false;
    if (progress.events == 0) {
      progress.first_attempt = attempt.id;
      progress.version = version;
    } else if (version != progress.version) {
      record_.joined_versions.push_back(progress.first_attempt);
    }
    ++progress.events;
    body.remove_prefix(end + kEnd.size());
  }
  return true;
}

void SoakCaller::CheckAnswer(Attempt& attempt, const http::ResponseHead& head,
                             const std::string& body, int events,
                             StreamProgress& progress) {
  attempt.status = head.status;
  if (head.status != kOk) {
    attempt.end = GuaranteesNotRun(head.status) ? AttemptEnd::kRefused
                                                : AttemptEnd::kFailed;
    return;
  }
  const bool is_whole =
      attempt.kind == RequestKind::kStream
          ? ReadEvents(attempt, body, progress) && progress.events == events
          : body == attempt.id;
  attempt.end = AttemptEnd::kServed;
  attempt.corrupt =
      !is_whole || !http::FindHeader(head.headers, kResponseStamp).has_value();
}

}  // namespace sapphire::deploy::soak

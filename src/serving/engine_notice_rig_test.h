/** @file engine_notice_rig_test.h Engines that say something of themselves in
 * their answers. */
#ifndef SAPPHIRE_SERVING_ENGINE_NOTICE_RIG_TEST_H_
#define SAPPHIRE_SERVING_ENGINE_NOTICE_RIG_TEST_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving::testing {

inline constexpr milliseconds kWait{2000};
inline constexpr int kLater = 6;
inline const fleet::InstanceId kFirst("i-1");
inline const http::Header kLeaving{"leaving", "1"};

/** How an engine answers. */
struct Shape {
  int status = 200;
  std::vector<http::Header> headers;
};

inline http::Header RestOf(milliseconds rest) {
  return {"rest-ms", std::to_string(rest.count())};
}

inline Shape TurningAway(milliseconds rest) {
  return {503, {{"not-run", "1"}, RestOf(rest)}};
}

/** Answers as `shape()` says at that time; a success is a stream of one event.
 */
inline http::Handler Shaped(std::function<Shape()> shape) {
  return [shape = std::move(shape)](
             const http::Request& request,
             http::ResponseWriter& writer) -> core::Task<> {
    const Shape now = shape();
    http::Response response =
        http::MakeResponse(now.status, "text/plain", "id: 1\ndata: a\n\n");
    response.head.headers.push_back({"genuine", "1"});
    response.head.headers.push_back(
        {"id",
         std::string(http::FindHeader(request.headers, "id").value_or(""))});
    for (const http::Header& it : now.headers) {
      response.head.headers.push_back(it);
    }
    co_await writer.Send(std::move(response));
  };
}

inline http::Handler Always(const Shape& shape) {
  return Shaped([shape] { return shape; });
}

inline http::Handler Sound() { return Always({}); }

inline const core::ServiceId& ServiceOf(const std::string& path) {
  return path == "/stream/" ? kDrafts : kPlain;
}

/** @return Number of the requests that were served. */
inline int ServeSome(Rig& rig, const std::string& path, int requests,
                     milliseconds pause = milliseconds(0)) {
  int served = 0;
  for (int i = 0; i < requests; ++i) {
    RecordingWriter writer;
    rig.Serve(path, kWait, writer);
    if (writer.status == 200 && writer.whole) ++served;
    if (pause > milliseconds(0)) rig.Pass(pause);
  }
  return served;
}

/** Begins requests and lets them run together. */
class Together {
 public:
  explicit Together(Rig& rig) : rig_(rig) {}

  RecordingWriter& Begin(const std::string& path, milliseconds wait) {
    writers_.push_back(std::make_unique<RecordingWriter>());
    RecordingWriter& writer = *writers_.back();
    core::Spawn(rig_.io.get_executor(), rig_.log, "request",
                [this, path, wait, &writer]() -> core::Task<> {
                  co_await rig_.ServeTask(path, wait, writer);
                });
    return writer;
  }

  /** Waits until all requests have an answer. */
  void Finish() {
    constexpr milliseconds kStep{20};
    constexpr int kMaxSteps = 500;
    const auto is_open = [](const auto& it) { return it->answers == 0; };
    for (int i = 0; i < kMaxSteps && std::ranges::any_of(writers_, is_open);
         ++i) {
      rig_.Pass(kStep);
    }
  }

  [[nodiscard]] int served() const {
    return static_cast<int>(std::ranges::count_if(writers_, [](const auto& it) {
      return it->status == 200 && it->whole;
    }));
  }

 private:
  Rig& rig_;
  std::vector<std::unique_ptr<RecordingWriter>> writers_;
};

}  // namespace sapphire::serving::testing

#endif  // SAPPHIRE_SERVING_ENGINE_NOTICE_RIG_TEST_H_

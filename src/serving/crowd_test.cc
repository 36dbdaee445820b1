/** @file crowd_test.cc Tests of a crowd of new connections at one server. */
#define BOOST_TEST_MODULE crowd
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

#include "core/task_func.h"
#include "http/client_base.h"
#include "http/server_base.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

/** An answer takes half a second; in time are three times as much. */
constexpr int kEvents = 20;
constexpr milliseconds kEventInterval{20};
constexpr milliseconds kInTime{1500};
/** Processor time of an event: the server can serve 100 requests a second. */
constexpr std::chrono::microseconds kEventWork{500};
/** The crowd sends 250 requests a second, each on a new connection. */
constexpr milliseconds kArrivalInterval{4};
constexpr int kCrowd = 500;
constexpr milliseconds kTimeout{8000};
/** Of the requests that were read, as many have to be answered in time. */
constexpr double kMinServedShare = 0.75;

void Work(std::chrono::microseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < end) {
  }
}

/** A server with one thread of its own. */
struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        server(
            io.get_executor(), "127.0.0.1:0", http::ServerLimits(),
            [this](const http::Request&, http::ResponseWriter& writer) {
              ++read;
              return Stream(writer);
            },
            log) {
    server.Start();
    thread = std::thread([this] { io.run(); });
  }
  ~Rig() {
    io.stop();
    thread.join();
  }
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  static core::Task<> Stream(http::ResponseWriter& writer) {
    http::ResponseHead head;
    co_await writer.Begin(std::move(head));
    for (int i = 0; i < kEvents; ++i) {
      Work(kEventWork);
      co_await writer.Write("x");
      co_await core::SleepFor(kEventInterval);
    }
    co_await writer.End();
  }

  boost::asio::io_context io;
  core::SystemClock clock;
  core::Logger log;
  std::atomic<int> read{0};
  http::Server server;
  std::thread thread;
};

core::Task<> SendOne(Rig& rig, int& in_time, int& ended) {
  http::Client client(rig.server.address());
  http::Request request;
  request.method = "POST";
  request.target = "/";
  const core::SteadyTime began = rig.clock.Now();
  try {
    co_await client.Fetch(std::move(request), kTimeout);
    if (rig.clock.Now() - began < kInTime) ++in_time;
  } catch (const http::TransportError&) {
    // Refused or too late; another server may have answered it.
  }
  ++ended;
}

}  // namespace

/** Guards against a server that reads a crowd's requests and answers none of
 * them in time, where it could have left most of them to its peers. */
BOOST_AUTO_TEST_CASE(RequestsReadFromACrowdAreAnsweredInTime) {
  Rig rig;
  boost::asio::io_context io;
  int in_time = 0;
  int ended = 0;
  core::Spawn(io.get_executor(), rig.log, "crowd", [&]() -> core::Task<> {
    for (int i = 0; i < kCrowd; ++i) {
      core::Spawn(io.get_executor(), rig.log, "send",
                  [&] { return SendOne(rig, in_time, ended); });
      co_await core::SleepFor(kArrivalInterval);
    }
  });
  while (ended < kCrowd && io.run_one() > 0) {
  }
  BOOST_TEST_MESSAGE("read " << rig.read << ", in time " << in_time);
  BOOST_TEST(in_time >= kMinServedShare * rig.read);
}

}  // namespace sapphire::serving

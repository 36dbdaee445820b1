/** @file stand_in_server.cc Runs one stand-in behind its own HTTP server. */
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

#include "standin/stand_in_server_base.h"

namespace sapphire::standin {

namespace {

/** JSON escaping makes a value of one megabyte larger. */
constexpr std::size_t kMaxBodyBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t kThreads = 2;

http::ServerLimits Limits() {
  http::ServerLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  return limits;
}

}  // namespace

/** Members are destroyed in reverse order: the I/O context destroys the
 * coroutines, and the stand-in must outlive them. */
struct StandInServer::State {
  State(const std::string& name, const std::string& listen_address,
        const Factory& factory)
      : log({"sapphire-standin-" + name, core::VmId("platform"),
             core::ZoneId("platform")},
            core::LogLevel::kInfo, clock),
        work(io.get_executor()) {
    stand_in = factory(StandInContext{io.get_executor(), clock, log});
    server = std::make_unique<http::Server>(
        io.get_executor(), listen_address, Limits(),
        [this](const http::Request& request, http::ResponseWriter& writer) {
          return stand_in->Handle(request, writer);
        },
        log);
    server->Start();
    for (auto& thread : threads) thread = std::thread([this] { io.run(); });
  }

  ~State() {
    io.stop();
    for (auto& thread : threads) thread.join();
  }

  State(const State&) = delete;
  State& operator=(const State&) = delete;

  core::SystemClock clock;
  core::Logger log;
  std::unique_ptr<StandIn> stand_in;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::unique_ptr<http::Server> server;
  std::array<std::thread, kThreads> threads;
};

StandInServer::StandInServer(const std::string& name,
                             const std::string& listen_address,
                             const Factory& factory)
    : state_(std::make_unique<State>(name, listen_address, factory)) {}

StandInServer::~StandInServer() = default;

std::string StandInServer::address() const { return state_->server->address(); }

StandIn& StandInServer::stand_in() const { return *state_->stand_in; }

}  // namespace sapphire::standin

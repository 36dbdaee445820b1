/** @file client_rig_test.h Runs one program of the platform beside clients that
 * break its limits, and measures its memory and descriptors. */
#ifndef SAPPHIRE_DEPLOY_SOAK_CLIENT_RIG_TEST_H_
#define SAPPHIRE_DEPLOY_SOAK_CLIENT_RIG_TEST_H_

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "core/task_func.h"
#include "http/server_base.h"
#include "platform/testing_store.h"
#include "platform/wire_names.h"
#include "soak_subnet_base.h"
#include "tests/process_base.h"

namespace sapphire::deploy::soak::testing {

namespace json = boost::json;
using std::chrono::milliseconds;

/** Memory of the VM on which the program runs. */
inline constexpr int kMemoryMb = 64;
inline constexpr long kMaxKilobytes = kMemoryMb * 1000L;
/** Descriptors of the program, and how many of them must stay free for its own
 * connections to engines, peers and the store. */
inline constexpr int kDescriptors = 300;
inline constexpr int kMinFreeDescriptors = 50;
inline constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;

inline constexpr std::uint16_t kCallerPort = 8000;
inline constexpr std::uint16_t kReadyPort = 8001;
inline constexpr std::uint16_t kLinkPort = 7380;
inline constexpr std::uint16_t kMetricsPort = 9464;

inline constexpr std::string_view kEntryProgram = "sapphire-platform-entry";
inline constexpr std::string_view kEndpointProgram =
    "sapphire-platform-endpoint";

struct ClientRigOptions {
  std::string_view program = kEntryProgram;
  /** Limits the program to kDescriptors. */
  bool few_descriptors = false;
  milliseconds read_timeout{5000};
  milliseconds route_timeout{3000};
};

/** A client's socket, which stays open until the object is destroyed. */
class ClientSocket {
 public:
  ClientSocket(const std::string& ip, std::uint16_t port)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    constexpr timeval kLimit{3, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &kLimit, sizeof kLimit);
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &kLimit, sizeof kLimit);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    connected_ =
        ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
  }
  ~ClientSocket() {
    if (fd_ >= 0) ::close(fd_);
  }
  ClientSocket(const ClientSocket&) = delete;
  ClientSocket& operator=(const ClientSocket&) = delete;
  ClientSocket(ClientSocket&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), connected_(other.connected_) {}
  ClientSocket& operator=(ClientSocket&&) = delete;

  [[nodiscard]] bool connected() const { return connected_; }

  /** @return False once the server takes no more. */
  bool Send(std::string_view data) const {
    while (!data.empty()) {
      const auto n = ::send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }

  /** Sends what the buffers of both sides hold, `max_bytes` at most. */
  void SendWithoutWaiting(std::string_view data, std::size_t max_bytes) const {
    std::size_t sent = 0;
    while (sent < max_bytes) {
      const auto n =
          ::send(fd_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n <= 0) return;
      sent += static_cast<std::size_t>(n);
    }
  }

  /** @return The next `n` bytes, or fewer if no more come. */
  [[nodiscard]] std::string Receive(std::size_t n) const {
    std::string buf(n, '\0');
    const auto got = ::recv(fd_, buf.data(), n, MSG_WAITALL);
    buf.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return buf;
  }

 private:
  int fd_;
  bool connected_ = false;
};

/** Removes a directory and what is in it when it is destroyed. */
class TemporaryDirectory {
 public:
  TemporaryDirectory()
      : path_((std::filesystem::temp_directory_path() /
               fmt::format("clients-{}", ::getpid()))
                  .string()) {
    std::filesystem::create_directories(path_);
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

/** @return True if the program has this setting. */
inline bool HasSetting(const std::string& program, std::string_view setting) {
  const std::string command = program + " --settings-reference";
  FILE* const pipe = ::popen(command.c_str(), "r");
  std::string text;
  for (char buf[4096]; std::fgets(buf, sizeof buf, pipe) != nullptr;) {
    text += buf;
  }
  ::pclose(pipe);
  return text.find(fmt::format("`{}`", setting)) != std::string::npos;
}

/** A store, an engine of a plain service, and the program under test. */
class ClientRig {
 public:
  /** Paths at which the engine answers only after ReleaseEngine, or with a body
   * of kLargeAnswerBytes. */
  static constexpr std::string_view kWaitPath = "/safe/wait";
  static constexpr std::string_view kLargePath = "/safe/large";
  /** Paths at which the engine's answer is no valid HTTP. */
  static constexpr std::string_view kBadStatusPath = "/safe/bad-status";
  static constexpr std::string_view kBadFieldPath = "/safe/bad-field";
  static constexpr std::size_t kLargeAnswerBytes = std::size_t{4} << 20;

  explicit ClientRig(ClientRigOptions options)
      : options_(options),
        subnet_(::getpid()),
        log_({"test", core::VmId("test"), core::ZoneId("z")},
             core::LogLevel::kError, clock_),
        store_(io_, clock_, log_, subnet_.Ip(5, 1) + ":8000", 100),
        engine_(
            io_.get_executor(), subnet_.Ip(1, 1) + ":8000", EngineLimits(),
            [this](const http::Request& request, http::ResponseWriter& writer) {
              return AnswerAsEngine(request, writer);
            },
            log_) {
    RaiseOwnDescriptors();
    store_.watches_wait = true;
    WriteStore();
    engine_.Start();
    thread_ = std::thread([this] {
      const auto guard = boost::asio::make_work_guard(io_);
      io_.run();
    });
    StartProgram();
    BOOST_TEST_REQUIRE(IsServing());
    if (options_.few_descriptors) LimitDescriptors();
  }
  ~ClientRig() {
    process_.reset();
    released_ = true;
    io_.stop();
    thread_.join();
  }
  ClientRig(const ClientRig&) = delete;
  ClientRig& operator=(const ClientRig&) = delete;

  [[nodiscard]] std::string ip() const { return subnet_.Ip(3, 1); }
  [[nodiscard]] ClientSocket Connect(std::uint16_t port) const {
    return {ip(), port};
  }

  void ReleaseEngine() { released_ = true; }

  /** @return The status of one ordinary request, 0 without an answer. */
  int SendOrdinary() {
    const bool is_entry = options_.program == kEntryProgram;
    const ClientSocket socket = Connect(is_entry ? kCallerPort : kMetricsPort);
    constexpr std::size_t kStatusAt = 9;
    constexpr std::size_t kStatusEnd = 12;
    ++sent_;
    socket.Send(is_entry
                    ? fmt::format("POST /safe/1 HTTP/1.1\r\nHost: soak.example"
                                  "\r\nX-Request-Id: ordinary-{}\r\n"
                                  "X-Deadline-Ms: 3000\r\n"
                                  "Content-Length: 1\r\n\r\nx",
                                  sent_)
                    : "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string line = socket.Receive(kStatusEnd);
    return line.size() == kStatusEnd ? std::atoi(line.c_str() + kStatusAt) : 0;
  }

  /** @return True once an ordinary request is answered; callers return a few
   * times, so this does not depend on the machine's speed. */
  bool IsServing() {
    constexpr int kTries = 20;
    constexpr milliseconds kPause{500};
    constexpr int kOk = 200;
    for (int i = 0; i < kTries; ++i) {
      if (SendOrdinary() == kOk) return true;
      std::this_thread::sleep_for(kPause);
    }
    return false;
  }

  [[nodiscard]] bool IsAlive() {
    return !process_->WaitForExit(milliseconds(0));
  }

  /** @return The largest memory so far that the program occupied. */
  [[nodiscard]] long PeakKilobytes() const {
    static constexpr std::string_view kField = "VmHWM:";
    std::ifstream file(fmt::format("/proc/{}/status", process_->pid()));
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(kField)) {
        return std::atol(line.c_str() + kField.size());
      }
    }
    return 0;
  }

  /** @return What the program has received and not read, at all addresses. */
  [[nodiscard]] long UnreadKilobytes() const {
    in_addr own{};
    ::inet_pton(AF_INET, ip().c_str(), &own);
    const std::string local = fmt::format("{:08X}:", own.s_addr);
    std::ifstream file("/proc/net/tcp");
    long bytes = 0;
    for (std::string line; std::getline(file, line);) {
      std::istringstream fields(line);
      std::string number;
      std::string address;
      std::string remote;
      std::string state;
      std::string queues;
      fields >> number >> address >> remote >> state >> queues;
      constexpr std::string_view kEstablished = "01";
      if (!address.starts_with(local) || state != kEstablished) continue;
      bytes += std::stol(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return bytes / 1000;
  }

  /** Waits until the program has read what was sent to it, if it ever does. */
  void AwaitRead() const {
    constexpr int kTries = 80;
    constexpr milliseconds kPause{250};
    int tries = 0;
    do {
      std::this_thread::sleep_for(kPause);
    } while (++tries < 4 || (UnreadKilobytes() > 0 && tries < kTries));
  }

  [[nodiscard]] long Descriptors() const {
    std::error_code ec;
    long n = 0;
    const std::string path = fmt::format("/proc/{}/fd", process_->pid());
    for (const auto& it : std::filesystem::directory_iterator(path, ec)) {
      if (!it.path().empty()) ++n;
    }
    return n;
  }

 private:
  static http::ServerLimits EngineLimits() {
    http::ServerLimits limits;
    limits.max_body_bytes = 2 * kMaxBodyBytes;
    limits.max_header_bytes = 4 * kMaxHeaderBytes;
    return limits;
  }

  /** A crowd of one process needs as many descriptors as callers. */
  static void RaiseOwnDescriptors() {
    rlimit own{};
    ::getrlimit(RLIMIT_NOFILE, &own);
    own.rlim_cur = own.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &own);
  }

  void LimitDescriptors() const {
    const rlimit limit{kDescriptors, kDescriptors};
    ::prlimit(process_->pid(), RLIMIT_NOFILE, &limit, nullptr);
  }

  void WriteStore() {
    const std::string address = subnet_.Ip(1, 1) + ":8000";
    const json::object route{
        {"name", "/safe/"},     {"host", "soak.example"},
        {"prefix", "/safe/"},   {"kind", "safe"},
        {"service", "booking"}, {"timeoutMs", options_.route_timeout.count()},
        {"sloMs", 1000},        {"gapAimMs", 300},
        {"attempts", 2},        {"priority", 1},
        {"canResume", false},   {"sticky", false}};
    const json::object limits{
        {"maxHeaderBytes", kMaxHeaderBytes},
        {"maxBodyBytes", kMaxBodyBytes},
        {"headerTimeoutMs", options_.read_timeout.count()},
        {"idleTimeoutMs", 8000}};
    const json::object document{
        {"version", 3},
        {"routes", json::array{route}},
        {"services", json::array{json::object{{"name", "booking"}}}},
        {"limits", limits}};
    const json::object engine{{"service", "booking"},
                              {"address", address},
                              {"zone", "z"},
                              {"version", "v@v1"},
                              {"slots", 6},
                              {"state", "ready"},
                              {"coldLeftMs", 0},
                              {"seq", 1},
                              {"models", json::array()}};
    store_.state.CompareAndSwap("op/config", 0, json::serialize(document), "");
    store_.state.CompareAndSwap("servers/i-1", 0, json::serialize(engine), "");
  }

  core::Task<> AnswerAsEngine(const http::Request& request,
                              http::ResponseWriter& writer) {
    constexpr milliseconds kPoll{20};
    const std::string_view path = http::PathOf(request.target);
    while (path == kWaitPath && !released_ && !writer.CallerDisconnected()) {
      co_await core::SleepFor(kPoll);
    }
    std::string body = "{}";
    if (path == kLargePath) body.assign(kLargeAnswerBytes, 'a');
    http::Response response =
        http::MakeResponse(200, "text/plain", std::move(body));
    const auto id = http::FindHeader(request.headers, platform::kRequestId);
    response.head.headers.push_back(
        {std::string(platform::kRequestId), std::string(id.value_or(""))});
    response.head.headers.push_back(
        {std::string(platform::kResponseStamp), "test"});
    response.head.headers.push_back({std::string(platform::kInstance), "i-1"});
    if (path == kBadStatusPath) response.head.status = 0;
    if (path == kBadFieldPath) {
      response.head.headers.push_back({"X Trouble\x01", "1"});
    }
    co_await writer.Send(std::move(response));
  }

  [[nodiscard]] std::string Settings() const {
    if (options_.program == kEntryProgram) {
      return fmt::format(
          "listen = \"{0}:{1}\"\nready_listen = \"{0}:{2}\"\n"
          "link_listen = \"{0}:{3}\"\nendpoint_link_port = {3}\n"
          "repeat_ratio = 0.2\nrepeat_extra = 56\nrepeat_window_s = 10\n"
          "leave_limit_s = 8\n",
          ip(), kCallerPort, kReadyPort, kLinkPort);
    }
    return fmt::format(
        "listen = \"{}:{}\"\nengine = \"{}:8000\"\nservice = \"booking\"\n",
        ip(), kLinkPort, subnet_.Ip(1, 1));
  }

  void StartProgram() {
    const std::string program =
        std::string(SAPPHIRE_BIN_DIR) + "/bin/" + std::string(options_.program);
    std::string text = fmt::format(
        "vm = \"v\"\nzone = \"z\"\nmetrics_listen = \"{}:{}\"\n"
        "store = \"{}\"\n",
        ip(), kMetricsPort, store_.server.address());
    text += Settings();
    // Programs without these settings take any number.
    if (HasSetting(program, "memory_mb")) {
      text += fmt::format("memory_mb = {}\n", kMemoryMb);
    }
    if (options_.few_descriptors && HasSetting(program, "max_descriptors")) {
      text += fmt::format("max_descriptors = {}\n", kDescriptors);
    }
    const std::string path = directory_.path() + "/settings.toml";
    std::ofstream(path) << text;
    process_ = std::make_unique<tests::Process>(
        "program", std::vector<std::string>{program, "--config", path},
        directory_.path());
  }

  const ClientRigOptions options_;
  const TemporaryDirectory directory_;
  SoakSubnet subnet_;
  boost::asio::io_context io_;
  core::SystemClock clock_;
  core::Logger log_;
  platform::testing::TestingStore store_;
  std::atomic<bool> released_ = false;
  http::Server engine_;
  std::thread thread_;
  std::unique_ptr<tests::Process> process_;
  int sent_ = 0;
};

/** One crowd of clients, each with a connection of its own that stays open. */
struct Crowd {
  int clients = 0;
  std::uint16_t port = kCallerPort;
  std::function<void(const ClientSocket&)> send;
};

/** Checks that the program lives, stays within its memory beside the crowd, and
 * answers an ordinary request once it has gone. */
inline void CheckMemory(ClientRig& rig, const Crowd& crowd) {
  {
    std::vector<ClientSocket> sockets;
    for (int i = 0; i < crowd.clients; ++i) {
      ClientSocket socket = rig.Connect(crowd.port);
      if (!socket.connected()) continue;
      crowd.send(socket);
      sockets.push_back(std::move(socket));
    }
    rig.AwaitRead();
    BOOST_TEST_REQUIRE(rig.IsAlive());
    const long unread = rig.UnreadKilobytes();
    const long peak = rig.PeakKilobytes();
    BOOST_TEST_MESSAGE("peak " << peak << " kB, unread " << unread
                               << " kB, descriptors " << rig.Descriptors());
    BOOST_TEST(peak > 0);
    BOOST_TEST(peak + unread < kMaxKilobytes);
  }
  rig.ReleaseEngine();
  BOOST_TEST(rig.IsServing());
  BOOST_TEST(rig.IsAlive());
}

/** Checks that the program keeps descriptors for its own connections, and
 * answers an ordinary request while the crowd stays connected. */
inline void CheckDescriptors(ClientRig& rig, const Crowd& crowd) {
  constexpr milliseconds kSettling{500};
  std::vector<ClientSocket> sockets;
  for (int i = 0; i < crowd.clients; ++i) {
    sockets.push_back(rig.Connect(crowd.port));
    crowd.send(sockets.back());
  }
  std::this_thread::sleep_for(kSettling);
  BOOST_TEST_REQUIRE(rig.IsAlive());
  const long open = rig.Descriptors();
  BOOST_TEST_MESSAGE("descriptors " << open);
  BOOST_TEST(open > 0);
  BOOST_TEST(open <= kDescriptors - kMinFreeDescriptors);
  BOOST_TEST(rig.IsServing());
}

/** @return A head of a request for `path`, without the end of the head. */
inline std::string OpenHead(std::string_view path) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: crowd\r\n"
      "X-Deadline-Ms: 60000\r\n",
      path);
}

inline std::string ChunkedHead() {
  return OpenHead("/safe/1") + "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string SizedHead(std::string_view path, std::size_t bytes) {
  return OpenHead(path) + fmt::format("Content-Length: {}\r\n\r\n", bytes);
}

inline std::string Chunk(std::size_t bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'a'));
}

}  // namespace sapphire::deploy::soak::testing

#endif  // SAPPHIRE_DEPLOY_SOAK_CLIENT_RIG_TEST_H_

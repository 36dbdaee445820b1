/** @file client_limits_test.cc Tests an entry's memory and descriptors beside
 * clients that break its limits. */
#define BOOST_TEST_MODULE client_limits
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "core/address_func.h"
#include "tests/fleet_base.h"

namespace sapphire::tests {

namespace {

namespace asio = boost::asio;

constexpr int kMemoryMb = 96;
constexpr std::int64_t kMaxKilobytes = kMemoryMb * 1000L;
constexpr int kMaxConnections = 100;
constexpr std::int64_t kMaxDescriptors = 200;
constexpr std::size_t kBodyBytes = std::size_t{1} << 20;
constexpr std::string_view kIntent =
    "deployment = \"meander\"\n[[service]]\nname = \"desk\"\nkind = "
    "\"plain\"\n";

/** @return The setting's line, if the program has it. */
std::string SettingLine(std::string_view name, int value) {
  FILE* const pipe =
      ::popen(SAPPHIRE_BIN_DIR "/bin/sapphire-entry --settings-reference", "r");
  std::string text;
  for (char buf[4096]; std::fgets(buf, sizeof buf, pipe) != nullptr;) {
    text += buf;
  }
  ::pclose(pipe);
  const bool is_known =
      text.find(fmt::format("`{}`", name)) != std::string::npos;
  return is_known ? fmt::format("{} = {}\n", name, value) : "";
}

/** One entry, a plain service, and a crowd of connections that stay open. */
struct Rig {
  Rig() : fleet(SAPPHIRE_BIN_DIR "/bin", "sapphire-clients") {
    fleet.entry_settings = fmt::format("max_body_bytes = {}\n", kBodyBytes) +
                           SettingLine("memory_mb", kMemoryMb) +
                           SettingLine("max_connections", kMaxConnections);
    fleet.AddPlain("desk-1", "zone-a", "desk");
    fleet.AddEntry("entry-1", "zone-a");
    fleet.PublishVms();
    fleet.Confirm(std::string(kIntent));
  }

  void Crowd(int clients, const std::string& address, std::string_view text) {
    for (int i = 0; i < clients; ++i) {
      asio::ip::tcp::socket& socket = crowd.emplace_back(io);
      boost::system::error_code ec;
      socket.connect(core::ParseAddress(address), ec);
      if (!ec) asio::write(socket, asio::buffer(text), ec);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  }

  [[nodiscard]] bool IsServing() {
    return Eventually([this] {
      return fleet
          .Send(fleet.EntryAddress("entry-1"),
                {"GET", "/services/desk/bookings", {}, ""})
          .ok();
    });
  }

  [[nodiscard]] std::int64_t PeakKilobytes() {
    static constexpr std::string_view kField = "VmHWM:";
    std::ifstream file(fmt::format("/proc/{}/status", pid()));
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(kField)) {
        return std::atol(line.c_str() + kField.size());
      }
    }
    return 0;
  }

  [[nodiscard]] std::int64_t Descriptors() {
    std::error_code ec;
    const std::filesystem::directory_iterator all(
        fmt::format("/proc/{}/fd", pid()), ec);
    return std::distance(begin(all), end(all));
  }

  /** Checks that the entry lives, is within its memory, and answers. */
  void CheckMemory() {
    const std::int64_t peak = PeakKilobytes();
    BOOST_TEST_MESSAGE("peak " << peak << " kB");
    BOOST_TEST(peak > 0);
    BOOST_TEST(peak < kMaxKilobytes);
    crowd.clear();
    BOOST_TEST(IsServing());
  }

  [[nodiscard]] pid_t pid() { return fleet.entry("entry-1").process->pid(); }

  Fleet fleet;
  asio::io_context io;
  std::vector<asio::ip::tcp::socket> crowd;
};

}  // namespace

/** Guards against memory that grows with the number of bodies. */
BOOST_FIXTURE_TEST_CASE(BodiesShortOfTheirEnd, Rig) {
  constexpr int kClients = 150;
  const std::string head = fmt::format(
      "POST /services/desk/bookings HTTP/1.1\r\nHost: a\r\n"
      "Content-Length: {}\r\n\r\n",
      kBodyBytes);
  Crowd(kClients, fleet.EntryAddress("entry-1"),
        head + std::string(kBodyBytes - 1, 'a'));
  CheckMemory();
}

/** Guards against memory for frames of which only the length has come. */
BOOST_FIXTURE_TEST_CASE(FramesThatAreOnlyAnnounced, Rig) {
  constexpr int kClients = 100;
  Crowd(kClients, fleet.entry("entry-1").process->Address("link"),
        std::string_view("\0\x3f\xff\xff", 4));
  CheckMemory();
}

/** Guards against connections that use up the descriptors. */
BOOST_FIXTURE_TEST_CASE(HalfHeads, Rig) {
  constexpr int kClients = 400;
  Crowd(kClients, fleet.EntryAddress("entry-1"), "GET /v1/models HT");
  const std::int64_t open = Descriptors();
  BOOST_TEST_MESSAGE("descriptors " << open);
  BOOST_TEST(open > 0);
  BOOST_TEST(open <= kMaxDescriptors);
  BOOST_TEST(IsServing());
}

}  // namespace sapphire::tests

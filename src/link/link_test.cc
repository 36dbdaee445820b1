/** @file link_test.cc Tests of calls between two nodes over real sockets. */
#define BOOST_TEST_MODULE link
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "core/address_func.h"
#include "core/task_func.h"
#include "link/link_base.h"

namespace sapphire::link {
namespace {

namespace asio = boost::asio;
using core::Error;
using core::ErrorCode;
using core::Task;
using std::chrono::milliseconds;

constexpr milliseconds kLongTimeout{10'000};

gen::Message ChunkMessage(std::int64_t sequence) {
  gen::Chunk chunk;
  chunk.sequence = sequence;
  chunk.data = "data " + std::to_string(sequence);
  gen::Message message;
  message.__set_chunk(chunk);
  return message;
}

gen::Message RunMessage(const std::string& path, std::int64_t count = 0) {
  gen::Run run;
  run.path = path;
  run.remaining_ms = count;
  gen::Message message;
  message.__set_run(run);
  return message;
}

/** Handles calls by path: "refuse" throws an error, "wait" waits until the call
 * is cancelled, and any other path sends `remaining_ms` chunks. */
struct TestHandler {
  std::atomic<int> cancelled{0};
  std::atomic<int> started{0};

  Task<> Handle(std::shared_ptr<Call> call, gen::Message first) {
    ++started;
    const std::string path = first.run.path;
    if (path == "refuse") {
      throw Error(ErrorCode::kQueueFull, "full", milliseconds(700));
    }
    if (path == "wait") {
      try {
        co_await call->Receive(kLongTimeout);
      } catch (const Error& e) {
        if (e.code() != ErrorCode::kTimedOut) ++cancelled;
      }
      co_return;
    }
    for (std::int64_t i = 0; i < first.run.remaining_ms; ++i) {
      co_await call->Send(ChunkMessage(i));
    }
  }
};

struct Fixture {
  Fixture()
      : work(asio::make_work_guard(io)),
        log({"test", core::VmId("t"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        server_node(
            io.get_executor(), Options("far"),
            [this](std::shared_ptr<Call> call, gen::Message first) {
              return handler.Handle(std::move(call), std::move(first));
            },
            VersionHooks{[this] { return server_version.load(); },
                         [](const std::shared_ptr<Link>&, std::int64_t) {}},
            clock, log),
        client_node(
            io.get_executor(), Options("near"),
            [](std::shared_ptr<Call>, gen::Message) -> Task<> { co_return; },
            VersionHooks{
                [] { return std::int64_t{1}; },
                [this](const std::shared_ptr<Link>&, std::int64_t version) {
                  seen_version = version;
                }},
            clock, log) {
    address = server_node.Listen("127.0.0.1:0");
    for (auto& thread : threads) thread = std::thread([this] { io.run(); });
  }
  ~Fixture() {
    client_node.Close();
    server_node.Close();
    work.reset();
    io.stop();
    for (auto& thread : threads) thread.join();
  }

  static LinkOptions Options(const std::string& vm) {
    LinkOptions options;
    options.self.vm = vm;
    options.heartbeat_interval = milliseconds(20);
    options.dead_after = milliseconds(300);
    return options;
  }

  template <typename T>
  T Run(Task<T> task) {
    return asio::co_spawn(asio::make_strand(io), std::move(task),
                          asio::use_future)
        .get();
  }

  /** Waits up to 10 s for a condition. @return False if it did not come true.
   */
  template <typename Condition>
  bool Eventually(Condition condition) {
    for (int i = 0; i < 2000; ++i) {
      if (condition()) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }

  /** Reads `count` chunks of a call. @return How many were out of order. */
  Task<int> ReadStream(std::string to, std::int64_t count) {
    const auto call =
        co_await client_node.Open(to, RunMessage("stream", count));
    int wrong = 0;
    for (std::int64_t i = 0; i < count; ++i) {
      const gen::Message message = co_await call->Receive(kLongTimeout);
      if (message.chunk.sequence != i) ++wrong;
    }
    co_return wrong;
  }

  Task<ErrorCode> FailureOf(std::string path, milliseconds timeout) {
    try {
      const auto call = co_await client_node.Open(address, RunMessage(path));
      co_await call->Receive(timeout);
    } catch (const Error& e) {
      co_return e.code();
    }
    co_return ErrorCode::kInternal;
  }

  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  core::SystemClock clock;
  core::Logger log;
  TestHandler handler;
  std::atomic<std::int64_t> server_version{1};
  std::atomic<std::int64_t> seen_version{0};
  LinkNode server_node;
  LinkNode client_node;
  std::string address;
  std::array<std::thread, 3> threads;
};

BOOST_FIXTURE_TEST_CASE(ConcurrentStreamsLongerThanTheWindow, Fixture) {
  constexpr int kStreams = 40;
  constexpr std::int64_t kChunks = 500;
  std::vector<std::future<int>> results;
  results.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    results.push_back(asio::co_spawn(
        asio::make_strand(io), ReadStream(address, kChunks), asio::use_future));
  }
  for (auto& result : results) BOOST_TEST(result.get() == 0);
  BOOST_TEST(client_node.Peers().size() == 1U);
  BOOST_TEST(client_node.Peers()[0].vm.value() == "far");
}

BOOST_FIXTURE_TEST_CASE(RefusalIsThrownAsItsError, Fixture) {
  try {
    Run([](Fixture& f) -> Task<> {
      const auto call =
          co_await f.client_node.Open(f.address, RunMessage("refuse"));
      co_await call->Receive(kLongTimeout);
    }(*this));
    BOOST_FAIL("not refused");
  } catch (const Error& e) {
    BOOST_TEST((e.code() == ErrorCode::kQueueFull));
    BOOST_TEST((e.outcome() == core::Outcome::kNotRun));
    BOOST_TEST((*e.retry_after() == milliseconds(700)));
  }
}

// A caller drops its call while the request runs. The peer must be notified
// immediately, or engines would go on working for callers that have left.
BOOST_FIXTURE_TEST_CASE(DroppingACallCancelsIt, Fixture) {
  BOOST_TEST(
      (Run(FailureOf("wait", milliseconds(10))) == ErrorCode::kTimedOut));
  BOOST_TEST(Eventually([this] { return handler.cancelled == 1; }));
}

BOOST_FIXTURE_TEST_CASE(AnnouncedVersionArrivesWithoutCalls, Fixture) {
  Run(ReadStream(address, 1));
  server_version = 7;
  server_node.AnnounceVersion();
  BOOST_TEST(Eventually([this] { return seen_version == 7; }));
}

// The peer's VM freezes: its sockets stay open, but it sends nothing. Without
// heartbeats the caller would wait until its deadline; with them the call fails
// as soon as the link counts as lost.
BOOST_FIXTURE_TEST_CASE(CallsFailIfThePeerIsSilent, Fixture) {
  asio::ip::tcp::acceptor frozen(io);
  core::ListenOn(frozen, "127.0.0.1:0");
  address = core::AddressText(frozen);
  BOOST_TEST((Run(FailureOf("wait", kLongTimeout)) == ErrorCode::kLinkLost));
}

BOOST_FIXTURE_TEST_CASE(ClosingFailsCallsInProgress, Fixture) {
  auto result = asio::co_spawn(
      asio::make_strand(io), FailureOf("wait", kLongTimeout), asio::use_future);
  BOOST_TEST(Eventually([this] { return handler.started == 1; }));
  server_node.Close();
  BOOST_TEST((result.get() == ErrorCode::kLinkLost));
}

BOOST_FIXTURE_TEST_CASE(LeavingNodeRefusesNewCalls, Fixture) {
  Run(ReadStream(address, 1));
  server_node.StopAccepting();
  BOOST_TEST((Run(FailureOf("stream", kLongTimeout)) == ErrorCode::kLeaving));
}

/**
 * Guards against a load of heartbeats from links that are rarely used: if links
 * stay open after use, 100 entries and 160 engines send 64,000 heartbeats a
 * second. An idle link is closed, one with a call in progress stays open, and
 * the next call opens a new link.
 */
BOOST_FIXTURE_TEST_CASE(IdleLinkIsClosed, Fixture) {
  LinkOptions options = Options("asking");
  options.idle_timeout = milliseconds(200);
  LinkNode asking(
      io.get_executor(), options,
      [](std::shared_ptr<Call>, gen::Message) -> Task<> { co_return; },
      NoVersions(), clock, log);
  const auto ask = [&]() -> Task<int> {
    const auto call = co_await asking.Open(address, RunMessage("stream", 1));
    co_await call->Receive(kLongTimeout);
    co_return 1;
  };
  BOOST_TEST(Run(ask()) == 1);
  BOOST_TEST(Eventually([&] { return asking.Peers().empty(); }));
  BOOST_TEST(Run(ask()) == 1);
  const auto wait = [&]() -> Task<std::shared_ptr<Call>> {
    co_return co_await asking.Open(address, RunMessage("wait"));
  };
  const std::shared_ptr<Call> held = Run(wait());
  std::this_thread::sleep_for(milliseconds(600));
  BOOST_TEST(asking.Peers().size() == 1);
  held->Cancel();
  BOOST_TEST(Eventually([&] { return asking.Peers().empty(); }));
  asking.Close();
}

// A client that is not a peer connects and sends invalid data, or a length of
// 4 GB. The node closes that connection and must still serve its peers.
BOOST_FIXTURE_TEST_CASE(InvalidDataClosesOnlyItsOwnLink, Fixture) {
  for (const std::string& bytes :
       {std::string("\xff\xff\xff\xff"), std::string("\0\0\0\4abcd", 8)}) {
    asio::io_context own;
    asio::ip::tcp::socket socket(own);
    socket.connect(core::ParseAddress(address));
    asio::write(socket, asio::buffer(bytes));
    BOOST_TEST(Run(ReadStream(address, 3)) == 0);
  }
}

}  // namespace
}  // namespace sapphire::link

/** @file load_broadcaster_test.cc Tests of the load reports between entries,
 * over real datagrams on loopback. */
#define BOOST_TEST_MODULE load_broadcaster
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/address_func.h"
#include "fleet/entry_message_func.h"
#include "serving/load_broadcaster_base.h"
#include "serving/loader_rig_test.h"

namespace sapphire::serving {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using testing::kModel;
using testing::LoaderRig;

/** Socket that receives the records to all peers. */
struct PeerSocket {
  explicit PeerSocket(asio::io_context& io)
      : socket(io, udp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    socket.non_blocking(true);
    address = "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
  }

  /** @return The records received since the last call. */
  std::vector<gen::EntryRecord> ReceiveAll() {
    std::vector<gen::EntryRecord> taken;
    std::string buf(60'000, ' ');
    boost::system::error_code ec;
    while (true) {
      const std::size_t n = socket.receive(asio::buffer(buf), 0, ec);
      if (ec) return taken;
      taken.push_back(
          fleet::DecodeDatagram(std::string_view(buf.data(), n)).record);
    }
  }

  udp::socket socket;
  std::string address;
};

struct Rig : LoaderRig {
  explicit Rig(int others) : peer_socket(io) {
    std::map<std::string, gen::EntryPresence> entries;
    for (int i = 0; i < others; ++i) {
      entries["entries/" + std::to_string(i)].address = peer_socket.address;
    }
    peer_table.SetEntries(entries);
    BroadcastOptions options;
    options.entry = "self";
    channel = std::make_unique<PeerChannel>(
        "127.0.0.1:0", [](const gen::EntryDatagram&, const std::string&) {},
        io.get_executor(), loader_clock, log);
    channel->Start();
    broadcaster = std::make_unique<LoadBroadcaster>(
        options, loads, peer_table, loader, *channel, io.get_executor(),
        loader_clock, log);
  }

  void Pass(milliseconds time) { entry::testing::RunTask(io, Sleep(time)); }

  PeerSocket peer_socket;
  std::unique_ptr<PeerChannel> channel;
  std::unique_ptr<LoadBroadcaster> broadcaster;
};

const fleet::InstanceId kEngine("i-1");

}  // namespace

/**
 * Guards against streams that pause in a fleet of a hundred entries because
 * entries and the processes beside engines handle tens of thousands of reports
 * a second. With many entries and requests in progress, what one entry sends
 * must not grow with their number.
 */
BOOST_AUTO_TEST_CASE(TrafficPerEntryDoesNotGrowWithTheFleet) {
  for (const int others : {4, 100}) {
    Rig rig(others);
    rig.loads.Begin(kEngine, {kModel, core::AdapterId()});
    rig.broadcaster->Start();
    rig.Pass(milliseconds(1000));
    const std::size_t n = rig.peer_socket.ReceiveAll().size();
    // One every 50 ms; a busy machine sends fewer.
    BOOST_TEST(n >= 1);
    BOOST_TEST(n <= 21);
  }
}

/** An entry without load reports that once to each peer and then stops sending.
 */
BOOST_AUTO_TEST_CASE(IdleEntryStopsSending) {
  Rig rig(2);
  rig.broadcaster->Start();
  rig.Pass(milliseconds(600));
  BOOST_TEST(rig.peer_socket.ReceiveAll().size() == 2);
  rig.loads.Begin(kEngine, {kModel, core::AdapterId()});
  rig.Pass(milliseconds(300));
  const std::vector<gen::EntryRecord> reported = rig.peer_socket.ReceiveAll();
  BOOST_REQUIRE(!reported.empty());
  BOOST_REQUIRE(reported.back().uses.size() == 1);
  BOOST_TEST(reported.back().uses.front().parts.front().running == 1);
}

/** Pending loads of this entry are reported with their remaining time. */
BOOST_AUTO_TEST_CASE(PendingLoadsAreReported) {
  Rig rig(1);
  rig.loader.RequestLoad(rig.service, kModel, testing::kRequest);
  const gen::EntryRecord record = rig.broadcaster->Record();
  BOOST_REQUIRE(record.loads.size() == 1);
  BOOST_TEST(record.loads.front().model == kModel.value());
  BOOST_TEST(record.loads.front().from_weight_store);
  BOOST_TEST(record.loads.front().ready_in_ms == 8600);
}

}  // namespace sapphire::serving

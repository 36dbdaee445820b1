/** @file peer_table_test.cc Tests of the records that entries exchange. */
#define BOOST_TEST_MODULE peer_table
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "core/error_type.h"
#include "fleet/entry_message_func.h"
#include "fleet/peer_table_base.h"

namespace sapphire::fleet {

namespace {

using std::chrono::milliseconds;

const InstanceId kEngine("i-1");
const ModelOrAdapter kModel{core::ModelId("m"), core::AdapterId()};
const ModelOrAdapter kAdapter{core::ModelId("m"), core::AdapterId("a1")};

/** A peer table that receives records of simulated entries. */
struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        loads(clock),
        peer_table("self", loads, clock, log) {}

  void AddEntry(const std::string& entry) {
    gen::EntryPresence presence;
    presence.address = entry + ":1";
    peer_table.PutEntry(entry, presence);
  }

  /** Passes a record of an entry that uses the model at the engine. */
  void SendRecord(const std::string& entry, std::int64_t number, int running,
                  double demand) {
    Usage usage;
    usage.running = running;
    usage.demand = demand;
    usage.last_begun = clock.Now();
    gen::EngineUse use;
    use.engine_instance = kEngine.value();
    use.parts.push_back(MakeResidentUse(kModel, usage, clock.Now()));
    gen::EntryRecord record;
    record.entry = entry;
    record.number = number;
    record.uses.push_back(use);
    peer_table.ApplyRecord(record);
  }

  /** Passes a record of an entry that uses no engine. */
  void SendEmptyRecord(const std::string& entry, std::int64_t number) {
    gen::EntryRecord record;
    record.entry = entry;
    record.number = number;
    peer_table.ApplyRecord(record);
  }

  core::ManualClock clock;
  core::Logger log;
  EngineLoads loads;
  PeerTable peer_table;
};

}  // namespace

BOOST_AUTO_TEST_CASE(UseOfAllEntriesAddsUp) {
  Rig rig;
  rig.AddEntry("b");
  rig.AddEntry("c");
  rig.SendRecord("b", 1, 2, 0.5);
  rig.SendRecord("c", 1, 3, 1.0);
  rig.loads.Begin(kEngine, kAdapter);
  BOOST_TEST(rig.peer_table.Running(kEngine) == 6);
  const Usage usage = rig.peer_table.UsageOf(kEngine, kModel);
  // A request for an adapter uses its model too.
  BOOST_TEST(usage.running == 6);
  BOOST_TEST(usage.demand > 1.5);
  BOOST_TEST(rig.peer_table.UsageOf(kEngine, kAdapter).running == 1);
}

/**
 * Guards against an engine that seems ever busier and gets no more requests. A
 * record contains all that its entry has in progress: a later one replaces it,
 * duplicate and reordered records are ignored.
 */
BOOST_AUTO_TEST_CASE(RecordReplacesTheEarlierOne) {
  Rig rig;
  rig.AddEntry("b");
  rig.SendRecord("b", 1, 2, 0.5);
  rig.SendRecord("b", 3, 1, 0.4);
  rig.SendRecord("b", 3, 1, 0.4);
  rig.SendRecord("b", 2, 9, 9.0);
  BOOST_TEST(rig.peer_table.Running(kEngine) == 1);
  BOOST_TEST(rig.peer_table.UsageOf(kEngine, kModel).demand < 0.41);
  rig.SendEmptyRecord("b", 4);
  BOOST_TEST(rig.peer_table.Running(kEngine) == 0);
  // Demand doesn't need requests in progress, so it only decays.
  BOOST_TEST(rig.peer_table.UsageOf(kEngine, kModel).demand > 0.39);
  rig.clock.Advance(std::chrono::seconds(60));
  BOOST_TEST(rig.peer_table.UsageOf(kEngine, kModel).demand < 0.01);
}

/**
 * Guards against an idle engine that seems busy forever, after an entry with
 * streams in progress there was killed or became unreachable.
 */
BOOST_AUTO_TEST_CASE(RequestsOfGoneEntriesAreDropped) {
  Rig rig;
  rig.AddEntry("b");
  rig.AddEntry("c");
  rig.SendRecord("b", 1, 2, 0.5);
  rig.SendRecord("c", 1, 4, 0.5);
  rig.peer_table.RemoveEntry("b");
  BOOST_TEST(rig.peer_table.Running(kEngine) == 4);
  rig.clock.Advance(std::chrono::seconds(16));
  rig.peer_table.Forget({kEngine});
  BOOST_TEST(rig.peer_table.Running(kEngine) == 0);
}

/** A sender that is not listed in the store may belong to another deployment.
 */
BOOST_AUTO_TEST_CASE(RecordOfAnUnknownSenderIsIgnored) {
  Rig rig;
  rig.SendRecord("stranger", 1, 5, 1.0);
  BOOST_TEST(rig.peer_table.Running(kEngine) == 0);
}

/**
 * Guards against more retries of a service's requests than configured after a
 * store outage: all leases had expired, so that each entry saw no other one and
 * used the full limit.
 */
BOOST_AUTO_TEST_CASE(EntriesExpiredInAStoreOutageStillShareTheLimit) {
  Rig rig;
  rig.clock.Advance(std::chrono::seconds(10));
  for (int i = 0; i < 9; ++i) rig.AddEntry("e" + std::to_string(i));
  BOOST_TEST(rig.peer_table.entries() == 10);
  rig.peer_table.SetEntries({});
  BOOST_TEST(rig.peer_table.entries() == 10);
  rig.clock.Advance(std::chrono::seconds(16));
  BOOST_TEST(rig.peer_table.entries() == 1);
}

/** Right after a start no other entries are known, so a few are assumed. */
BOOST_AUTO_TEST_CASE(OtherEntriesAreAssumedRightAfterAStart) {
  Rig rig;
  BOOST_TEST(rig.peer_table.entries() > 4);
}

BOOST_AUTO_TEST_CASE(LoadsOfOtherEntriesExpireWhenOverdue) {
  Rig rig;
  rig.AddEntry("b");
  gen::ComingLoad load;
  load.engine_instance = kEngine.value();
  load.model = "m";
  load.ready_in_ms = 2000;
  gen::EntryRecord record;
  record.entry = "b";
  record.number = 1;
  record.loads.push_back(load);
  rig.peer_table.ApplyRecord(record);
  BOOST_TEST(rig.peer_table.LoadsAt(kEngine).size() == 1);
  rig.clock.Advance(milliseconds(3500));
  BOOST_TEST(rig.peer_table.LoadsAt(kEngine).empty());
}

/** Datagrams may come from any sender, so malformed ones must not end the
 * process. */
BOOST_AUTO_TEST_CASE(MalformedDatagramIsRejected) {
  gen::EntryRecord record;
  record.entry = "entries/vm@1";
  record.number = 7;
  gen::EntryDatagram datagram;
  datagram.__set_record(record);
  BOOST_TEST(DecodeDatagram(Encode(datagram)).record.number == 7);
  BOOST_CHECK_THROW(DecodeDatagram("GET / HTTP/1.1"), core::Error);
  BOOST_CHECK_THROW(DecodeDatagram(""), core::Error);
}

/** Guards against datagrams being sent to an invalid address. */
BOOST_AUTO_TEST_CASE(PresenceWithoutAValidAddressIsRejected) {
  gen::EntryPresence presence;
  presence.address = "10.0.0.1:7380";
  BOOST_TEST(DecodePresence(Encode(presence)).address == "10.0.0.1:7380");
  presence.address = "nowhere";
  BOOST_CHECK_THROW(DecodePresence(Encode(presence)), core::Error);
}

/** Guards against entries that are taken to be silent after all have started:
 * their datagrams arrive before the store lists them. */
BOOST_AUTO_TEST_CASE(DatagramBeforeThePresenceIsRemembered) {
  Rig rig;
  rig.SendEmptyRecord("b", 1);
  rig.AddEntry("b");
  BOOST_REQUIRE(rig.peer_table.Peers().size() == 1);
  BOOST_TEST(rig.peer_table.Peers().front().last_received.has_value());
}

/** Guards against peers that are dropped in a store outage although they still
 * send datagrams. */
BOOST_AUTO_TEST_CASE(PeerWithAnExpiredLeaseStaysWhileItSendsDatagrams) {
  Rig rig;
  rig.AddEntry("b");
  rig.peer_table.SetEntries({});
  BOOST_TEST(rig.peer_table.Peers().size() == 1);
  rig.clock.Advance(milliseconds(2500));
  rig.SendEmptyRecord("b", 1);
  rig.clock.Advance(milliseconds(2500));
  BOOST_TEST(rig.peer_table.Peers().size() == 1);
  rig.clock.Advance(milliseconds(2500));
  BOOST_TEST(rig.peer_table.Peers().empty());
}

/** Guards against requests to a dead process, whose key remains in the store
 * for a while. */
BOOST_AUTO_TEST_CASE(LaterOfTwoEntriesOnOneVmIsThePeer) {
  Rig rig;
  gen::EntryPresence presence;
  presence.vm = "vm-1";
  presence.address = "10.0.0.1:1";
  rig.peer_table.PutEntry("entries/vm-1@z", presence);
  rig.clock.Advance(milliseconds(100));
  rig.peer_table.PutEntry("entries/vm-1@a", presence);
  BOOST_REQUIRE(rig.peer_table.Peers().size() == 1);
  BOOST_TEST(rig.peer_table.Peers().front().entry == "entries/vm-1@a");
}

/** Guards against quota requests about engines' limits that are rejected by the
 * decoder. */
BOOST_AUTO_TEST_CASE(EachKindOfDatagramIsDecoded) {
  gen::QuotaAsk ask;
  ask.entry = "a";
  ask.number = 7;
  gen::QuotaAnswer answer;
  answer.entry = "a";
  answer.number = 7;
  std::vector<gen::EntryDatagram> datagrams(4);
  datagrams[0].__set_quota_ask(ask);
  datagrams[1].__set_quota_answer(answer);
  datagrams[2].__set_engine_ask(ask);
  datagrams[3].__set_engine_answer(answer);
  for (const gen::EntryDatagram& it : datagrams) {
    BOOST_TEST((DecodeDatagram(Encode(it)) == it));
  }
}

}  // namespace sapphire::fleet

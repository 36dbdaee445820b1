/** @file quota_rig_test.h Simulates entries that share quotas, and the
 * network between them. */
#ifndef SAPPHIRE_QUOTA_QUOTA_RIG_TEST_H_
#define SAPPHIRE_QUOTA_QUOTA_RIG_TEST_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/engine_loads_base.h"
#include "quota/quota_client_base.h"

namespace sapphire::quota::testing {

inline constexpr milliseconds kStep{10};
/** Interval at which an entry sends a heartbeat to the next of its peers. */
inline constexpr milliseconds kHeartbeat{50};

/** Tolerated excess over a limit, in units. */
inline constexpr double kSlack = 10'500;

/** @return Options for the quotas of organisations. */
inline QuotaClientOptions OrganisationOptions() {
  QuotaClientOptions options;
  options.rules = {milliseconds(8000), 0.1, kSlack};
  return options;
}

/** One simulated entry: its peer table and its quota client. */
struct TestEntry {
  TestEntry(QuotaClientOptions options, const std::string& key,
            const std::string& vm_name, QuotaClient::Send send,
            const core::Clock& clock, const core::Logger& log)
      : entry(key),
        vm(vm_name),
        loads(clock),
        peer_table(key, loads, clock, log),
        client(OptionsOf(std::move(options), key, vm_name), peer_table,
               std::move(send), clock, log) {}

  static QuotaClientOptions OptionsOf(QuotaClientOptions options,
                                      const std::string& key,
                                      const std::string& vm_name) {
    options.entry = key;
    options.vm = vm_name;
    return options;
  }

  std::string entry;
  std::string vm;
  fleet::EngineLoads loads;
  fleet::PeerTable peer_table;
  QuotaClient client;
  std::int64_t records = 0;
  std::size_t turn = 0;
  bool frozen = false;
};

/** A granted request: its arrival time and cost. */
struct Grant {
  core::SteadyTime asked;
  double cost = 0;
};

/**
 * Runs the real quota clients on a simulated network. Datagrams arrive one step
 * later; they are lost between entries that are disconnected from each other,
 * and if the recipient is frozen.
 */
class QuotaRig {
 public:
  explicit QuotaRig(int entries,
                    QuotaClientOptions options = OrganisationOptions())
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        options_(std::move(options)) {
    clock.Advance(std::chrono::seconds(1000));
    for (int i = 0; i < entries; ++i) Start("vm-" + std::to_string(i));
    SyncPresences();
  }

  /** Starts an entry under a new key. */
  TestEntry& Start(const std::string& vm) {
    const std::string key = "entries/" + vm + "@" + std::to_string(++starts_);
    const std::string from = AddressOf(key);
    entries.push_back(std::make_unique<TestEntry>(
        options_, key, vm,
        [this, from](const std::string& to,
                     const gen::EntryDatagram& datagram) {
          wire_.push_back({from, to, datagram});
        },
        clock, log));
    return *entries.back();
  }

  /** Ends the entry without notice; its presence remains in the store.
   * @param vm By value, as callers may pass the member of the entry that is
   *   destroyed here. */
  void Kill(std::string vm) {
    std::erase_if(entries, [&vm](const auto& it) { return it->vm == vm; });
  }

  /** Updates the peer tables of all entries with the presences in the store. */
  void SyncPresences() {
    std::map<std::string, gen::EntryPresence> all = dead_presences;
    for (const auto& it : entries) {
      gen::EntryPresence presence;
      presence.vm = it->vm;
      presence.address = AddressOf(it->entry);
      all[it->entry] = presence;
    }
    for (const auto& it : entries) it->peer_table.SetEntries(all);
  }

  TestEntry& At(std::size_t i) { return *entries.at(i); }

  /** @return Index of the first entry that decides on the quota itself; 0 if
   * none does. */
  std::size_t CoordinatorOf(const QuotaId& id) {
    for (std::size_t i = 0; i < entries.size(); ++i) {
      // Shared, as a pending request may be decided after this call.
      const auto decides = std::make_shared<bool>(false);
      At(i).client.Take(id, {0, {1, 0}}, 0, [decides](const QuotaDecision& it) {
        *decides = it.source == QuotaSource::kSelf;
      });
      if (*decides) return i;
    }
    return 0;
  }

  /** Passes a request of `cost` units to an entry. */
  void Request(std::size_t i, const QuotaId& id, const SharedLimit& limit,
               double cost) {
    ++asked;
    const core::SteadyTime now = clock.Now();
    At(i).client.Take(id, limit, cost,
                      [this, now, cost](const QuotaDecision& decision) {
                        ++answered;
                        if (decision.granted) grants.push_back({now, cost});
                        last = decision;
                      });
  }

  /** Advances the time in steps: delivers datagrams, sends heartbeats and runs
   * the clients' timers. */
  void Pass(milliseconds time) {
    for (milliseconds gone{0}; gone < time; gone += kStep) {
      clock.Advance(kStep);
      Deliver();
      if (++steps_ % (kHeartbeat / kStep) == 0) SendHeartbeats();
      for (const auto& it : entries) {
        if (it->frozen) continue;
        it->client.Tick();
        it->client.Forget();
      }
    }
  }

  /** @return Largest sum of granted units of requests that arrived within one
   * window. */
  [[nodiscard]] double MaxInWindow(milliseconds window) const {
    std::vector<Grant> sorted = grants;
    std::ranges::sort(sorted, {}, &Grant::asked);
    double max_sum = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const Grant& it : sorted) {
      sum += it.cost;
      while (sorted[first].asked + window < it.asked) {
        sum -= sorted[first++].cost;
      }
      max_sum = std::max(max_sum, sum);
    }
    return max_sum;
  }

  [[nodiscard]] double Granted() const {
    double sum = 0;
    for (const Grant& it : grants) sum += it.cost;
    return sum;
  }

  static std::string AddressOf(const std::string& key) { return "at " + key; }

  /** Returns true if datagrams between these two VMs are lost, in both
   * directions. */
  std::function<bool(const std::string& a, const std::string& b)> is_cut =
      [](const std::string&, const std::string&) { return false; };

  core::ManualClock clock;
  core::Logger log;
  std::vector<std::unique_ptr<TestEntry>> entries;
  /** Presences of entries that have ended, but are still in the store. */
  std::map<std::string, gen::EntryPresence> dead_presences;
  std::vector<Grant> grants;
  QuotaDecision last;
  int asked = 0;
  int answered = 0;

 private:
  struct Datagram {
    std::string from;
    std::string to;
    gen::EntryDatagram content;
  };

  TestEntry* FindAt(const std::string& address) {
    const auto it = std::ranges::find_if(entries, [&](const auto& entry) {
      return AddressOf(entry->entry) == address;
    });
    return it == entries.end() ? nullptr : it->get();
  }

  void Deliver() {
    std::deque<Datagram> due;
    due.swap(wire_);
    for (const Datagram& it : due) {
      TestEntry* from = FindAt(it.from);
      TestEntry* to = FindAt(it.to);
      if (from == nullptr || to == nullptr || to->frozen) continue;
      if (is_cut(from->vm, to->vm)) continue;
      const gen::EntryDatagram& datagram = it.content;
      if (datagram.__isset.record) to->peer_table.ApplyRecord(datagram.record);
      if (datagram.__isset.quota_ask) {
        to->peer_table.RecordDatagram(datagram.quota_ask.entry);
        to->client.OnRequest(datagram.quota_ask, it.from);
      }
      if (datagram.__isset.quota_answer) {
        to->peer_table.RecordDatagram(datagram.quota_answer.entry);
        to->client.OnAnswer(datagram.quota_answer);
      }
    }
  }

  void SendHeartbeats() {
    for (const auto& it : entries) {
      const std::vector<std::string> others = it->peer_table.Addresses();
      if (it->frozen || others.empty()) continue;
      gen::EntryRecord record;
      record.entry = it->entry;
      record.number = ++it->records;
      gen::EntryDatagram datagram;
      datagram.__set_record(record);
      it->turn = (it->turn + 1) % others.size();
      wire_.push_back({AddressOf(it->entry), others[it->turn], datagram});
    }
  }

  const QuotaClientOptions options_;
  std::deque<Datagram> wire_;
  int starts_ = 0;
  int steps_ = 0;
};

}  // namespace sapphire::quota::testing

#endif  // SAPPHIRE_QUOTA_QUOTA_RIG_TEST_H_

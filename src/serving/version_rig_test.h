/** @file version_rig_test.h Entries that share the software versions of a
 * service, without a network. */
#ifndef SAPPHIRE_SERVING_VERSION_RIG_TEST_H_
#define SAPPHIRE_SERVING_VERSION_RIG_TEST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/error_type.h"
#include "entry/testing_loop.h"
#include "serving/version_store_base.h"
#include "streams/stream_directory_base.h"

namespace sapphire::serving::testing {

using std::chrono::milliseconds;

inline const core::ServiceId kService("drafts");
inline const std::string kVersionsKey = "service-versions/drafts";
/** Interval of the entries' maintenance. */
inline constexpr milliseconds kStep{100};
/** Time for which the presence of a killed entry remains. */
inline constexpr milliseconds kPresenceTime{3000};

enum class StoreState {
  kWorks,
  kRefusesWrites,
  kLosesAnswers,  ///< Writes take effect, their callers get no answer.
  kAway,
};

/** A store of one key. */
class OneKeyStore final : public external::KeyValueStore {
 public:
  StoreState state = StoreState::kWorks;
  std::optional<external::KvEntry> entry;
  std::function<void(external::KvEvent)> changed =
      [](const external::KvEvent&) {};
  int writes = 0;

  core::Task<external::CasResult> CompareAndSwap(std::string key,
                                                 std::int64_t expected,
                                                 std::string value,
                                                 std::string) override {
    co_return co_await Write(std::move(key), expected, std::move(value));
  }
  core::Task<bool> DeleteIf(std::string key, std::int64_t expected) override {
    co_return (co_await Write(std::move(key), expected, std::nullopt)).swapped;
  }

  core::Task<std::optional<external::KvEntry>> Get(std::string) override {
    co_return entry;
  }
  core::Task<std::vector<external::KvEntry>> List(std::string) override {
    co_return std::vector<external::KvEntry>();
  }
  core::Task<external::KvLease> GrantLease(milliseconds) override {
    co_return external::KvLease();
  }
  core::Task<bool> KeepAlive(std::string) override { co_return false; }
  core::Task<external::WatchBatch> Watch(std::string, std::int64_t,
                                         milliseconds) override {
    co_return external::WatchBatch();
  }

 private:
  core::Task<external::CasResult> Write(std::string key, std::int64_t expected,
                                        std::optional<std::string> value) {
    ++writes;
    if (state != StoreState::kWorks && state != StoreState::kLosesAnswers) {
      throw core::Error(core::ErrorCode::kPlatformUnavailable, "away");
    }
    external::CasResult result;
    result.current = entry;
    if ((entry ? entry->revision : 0) == expected) {
      result = {true, ++revision_, std::nullopt};
      entry.reset();
      if (value) entry = {key, *value, revision_};
      changed({key, value, revision_});
    }
    if (state == StoreState::kLosesAnswers) {
      throw core::Error(core::ErrorCode::kPlatformUnknownOutcome, "lost");
    }
    co_return result;
  }

  std::int64_t revision_ = 0;
};

class VersionFleet;

/** The parts of an entry that know versions. */
struct VersionEntry {
  VersionEntry(VersionFleet& fleet, const std::string& vm,
               const std::string& key);

  std::string key;
  /** Number of the fleet's changes that it has seen. */
  std::size_t seen = 0;
  /** While true, it sees no changes; `knows_it` tells if it notices. */
  bool behind = false;
  bool knows_it = true;
  fleet::EngineRegistry registry;
  fleet::EngineLoads loads;
  fleet::PeerTable peer_table;
  streams::VersionHistory history;
  VersionStore versions;
  streams::StreamDirectory directory;
};

/** The entries, by VM, the engines and the store, on a manual clock. */
class VersionFleet {
 public:
  VersionFleet()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock) {
    store.changed = [this](const external::KvEvent& event) {
      changes_.push_back([event](VersionEntry& it) {
        it.versions.Hooks().changed(event, std::nullopt);
      });
    };
  }

  /** Starts an entry, which lists the store at once if it can. */
  VersionEntry& Start(const std::string& vm) {
    const std::string key = "entries/" + vm + "@" + std::to_string(++started_);
    auto entry = std::make_unique<VersionEntry>(*this, vm, key);
    presences_[key] = {vm, std::nullopt};
    if (store.state != StoreState::kAway) List(*entry);
    entries[vm] = std::move(entry);
    ShareEntries();
    return *entries.at(vm);
  }

  void Kill(const std::string& vm) {
    presences_.at(entries.at(vm)->key).end = clock.Now() + kPresenceTime;
    entries.erase(vm);
  }

  void PutEngine(const std::string& id, const std::string& version) {
    fleet::EngineEntry engine;
    engine.instance = fleet::InstanceId(id);
    engine.service = kService;
    engine.software_version = fleet::SoftwareVersion(version);
    engines[id] = engine;
    changes_.push_back([engine](VersionEntry& it) { it.registry.Put(engine); });
  }

  void RemoveEngine(const std::string& id) {
    engines.erase(id);
    changes_.push_back([id](VersionEntry& it) {
      it.registry.Remove(fleet::EngineId(id), std::nullopt);
    });
  }

  /** Lets the entry list the store, as after a gap. */
  void List(VersionEntry& entry) {
    std::vector<fleet::EngineEntry> all;
    for (const auto& [id, engine] : engines) all.push_back(engine);
    entry.registry.ReplaceAll(std::move(all), std::nullopt);
    std::vector<external::KvEntry> keys;
    if (store.entry) keys.push_back(*store.entry);
    entry.versions.Hooks().listed(keys, std::nullopt);
    entry.seen = changes_.size();
  }

  void Pass(milliseconds time) {
    for (milliseconds gone{0}; gone < time; gone += kStep) {
      clock.Advance(kStep);
      ShareEntries();
      for (const auto& [vm, entry] : entries) {
        while (!entry->behind && store.state != StoreState::kAway &&
               entry->seen < changes_.size()) {
          changes_[entry->seen++](*entry);
        }
        entry->registry.Expire();
        entry->directory.Maintain();
        entry->versions.Maintain();
      }
      Settle();
    }
  }

  /** @return The version at which the entry goes on with the stream; empty if
   * it refuses it. */
  std::string TakeUp(const std::string& vm, const core::RequestId& attempt) {
    entry::testing::Outcome<streams::OriginLookup> outcome;
    streams::StreamDirectory& directory = entries.at(vm)->directory;
    entry::testing::StartTask(io, directory.Find(attempt, kService), outcome);
    Settle();
    while (!outcome.value) {
      clock.Advance(milliseconds(1));
      io.run_one();
      Settle();
    }
    if (!outcome.value->version) return "";
    directory.Record(attempt, kService, *outcome.value->version);
    return outcome.value->version->value();
  }
  std::string TakeUp(const std::string& vm) {
    return TakeUp(vm, core::RequestId("attempt"));
  }

  void Send(const std::string& from, const std::string& to,
            const gen::EntryDatagram& datagram) {
    if (cut_off.contains(from) || cut_off.contains(to)) return;
    boost::asio::post(io, [this, from, to, datagram] {
      const auto it = entries.find(to);
      if (it == entries.end()) return;
      streams::StreamDirectory& directory = it->second->directory;
      if (datagram.__isset.stream_origins) {
        directory.OnOrigins(datagram.stream_origins);
      }
      if (datagram.__isset.stream_ask) {
        directory.OnAsk(datagram.stream_ask, from);
      }
      if (datagram.__isset.stream_answer) {
        directory.OnAnswer(datagram.stream_answer);
      }
    });
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log;
  OneKeyStore store;
  std::map<std::string, fleet::EngineEntry> engines;
  std::map<std::string, std::unique_ptr<VersionEntry>> entries;
  /** VMs whose datagrams are lost. */
  std::set<std::string> cut_off;

 private:
  struct Presence {
    std::string vm;
    std::optional<core::SteadyTime> end;
  };

  void Settle() {
    io.restart();
    io.poll();
  }

  void ShareEntries() {
    std::erase_if(presences_, [this](const auto& it) {
      return it.second.end && clock.Now() >= *it.second.end;
    });
    std::map<std::string, gen::EntryPresence> known;
    for (const auto& [key, it] : presences_) {
      known[key].vm = it.vm;
      known[key].address = it.vm;
    }
    for (const auto& [vm, entry] : entries) entry->peer_table.SetEntries(known);
  }

  std::vector<std::function<void(VersionEntry&)>> changes_;
  std::map<std::string, Presence> presences_;
  int started_ = 0;
};

inline VersionEntry::VersionEntry(VersionFleet& fleet, const std::string& vm,
                                  const std::string& presence_key)
    : key(presence_key),
      registry(fleet::RegistryOptions(), fleet.clock, fleet.log),
      loads(fleet.clock),
      peer_table(key, loads, fleet.clock, fleet.log),
      history(registry, fleet.clock),
      versions(key, history, peer_table, fleet.store, fleet.io.get_executor(),
               fleet.clock, fleet.log),
      directory(
          {key, 3, milliseconds(1), milliseconds(2)}, history, peer_table,
          [this] { return !behind || !knows_it; },
          [&fleet, vm](const std::string& address,
                       const gen::EntryDatagram& datagram) {
            fleet.Send(vm, address, datagram);
          },
          fleet.clock) {}

}  // namespace sapphire::serving::testing

#endif  // SAPPHIRE_SERVING_VERSION_RIG_TEST_H_

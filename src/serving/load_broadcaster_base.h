/** @file load_broadcaster_base.h Reports this entry's load to its peers. */
#ifndef SAPPHIRE_SERVING_LOAD_BROADCASTER_BASE_H_
#define SAPPHIRE_SERVING_LOAD_BROADCASTER_BASE_H_

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "fleet/engine_loads_base.h"
#include "fleet/peer_table_base.h"
#include "serving/model_loader_base.h"
#include "serving/peer_channel_base.h"

namespace sapphire::serving {

struct BroadcastOptions {
  /** Store key of this entry's presence. */
  std::string entry;
  /** Pause between two datagrams, each to one peer. What an entry sends and
   * receives thus does not grow with the number of entries; only the age of
   * what it knows does. */
  std::chrono::milliseconds pause{fleet::kRecordInterval};
};

/** Broadcasts this entry's load to one peer at a time. Records are complete
 * snapshots, so losing one only delays the update. Not thread-safe. */
class LoadBroadcaster {
 public:
  /** @pre All references outlive it. */
  LoadBroadcaster(BroadcastOptions options, const fleet::EngineLoads& loads,
                  const fleet::PeerTable& peer_table, const ModelLoader& loader,
                  PeerChannel& channel, const core::Executor& executor,
                  const core::Clock& clock, const core::Logger& log);

  /** Starts sending. */
  void Start();

  /** With heartbeats, an entry without load goes on sending, so that its peers
   * know that it is alive. */
  void SetHeartbeats(bool on) { heartbeats_ = on; }

  /** @return This entry's current load. */
  [[nodiscard]] gen::EntryRecord Record() const;

 private:
  core::Task<> SendPeriodically();
  void SendNext();
  void Greet(const gen::EntryDatagram& datagram);
  void RefreshPeers();

  const BroadcastOptions options_;
  const fleet::EngineLoads& loads_;
  const fleet::PeerTable& peer_table_;
  const ModelLoader& loader_;
  PeerChannel& channel_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  bool heartbeats_ = false;
  std::int64_t number_ = 0;
  std::vector<std::string> addresses_;
  /** Addresses of peers that have received a record of this entry. */
  std::set<std::string> greeted_;
  core::SteadyTime addresses_read_;
  /** Index of the peer to which the last record went. */
  std::size_t last_peer_ = 0;
  /** Turns since there was load to report. */
  std::size_t idle_turns_ = 0;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_LOAD_BROADCASTER_BASE_H_

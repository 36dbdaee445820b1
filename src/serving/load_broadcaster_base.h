/** @file load_broadcaster_base.h Entries tell each other what they send. */
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
  /** Key of this entry's presence. */
  std::string entry;
  /** One datagram to one other entry each time: what an entry sends and gets
   * does not grow with their number, only the age of what it knows does. */
  std::chrono::milliseconds pause{fleet::kRecordInterval};
};

/** Broadcasts this entry's load to one peer at a time. Records are complete
 * snapshots, so losing one only delays the update. One thread. */
class LoadBroadcaster {
 public:
  /** @pre All references outlive it. */
  LoadBroadcaster(BroadcastOptions options, const fleet::EngineLoads& loads,
                  const fleet::PeerTable& peer_table, const ModelLoader& loader,
                  PeerChannel& channel, const core::Executor& executor,
                  const core::Clock& clock, const core::Logger& log);

  /** Begins to send. */
  void Start();

  /** An entry without load goes on sending, so that its peers know it lives. */
  void SetHeartbeats(bool on) { heartbeats_ = on; }

  /** @return What others are told now. */
  [[nodiscard]] gen::EntryRecord Record() const;

 private:
  core::Task<> TellByTurns();
  void TellNext();
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
  /** Peers that have been told of this entry. */
  std::set<std::string> greeted_;
  core::SteadyTime addresses_read_;
  /** Whose turn it is, among the others. */
  std::size_t turn_ = 0;
  /** Turns since there was something to tell. */
  std::size_t idle_turns_ = 0;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_LOAD_BROADCASTER_BASE_H_

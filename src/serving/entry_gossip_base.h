/** @file entry_gossip_base.h Entries tell each other what they send. */
#ifndef SAPPHIRE_SERVING_ENTRY_GOSSIP_BASE_H_
#define SAPPHIRE_SERVING_ENTRY_GOSSIP_BASE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "fleet/engine_loads_base.h"
#include "fleet/entry_board_base.h"
#include "serving/model_waker_base.h"

namespace sapphire::serving {

struct GossipOptions {
  /** Key of this entry's presence. */
  std::string entry;
  /** "ip:port" for datagrams. */
  std::string listen;
  /** One datagram to one other entry each time: what an entry sends and gets
   * does not grow with their number, only the age of what it knows does. */
  std::chrono::milliseconds pause{fleet::kTellPause};
};

/**
 * Sends this entry's record to the others by turns, as datagrams, and takes
 * theirs. A lost one does no harm, as the next one says all again; nothing is
 * agreed on here. One thread.
 */
class EntryGossip {
 public:
  /** @pre All references outlive it. */
  EntryGossip(GossipOptions options, const fleet::EngineLoads& loads,
              fleet::EntryBoard& board, const ModelWaker& waker,
              const core::Executor& executor, const core::Clock& clock,
              const core::Logger& log);

  /**
   * Begins to send and to take.
   * @throws core::Error kBadSettings if the address is taken.
   */
  void Start();

  /** @return What others are told now. */
  [[nodiscard]] gen::EntryRecord Record() const;

 private:
  core::Task<> TellByTurns();
  core::Task<> TakeAll();
  void TellNext();
  void NoteFailure(const char* what);

  /** Longer ones are cut off and not understood. */
  static constexpr std::size_t kLongestDatagram = 60'000;

  const GossipOptions options_;
  const fleet::EngineLoads& loads_;
  fleet::EntryBoard& board_;
  const ModelWaker& waker_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  boost::asio::ip::udp::socket socket_;
  std::int64_t number_ = 0;
  /** Whose turn it is, among the others. */
  std::size_t turn_ = 0;
  /** Turns since there was something to tell. */
  std::size_t idle_turns_ = 0;
  std::int64_t failures_ = 0;
  std::optional<core::SteadyTime> failure_logged_;
  std::array<char, kLongestDatagram> buf_{};
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENTRY_GOSSIP_BASE_H_

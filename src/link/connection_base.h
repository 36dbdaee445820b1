/** @file connection_base.h One TCP link: frames in, frames out, its calls. */
#ifndef SAPPHIRE_LINK_CONNECTION_BASE_H_
#define SAPPHIRE_LINK_CONNECTION_BASE_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "link/call_base.h"
#include "link/link_base.h"

namespace sapphire::link {

/** LinkCounters that several threads add to. */
struct AtomicCounters {
  std::atomic<std::int64_t> frames_sent{0};
  std::atomic<std::int64_t> frames_received{0};
  std::atomic<std::int64_t> bytes_sent{0};
  std::atomic<std::int64_t> bytes_received{0};
  std::atomic<std::int64_t> frames_dropped{0};
  std::atomic<std::int64_t> links_lost{0};
};

/** What every connection of one process shares. */
struct NodeContext {
  NodeContext(core::Executor node_executor, LinkOptions node_options,
              CallHandler node_handler, VersionHooks node_hooks,
              const core::Clock& node_clock, const core::Logger& node_log)
      : executor(std::move(node_executor)),
        options(std::move(node_options)),
        handler(std::move(node_handler)),
        hooks(std::move(node_hooks)),
        clock(node_clock),
        log(node_log) {}

  const core::Executor executor;
  /** `self.listen_address` is set by Listen, before any connection. */
  LinkOptions options;
  const CallHandler handler;
  const VersionHooks hooks;
  const core::Clock& clock;
  const core::Logger& log;
  AtomicCounters counters;
  std::atomic<bool> accept_calls{true};
};

/**
 * One link. Its socket lives on a strand of its own; calls and the outgoing
 * queue are shared with other threads under a lock.
 */
class Connection final : public Link,
                         public FrameSink,
                         public std::enable_shared_from_this<Connection> {
 public:
  /** @param socket Connected, on a strand. */
  Connection(std::shared_ptr<NodeContext> context,
             boost::asio::ip::tcp::socket socket);

  /** Exchanges Hello and starts to read, write and send heartbeats.
   * @throws core::Error kLinkLost */
  core::Task<> Start();

  /** Fails every call and closes the socket. Any thread. */
  void Close(const core::Error& why);

  /** Sends a heartbeat now. */
  void SendHeartbeat();

  [[nodiscard]] PeerInfo peer() const override;
  [[nodiscard]] bool lost() const override { return lost_; }
  core::Task<std::shared_ptr<Call>> Open(gen::Message first) override;

  void Push(const CallKey& key, gen::Message message) override;
  void Forget(const CallKey& key) override;

 private:
  core::Task<> ExchangeHello();
  core::Task<gen::Frame> ReadFrame();
  core::Task<> ReadLoop();
  core::Task<> WriteLoop();
  core::Task<> HeartbeatLoop();
  void Receive(gen::Frame frame);
  void NoteVersion(std::int64_t version);
  void Dispatch(const CallKey& key, gen::Message message);
  void AcceptCall(const CallKey& key, gen::Message first);
  [[nodiscard]] bool PeerIsSilent() const;
  [[nodiscard]] bool IsIdle() const;

  const std::shared_ptr<NodeContext> context_;
  boost::asio::ip::tcp::socket socket_;
  std::atomic<bool> lost_{false};
  std::atomic<std::int64_t> last_received_ns_{0};

  /** Held while a call is opened, so that ids are sent in order. */
  std::mutex open_mutex_;
  mutable std::mutex mutex_;
  PeerInfo peer_;
  std::map<CallKey, std::shared_ptr<CallState>> calls_;
  std::int64_t next_call_ = 1;
  /** When the last call ended; before that, when the link was made. */
  core::SteadyTime last_call_;
  /** Newest call id taken from the peer. */
  std::int64_t newest_accepted_ = 0;
  std::string outgoing_;
  core::Signal outgoing_added_;
};

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_CONNECTION_BASE_H_

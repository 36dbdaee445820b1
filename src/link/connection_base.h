/** @file connection_base.h One TCP link: reads and writes frames and dispatches
 * them to calls. */
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

/** LinkCounters that several threads update. */
struct AtomicCounters {
  std::atomic<std::int64_t> frames_sent{0};
  std::atomic<std::int64_t> frames_received{0};
  std::atomic<std::int64_t> bytes_sent{0};
  std::atomic<std::int64_t> bytes_received{0};
  std::atomic<std::int64_t> frames_dropped{0};
  std::atomic<std::int64_t> links_lost{0};
};

/** State shared by all connections of a process. */
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
  /** LinkNode::Listen sets `self.listen_address` before any connection is made.
   */
  LinkOptions options;
  const CallHandler handler;
  const VersionHooks hooks;
  const core::Clock& clock;
  const core::Logger& log;
  AtomicCounters counters;
  std::atomic<bool> accept_calls{true};
  /** Bytes of incomplete frames, of all links. */
  std::atomic<std::size_t> incomplete_bytes{0};
};

/**
 * One link. The socket is used only on its own strand; calls and the outgoing
 * queue are shared with other threads and protected by a mutex.
 */
class Connection final : public Link,
                         public FrameSink,
                         public std::enable_shared_from_this<Connection> {
 public:
  /** @param socket Connected; its executor is a strand. */
  Connection(std::shared_ptr<NodeContext> context,
             boost::asio::ip::tcp::socket socket);

  /** Exchanges Hello and starts reading, writing and sending heartbeats.
   * @throws core::Error kLinkLost */
  core::Task<> Start();

  /** Fails every call with `why` and closes the socket. May be called on any
   * thread. */
  void Close(const core::Error& why);

  /** Queues a heartbeat for sending. */
  void SendHeartbeat();

  /** @return True once the peer has said Hello. */
  [[nodiscard]] bool greeted() const { return greeted_; }
  [[nodiscard]] bool HasCalls() const;

  [[nodiscard]] PeerInfo peer() const override;
  [[nodiscard]] bool lost() const override { return lost_; }
  core::Task<std::shared_ptr<Call>> Open(gen::Message first) override;

  void Push(const CallKey& key, gen::Message message) override;
  void RemoveCall(const CallKey& key) override;

 private:
  core::Task<> ExchangeHello();
  core::Task<gen::Frame> ReadFrame(std::uint32_t max_bytes);
  core::Task<boost::system::error_code> ReadBody(std::size_t size,
                                                 std::string& body);
  [[noreturn]] void Lose(const std::string& why);
  core::Task<> ReadLoop();
  core::Task<> WriteLoop();
  core::Task<> HeartbeatLoop();
  void Receive(gen::Frame frame);
  void HandlePeerVersion(std::int64_t version);
  void Dispatch(const CallKey& key, gen::Message message);
  void AcceptCall(const CallKey& key, gen::Message first);
  [[nodiscard]] bool PeerTimedOut() const;
  [[nodiscard]] bool IsIdle() const;

  const std::shared_ptr<NodeContext> context_;
  boost::asio::ip::tcp::socket socket_;
  std::atomic<bool> lost_{false};
  std::atomic<bool> greeted_{false};
  std::atomic<std::int64_t> last_received_ns_{0};

  /** Held while a call is opened, so that call ids are sent in order. */
  std::mutex open_mutex_;
  mutable std::mutex mutex_;
  PeerInfo peer_;
  std::map<CallKey, std::shared_ptr<CallState>> calls_;
  std::int64_t next_call_ = 1;
  /** When the last call ended; initially when the link was created. */
  core::SteadyTime last_call_end_;
  /** Highest id of the calls that the peer has opened, and how many of them are
   * open. */
  std::int64_t highest_accepted_id_ = 0;
  std::size_t accepted_calls_ = 0;
  std::string outgoing_;
  core::Signal outgoing_added_;
};

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_CONNECTION_BASE_H_

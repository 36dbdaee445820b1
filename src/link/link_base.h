/** @file link_base.h Calls between processes, multiplexed over one TCP link per
 * pair of processes. */
#ifndef SAPPHIRE_LINK_LINK_BASE_H_
#define SAPPHIRE_LINK_LINK_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "link/link_type.h"

namespace sapphire::link {

/**
 * One call: a two-way stream of messages. Can be used on any thread, but only
 * by one sender and one receiver at a time. Destroying the last reference to a
 * call that has not ended cancels it.
 */
class Call {
 public:
  virtual ~Call() = default;

  /**
   * Sends a message; waits until the peer has granted credit for it.
   * @throws core::Error kLinkLost, or kCancelled if the call has ended.
   */
  virtual core::Task<> Send(gen::Message message) = 0;

  /**
   * @param timeout How long to wait for the next message.
   * @return The next message, in order and without gaps.
   * @throws core::Error kTimedOut, kLinkLost, kCancelled, or the error that the
   *   peer sent as a Refusal.
   */
  virtual core::Task<gen::Message> Receive(
      std::chrono::milliseconds timeout) = 0;

  /** Ends the call. Frames that arrive for it later are dropped and counted. */
  virtual void Cancel() = 0;

  /** @return True once the link is lost or either side ended the call. */
  [[nodiscard]] virtual bool ended() const = 0;

  [[nodiscard]] virtual PeerInfo peer() const = 0;
};

/** One link, as passed to VersionHooks: opens calls to the other side. */
class Link {
 public:
  virtual ~Link() = default;
  [[nodiscard]] virtual PeerInfo peer() const = 0;
  [[nodiscard]] virtual bool lost() const = 0;
  /** @throws core::Error kLinkLost. */
  virtual core::Task<std::shared_ptr<Call>> Open(gen::Message first) = 0;
};

/**
 * Handles an incoming call. The call ends when the handler returns; a
 * core::Error that it throws is sent as a Refusal.
 */
using CallHandler =
    std::function<core::Task<>(std::shared_ptr<Call>, gen::Message first)>;

/** Exchange of configuration versions over links. */
struct VersionHooks {
  /** @return The version that this process uses; sent with every frame. */
  std::function<std::int64_t()> current;
  /** Called for each frame of a peer with a version above `current`. Must not
   * block. */
  std::function<void(std::shared_ptr<Link>, std::int64_t version)>
      on_newer_version;
};

/** @return Hooks for a process that exchanges no configuration over its links:
 * always version 0. */
VersionHooks NoVersions();

/** All links of one process. */
class LinkNode {
 public:
  /** @pre `clock` and `log` outlive the node and its calls. */
  LinkNode(const core::Executor& executor, LinkOptions options,
           CallHandler handler, VersionHooks hooks, const core::Clock& clock,
           const core::Logger& log);
  ~LinkNode();

  LinkNode(const LinkNode&) = delete;
  LinkNode& operator=(const LinkNode&) = delete;

  /**
   * Listens on "ip:port"; port 0 selects a free one.
   * @return "ip:port" as bound, which is sent in Hello.
   * @throws core::Error kBadSettings if the address is in use, which also keeps
   *   a second process on a VM from starting.
   */
  std::string Listen(const std::string& address);

  /**
   * Opens a call to the process that listens at `address`, over the existing
   * link or a new one.
   * @throws core::Error kLinkLost if the process can't be reached.
   */
  core::Task<std::shared_ptr<Call>> Open(const std::string& address,
                                         gen::Message first);

  /** @return The peers of all links that are up. */
  [[nodiscard]] std::vector<PeerInfo> Peers() const;

  [[nodiscard]] LinkCounters counters() const;

  /** Sends a heartbeat on every link, so that peers see a new version
   * immediately. */
  void AnnounceVersion();

  /** Refuses new links and calls; calls in progress continue. */
  void StopAccepting();

  /** Closes every link; calls in progress fail with kLinkLost. */
  void Close();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_LINK_BASE_H_

/** @file link_base.h Multiplexed calls over one TCP link per pair of processes.
 */
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
 * One call: a two-way stream of messages. Safe to use from any thread, but
 * with one sender and one receiver at a time. Dropping the last reference to a
 * call that has not ended cancels it.
 */
class Call {
 public:
  virtual ~Call() = default;

  /**
   * Sends a message; waits while the peer grants no credit.
   * @throws core::Error kLinkLost, or kCancelled if the peer gave up.
   */
  virtual core::Task<> Send(gen::Message message) = 0;

  /**
   * @param timeout How long to wait for the next message.
   * @return The next message, in order and without gaps.
   * @throws core::Error kTimedOut, kLinkLost, kCancelled, or the error of a
   *   Refusal that the peer sent.
   */
  virtual core::Task<gen::Message> Receive(
      std::chrono::milliseconds timeout) = 0;

  /** Ends the call; frames of it that still arrive are dropped and counted. */
  virtual void Cancel() = 0;

  /** @return True once the link is lost or either side ended the call. */
  [[nodiscard]] virtual bool ended() const = 0;

  [[nodiscard]] virtual PeerInfo peer() const = 0;
};

/** One link, seen from a hook: opens calls towards the other side. */
class Link {
 public:
  virtual ~Link() = default;
  [[nodiscard]] virtual PeerInfo peer() const = 0;
  [[nodiscard]] virtual bool lost() const = 0;
  /** @throws core::Error kLinkLost. */
  virtual core::Task<std::shared_ptr<Call>> Open(gen::Message first) = 0;
};

/**
 * Answers a call. The call ends when the handler returns; a core::Error it
 * throws is sent as Refusal.
 */
using CallHandler =
    std::function<core::Task<>(std::shared_ptr<Call>, gen::Message first)>;

/** What a process does with configuration versions seen on links. */
struct VersionHooks {
  /** @return The version in force here; sent with every frame. */
  std::function<std::int64_t()> current;
  /** Called when a peer's frames show a version above `current`. May be called
   * often; must not block. */
  std::function<void(std::shared_ptr<Link>, std::int64_t version)> newer_seen;
};

/** @return Hooks of a process that carries no configuration on its links. */
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
   * Listens on "ip:port"; port 0 takes a free one.
   * @return "ip:port" as bound, which Hello then carries.
   * @throws core::Error kBadSettings if the address is taken: a second process
   *   on a VM ends here.
   */
  std::string Listen(const std::string& address);

  /**
   * Opens a call to the process listening at `address`, over the link that is
   * up or a new one.
   * @throws core::Error kLinkLost if it can't be reached.
   */
  core::Task<std::shared_ptr<Call>> Open(const std::string& address,
                                         gen::Message first);

  /** @return Everyone a link is up with. */
  [[nodiscard]] std::vector<PeerInfo> Peers() const;

  [[nodiscard]] LinkCounters counters() const;

  /** Sends a heartbeat on every link now: peers see the new version at once. */
  void AnnounceVersion();

  /** Takes no new links or calls; calls in progress go on. */
  void StopAccepting();

  /** Closes every link; calls in progress fail with kLinkLost. */
  void Close();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::link

#endif  // SAPPHIRE_LINK_LINK_BASE_H_

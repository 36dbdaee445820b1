/** @file node.cc Accepts, opens and keeps track of the links of a process. */
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <list>
#include <set>
#include <utility>

#include "core/address_func.h"
#include "core/task_func.h"
#include "link/connection_base.h"

namespace sapphire::link {

namespace asio = boost::asio;
using asio::ip::tcp;
using core::Error;
using core::ErrorCode;
using core::Task;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kAcceptRetryDelay{10};

}  // namespace

struct LinkNode::State : std::enable_shared_from_this<State> {
  State(const core::Executor& executor, LinkOptions options,
        CallHandler handler, VersionHooks hooks, const core::Clock& clock,
        const core::Logger& log)
      : context(std::make_shared<NodeContext>(executor, std::move(options),
                                              std::move(handler),
                                              std::move(hooks), clock, log)),
        accept_strand(asio::make_strand(executor)),
        acceptor(accept_strand) {}

  Task<> AcceptLoop();
  Task<> StartAccepted(std::shared_ptr<Connection> connection);
  bool MakeRoom();
  Task<std::shared_ptr<Connection>> Dial(std::string address);
  Task<std::shared_ptr<Connection>> DialOnStrand(
      asio::strand<core::Executor> strand, std::string address);
  /** @return The existing link to `address`, or null. */
  std::shared_ptr<Connection> FindLink(const std::string& address);
  /** Adds a link to `links` and removes those that are lost. */
  void AddLink(const std::shared_ptr<Connection>& connection);
  [[nodiscard]] std::vector<std::shared_ptr<Connection>> Links() const;

  const std::shared_ptr<NodeContext> context;
  asio::strand<core::Executor> accept_strand;
  tcp::acceptor acceptor;
  std::atomic<bool> closed{false};
  mutable std::mutex mutex;
  std::map<std::string, std::shared_ptr<Connection>> dialed;
  std::set<std::shared_ptr<Connection>> links;
  /** Links that others opened, the oldest first. Used on `accept_strand`. */
  std::list<std::weak_ptr<Connection>> accepted;
};

Task<> LinkNode::State::AcceptLoop() {
  const auto self = shared_from_this();
  while (!closed) {
    tcp::socket socket(asio::make_strand(context->executor));
    const auto [ec] = co_await acceptor.async_accept(socket, kTuple);
    if (!acceptor.is_open()) break;
    if (ec) {
      co_await core::SleepFor(kAcceptRetryDelay);
      continue;
    }
    if (!MakeRoom()) {
      context->log.Event(core::LogLevel::kInfo, core::LogCategory::kLink,
                         "link_refused",
                         {{"error", "too many links with calls"}});
      continue;
    }
    const auto strand = socket.get_executor();
    const auto connection =
        std::make_shared<Connection>(context, std::move(socket));
    accepted.push_back(connection);
    asio::co_spawn(strand, StartAccepted(connection), asio::detached);
  }
}

/** Closes a link if there is no room for another one. @return False if all have
 * calls. */
bool LinkNode::State::MakeRoom() {
  std::erase_if(accepted, [](const auto& it) {
    const auto connection = it.lock();
    return !connection || connection->lost();
  });
  if (accepted.size() < context->options.max_accepted_links) return true;
  const auto close_first = [this](auto may_close) {
    const auto it = std::ranges::find_if(accepted, [&](const auto& weak) {
      const auto connection = weak.lock();
      return connection && may_close(*connection);
    });
    if (it == accepted.end()) return false;
    if (const auto connection = it->lock()) {
      connection->Close(Error(ErrorCode::kLinkLost, "too many links"));
    }
    accepted.erase(it);
    return true;
  };
  return close_first([](const Connection& it) { return !it.greeted(); }) ||
         close_first([](const Connection& it) { return !it.HasCalls(); });
}

Task<> LinkNode::State::StartAccepted(std::shared_ptr<Connection> connection) {
  const auto self = shared_from_this();
  try {
    co_await connection->Start();
    AddLink(connection);
  } catch (const Error& e) {
    context->log.Event(core::LogLevel::kDebug, core::LogCategory::kLink,
                       "link_refused", {{"error", e.what()}});
  }
}

std::shared_ptr<Connection> LinkNode::State::FindLink(
    const std::string& address) {
  const std::lock_guard lock(mutex);
  const auto it = dialed.find(address);
  if (it == dialed.end() || it->second->lost()) return nullptr;
  return it->second;
}

void LinkNode::State::AddLink(const std::shared_ptr<Connection>& connection) {
  const std::lock_guard lock(mutex);
  std::erase_if(links, [](const auto& it) { return it->lost(); });
  links.insert(connection);
}

std::vector<std::shared_ptr<Connection>> LinkNode::State::Links() const {
  const std::lock_guard lock(mutex);
  return {links.begin(), links.end()};
}

/** Connects on the socket's own strand: on any other executor, the connect
 * timer would cancel the socket from a second thread. */
Task<std::shared_ptr<Connection>> LinkNode::State::Dial(std::string address) {
  const auto strand = asio::make_strand(context->executor);
  co_return co_await asio::co_spawn(
      strand, DialOnStrand(strand, std::move(address)), asio::use_awaitable);
}

Task<std::shared_ptr<Connection>> LinkNode::State::DialOnStrand(
    asio::strand<core::Executor> strand, std::string address) {
  const auto self = shared_from_this();
  boost::beast::tcp_stream stream(strand);
  stream.expires_after(context->options.connect_timeout);
  const auto [ec] =
      co_await stream.async_connect(core::ParseAddress(address), kTuple);
  if (ec) throw Error(ErrorCode::kLinkLost, address + ": " + ec.message());
  stream.expires_never();
  auto connection =
      std::make_shared<Connection>(context, stream.release_socket());
  co_await connection->Start();
  co_return connection;
}

LinkNode::LinkNode(const core::Executor& executor, LinkOptions options,
                   CallHandler handler, VersionHooks hooks,
                   const core::Clock& clock, const core::Logger& log)
    : state_(std::make_shared<State>(executor, std::move(options),
                                     std::move(handler), std::move(hooks),
                                     clock, log)) {}

LinkNode::~LinkNode() { Close(); }

std::string LinkNode::Listen(const std::string& address) {
  core::ListenOn(state_->acceptor, address);
  std::string bound = core::AddressText(state_->acceptor);
  state_->context->options.self.listen_address = bound;
  asio::co_spawn(state_->accept_strand, state_->AcceptLoop(), asio::detached);
  return bound;
}

Task<std::shared_ptr<Call>> LinkNode::Open(const std::string& address,
                                           gen::Message first) {
  const auto state = state_;
  if (state->closed) throw Error(ErrorCode::kLinkLost, "this process ends");
  auto connection = state->FindLink(address);
  if (!connection) {
    auto fresh = co_await state->Dial(address);
    connection = state->FindLink(address);
    // Two coroutines may have connected at the same time; the link that was
    // ready first is used.
    if (connection) {
      fresh->Close(Error(ErrorCode::kLinkLost, "duplicate link"));
    } else {
      connection = fresh;
      state->AddLink(connection);
      const std::lock_guard lock(state->mutex);
      state->dialed[address] = connection;
    }
  }
  co_return co_await connection->Open(std::move(first));
}

std::vector<PeerInfo> LinkNode::Peers() const {
  std::vector<PeerInfo> peers;
  for (const auto& connection : state_->Links()) {
    if (!connection->lost()) peers.push_back(connection->peer());
  }
  return peers;
}

LinkCounters LinkNode::counters() const {
  const AtomicCounters& from = state_->context->counters;
  return LinkCounters{from.frames_sent,    from.frames_received,
                      from.bytes_sent,     from.bytes_received,
                      from.frames_dropped, from.links_lost};
}

void LinkNode::AnnounceVersion() {
  for (const auto& connection : state_->Links()) connection->SendHeartbeat();
}

void LinkNode::StopAccepting() {
  state_->context->accept_calls = false;
  asio::post(state_->accept_strand, [state = state_] {
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
  });
}

void LinkNode::Close() {
  if (state_->closed.exchange(true)) return;
  StopAccepting();
  for (const auto& connection : state_->Links()) {
    connection->Close(Error(ErrorCode::kLinkLost, "this process ends"));
  }
}

}  // namespace sapphire::link

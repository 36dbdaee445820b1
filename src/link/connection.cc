/** @file connection.cc One TCP link: reads and writes frames and dispatches
 * them to calls. */
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

#include "core/task_func.h"
#include "link/codec_func.h"
#include "link/connection_base.h"

namespace sapphire::link {

namespace asio = boost::asio;
using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using core::Task;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kWriteRecheck{60'000};
/** A Hello holds two names and an address. */
constexpr std::uint32_t kMaxHelloBytes = 4 * 1024;
/** Frames of this size are read in one part, however many others are read. */
constexpr std::size_t kSmallFrameBytes = 16 * 1024;
/** Key of the frames that belong to the link itself: Hello and heartbeats. */
constexpr CallKey kLinkKey{0, true};
constexpr std::chrono::milliseconds kRetryAfter{1000};

Error LinkLost(const std::string& why) {
  return Error(ErrorCode::kLinkLost, why);
}

/** What one link has read of an incomplete frame, counted with all others. */
class IncompleteBytes {
 public:
  explicit IncompleteBytes(std::atomic<std::size_t>& all) : all_(all) {}
  ~IncompleteBytes() { all_ -= bytes_; }
  IncompleteBytes(const IncompleteBytes&) = delete;
  IncompleteBytes& operator=(const IncompleteBytes&) = delete;

  /** @return The bytes of all links then. @param bytes At least as before. */
  std::size_t Set(std::size_t bytes) {
    const std::size_t added = bytes - std::exchange(bytes_, bytes);
    return all_ += added;
  }

 private:
  std::atomic<std::size_t>& all_;
  std::size_t bytes_ = 0;
};

/** Runs the handler of an accepted call; sends what it throws as a Refusal. */
Task<> RunHandler(std::shared_ptr<NodeContext> context,
                  std::shared_ptr<CallState> state, gen::Message first) {
  std::optional<Error> failure;
  const std::string kind = KindOf(first);
  // Outlives the handler's own reference: destroying the last handle ends the
  // call, and then no refusal could be sent.
  const auto handle = std::make_shared<CallHandle>(state);
  try {
    co_await context->handler(handle, std::move(first));
  } catch (const Error& e) {
    failure = e;
  } catch (const std::exception& e) {
    failure.emplace(ErrorCode::kInternal, e.what());
  }
  if (!failure) co_return;
  context->log.Event(LogLevel::kDebug, LogCategory::kLink, "call_refused",
                     {{"kind", kind}, {"error", failure->what()}});
  gen::Message message;
  message.__set_refusal(ToRefusal(*failure));
  state->EndWith(std::move(message));
}

}  // namespace

Connection::Connection(std::shared_ptr<NodeContext> context,
                       asio::ip::tcp::socket socket)
    : context_(std::move(context)),
      socket_(std::move(socket)),
      last_call_end_(context_->clock.Now()) {}

Task<> Connection::Start() {
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  last_received_ns_ = context_->clock.Now().time_since_epoch().count();
  // The write and heartbeat loops start first: the heartbeat loop closes the
  // link if the peer never sends Hello.
  const auto strand = socket_.get_executor();
  asio::co_spawn(strand, WriteLoop(), asio::detached);
  asio::co_spawn(strand, HeartbeatLoop(), asio::detached);
  co_await ExchangeHello();
  asio::co_spawn(strand, ReadLoop(), asio::detached);
}

Task<> Connection::ExchangeHello() {
  gen::Message message;
  message.__set_hello(context_->options.self);
  Push(kLinkKey, std::move(message));
  const gen::Frame frame = co_await ReadFrame(kMaxHelloBytes);
  if (!frame.message.__isset.hello) Lose("the peer did not say hello");
  const gen::Hello& hello = frame.message.hello;
  const std::lock_guard lock(mutex_);
  peer_ = PeerInfo{core::VmId(hello.vm), core::ZoneId(hello.zone),
                   hello.role,           hello.incarnation,
                   hello.listen_address, frame.config_version};
  greeted_ = true;
}

/** Reads the body of a frame. Memory is taken as bytes arrive, not as they are
 * announced. */
Task<boost::system::error_code> Connection::ReadBody(std::size_t size,
                                                     std::string& body) {
  IncompleteBytes incomplete(context_->incomplete_bytes);
  while (body.size() < size) {
    const std::size_t before = body.size();
    const std::size_t part =
        std::min(size - before, std::max(before, kSmallFrameBytes));
    const std::size_t all = incomplete.Set(before + part);
    if (size > kSmallFrameBytes &&
        all > context_->options.max_incomplete_bytes) {
      Lose("the incomplete frames of all links are over the limit");
    }
    body.resize(before + part);
    const auto [ec, n] = co_await asio::async_read(
        socket_, asio::buffer(body.data() + before, part), kTuple);
    if (ec) co_return ec;
  }
  co_return boost::system::error_code();
}

Task<gen::Frame> Connection::ReadFrame(std::uint32_t max_bytes) {
  std::string length(kLengthBytes, '\0');
  auto [ec, n] =
      co_await asio::async_read(socket_, asio::buffer(length), kTuple);
  std::string body;
  if (!ec) {
    const std::uint32_t size = DecodeLength(length);
    if (size > max_bytes) Lose("a frame is over the limit");
    ec = co_await ReadBody(size, body);
  }
  if (ec) Lose(ec.message());
  last_received_ns_ = context_->clock.Now().time_since_epoch().count();
  ++context_->counters.frames_received;
  context_->counters.bytes_received +=
      static_cast<std::int64_t>(kLengthBytes + body.size());
  co_return DecodeFrame(body);
}

void Connection::Lose(const std::string& why) {
  Close(LinkLost(why));
  throw LinkLost(why);
}

Task<> Connection::ReadLoop() {
  const auto self = shared_from_this();
  try {
    const auto max =
        static_cast<std::uint32_t>(context_->options.max_frame_bytes);
    while (!lost_) Receive(co_await ReadFrame(max));
  } catch (const Error& e) {
    Close(LinkLost(e.detail()));
  }
}

void Connection::Receive(gen::Frame frame) {
  HandlePeerVersion(frame.config_version);
  if (frame.message.__isset.heartbeat || frame.message.__isset.hello) return;
  Dispatch(CallKey{frame.call, !frame.from_opener}, std::move(frame.message));
}

void Connection::HandlePeerVersion(std::int64_t version) {
  {
    const std::lock_guard lock(mutex_);
    peer_.config_version = std::max(peer_.config_version, version);
  }
  if (version > context_->hooks.current()) {
    context_->hooks.on_newer_version(shared_from_this(), version);
  }
}

void Connection::Dispatch(const CallKey& key, gen::Message message) {
  std::shared_ptr<CallState> state;
  {
    const std::lock_guard lock(mutex_);
    const auto it = calls_.find(key);
    if (it != calls_.end()) state = it->second;
  }
  if (state) {
    state->Deliver(std::move(message));
    return;
  }
  const bool opens = !key.opened_here && !message.__isset.cancel &&
                     !message.__isset.credit && !message.__isset.refusal;
  if (opens) {
    AcceptCall(key, std::move(message));
    return;
  }
  // This is a late frame of a call that has ended here: the peer sent it before
  // it received the end. Ids are never reused on a link, so the frame can't
  // belong to another call.
  if (!message.__isset.cancel) ++context_->counters.frames_dropped;
}

void Connection::AcceptCall(const CallKey& key, gen::Message first) {
  {
    const std::lock_guard lock(mutex_);
    // A late frame of an ended call must not open a new call. The peer numbers
    // its calls in ascending order, so an id up to the highest seen is old.
    if (key.id <= highest_accepted_id_) {
      ++context_->counters.frames_dropped;
      return;
    }
    highest_accepted_id_ = key.id;
  }
  const auto state = std::make_shared<CallState>(key, shared_from_this(),
                                                 context_->options.window);
  std::optional<Error> refusal;
  if (!context_->accept_calls) {
    refusal.emplace(ErrorCode::kLeaving, "the VM takes no new calls",
                    kRetryAfter);
  }
  {
    const std::lock_guard lock(mutex_);
    if (lost_) return;
    if (accepted_calls_ >= context_->options.max_accepted_calls) {
      refusal.emplace(ErrorCode::kQueueFull, "too many calls on the link",
                      kRetryAfter);
    }
    if (!refusal) {
      calls_[key] = state;
      ++accepted_calls_;
    }
  }
  if (refusal) {
    gen::Message message;
    message.__set_refusal(ToRefusal(*refusal));
    state->EndWith(std::move(message));
    return;
  }
  asio::co_spawn(asio::make_strand(context_->executor),
                 RunHandler(context_, state, std::move(first)), asio::detached);
}

Task<> Connection::WriteLoop() {
  const auto self = shared_from_this();
  while (!lost_) {
    const std::uint64_t seen = outgoing_added_.epoch();
    std::string buf;
    {
      const std::lock_guard lock(mutex_);
      buf.swap(outgoing_);
    }
    if (buf.empty()) {
      co_await outgoing_added_.Wait(seen, kWriteRecheck);
      continue;
    }
    const auto [ec, n] =
        co_await asio::async_write(socket_, asio::buffer(buf), kTuple);
    context_->counters.bytes_sent += static_cast<std::int64_t>(n);
    if (ec) Close(LinkLost(ec.message()));
  }
}

Task<> Connection::HeartbeatLoop() {
  const auto self = shared_from_this();
  while (!lost_) {
    co_await core::SleepFor(context_->options.heartbeat_interval);
    if (lost_) break;
    if (PeerTimedOut()) {
      Close(LinkLost("the peer is silent"));
      break;
    }
    if (IsIdle()) {
      Close(LinkLost("no call for long"));
      break;
    }
    SendHeartbeat();
  }
}

/** Detects a peer that is frozen, unreachable or has ended without closing the
 * connection; TCP alone takes many minutes. If only one direction is cut, the
 * side that receives nothing detects it and closes the connection, which the
 * other side sees. */
bool Connection::PeerTimedOut() const {
  const core::SteadyTime last(
      core::SteadyTime::duration(last_received_ns_.load()));
  return context_->clock.Now() - last > context_->options.dead_after;
}

bool Connection::IsIdle() const {
  const core::Millis limit = context_->options.idle_timeout;
  if (limit.count() == 0) return false;
  const std::lock_guard lock(mutex_);
  return calls_.empty() && context_->clock.Now() - last_call_end_ > limit;
}

bool Connection::HasCalls() const {
  const std::lock_guard lock(mutex_);
  return !calls_.empty();
}

void Connection::SendHeartbeat() {
  gen::Message message;
  message.__set_heartbeat(gen::Heartbeat());
  Push(kLinkKey, std::move(message));
}

void Connection::Push(const CallKey& key, gen::Message message) {
  gen::Frame frame;
  frame.call = key.id;
  frame.from_opener = key.opened_here;
  frame.config_version = context_->hooks.current();
  frame.message = std::move(message);
  const std::string bytes = EncodeFrame(frame);
  bool is_unread = false;
  {
    const std::lock_guard lock(mutex_);
    if (lost_) return;
    is_unread = outgoing_.size() > context_->options.max_outgoing_bytes;
    if (!is_unread) outgoing_ += bytes;
  }
  if (is_unread) {
    Close(LinkLost("the peer does not read"));
    return;
  }
  ++context_->counters.frames_sent;
  outgoing_added_.Notify();
}

void Connection::RemoveCall(const CallKey& key) {
  const std::lock_guard lock(mutex_);
  if (calls_.erase(key) > 0 && !key.opened_here) --accepted_calls_;
  last_call_end_ = context_->clock.Now();
}

PeerInfo Connection::peer() const {
  const std::lock_guard lock(mutex_);
  return peer_;
}

Task<std::shared_ptr<Call>> Connection::Open(gen::Message first) {
  // Ids must reach the peer in ascending order: it treats a smaller id than the
  // highest seen as a late frame of an ended call.
  const std::lock_guard opening(open_mutex_);
  std::shared_ptr<CallState> state;
  CallKey key;
  {
    const std::lock_guard lock(mutex_);
    if (lost_) throw LinkLost("the link is down");
    key = CallKey{next_call_++, true};
    state = std::make_shared<CallState>(key, shared_from_this(),
                                        context_->options.window);
    calls_[key] = state;
  }
  Push(key, std::move(first));
  co_return std::make_shared<CallHandle>(state);
}

void Connection::Close(const Error& why) {
  if (lost_.exchange(true)) return;
  std::map<CallKey, std::shared_ptr<CallState>> calls;
  {
    const std::lock_guard lock(mutex_);
    calls.swap(calls_);
  }
  ++context_->counters.links_lost;
  context_->log.Event(LogLevel::kInfo, LogCategory::kLink, "link_lost",
                      {{"peer", peer().vm}, {"why", why.detail()}});
  for (const auto& [key, state] : calls) state->Fail(why);
  outgoing_added_.Notify();
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->socket_.close(ignored);
  });
}

}  // namespace sapphire::link

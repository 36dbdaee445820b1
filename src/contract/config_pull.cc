/** @file config_pull.cc Distributes configurations over links. */
#include <algorithm>
#include <atomic>
#include <exception>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "contract/config_pull_base.h"
#include "core/error_type.h"
#include "core/task_func.h"

namespace sapphire::contract {

using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;

namespace {

/** Bytes of parts in one message: well below the maximum frame of a link. */
constexpr std::size_t kMessageBytes = 1024 * 1024;
constexpr std::chrono::milliseconds kReceiveTimeout{2000};
/** Time until a peer whose answer could not be used is pulled from again. */
constexpr std::chrono::milliseconds kPauseAfterFailure{200};

using PartMap = std::map<std::string, std::string, std::less<>>;

gen::Message PullMessage(const EncodedConfig* have) {
  gen::ConfigPull pull;
  if (have != nullptr) {
    pull.have_version = have->version;
    pull.have_parts = HashesOf(*have);
  }
  gen::Message message;
  message.__set_config_pull(pull);
  return message;
}

/** @return True once every part of the answer is in `parts`. */
bool Complete(const gen::ConfigParts& answer, const PartMap& parts) {
  return std::ranges::all_of(answer.part_hashes, [&](const std::string& hash) {
    return parts.contains(hash);
  });
}

/** @return The parts that the peer leaves out because the request lists them.
 */
PartMap LocalParts(const EncodedConfig* have) {
  PartMap parts;
  if (have == nullptr) return parts;
  for (const Part& part : have->parts) parts.emplace(part.hash, part.data);
  return parts;
}

EncodedConfig Assemble(const gen::ConfigParts& answer, PartMap parts) {
  EncodedConfig config{answer.version, core::PlanId(answer.plan_id), {}};
  for (const std::string& hash : answer.part_hashes) {
    config.parts.push_back({hash, std::move(parts.at(hash))});
  }
  return config;
}

/** Receives messages until all parts are complete. */
core::Task<EncodedConfig> ReceiveConfig(std::shared_ptr<link::Call> call,
                                        PartMap parts) {
  while (true) {
    const gen::Message message = co_await call->Receive(kReceiveTimeout);
    if (!message.__isset.config_parts) {
      throw core::Error(
          ErrorCode::kInternal,
          "config pull: unexpected message " + link::KindOf(message));
    }
    const gen::ConfigParts& answer = message.config_parts;
    for (const gen::ConfigPart& part : answer.parts) {
      parts.insert_or_assign(part.hash, part.data);
    }
    if (Complete(answer, parts)) {
      co_return Assemble(answer, std::move(parts));
    }
    if (answer.parts.empty()) {
      throw core::Error(ErrorCode::kAnswerCut,
                        "config pull: the peer did not send all parts");
    }
  }
}

gen::Message AnswerMessage(const EncodedConfig& config) {
  gen::ConfigParts answer;
  answer.version = config.version;
  answer.plan_id = config.plan.value();
  answer.part_hashes = HashesOf(config);
  gen::Message message;
  message.__set_config_parts(answer);
  return message;
}

}  // namespace

struct ConfigPuller::State : std::enable_shared_from_this<State> {
  State(const core::Executor& own_executor, ConfigHolder& own_holder,
        PartCache& own_parts, const core::Logger& own_log)
      : executor(own_executor),
        holder(own_holder),
        parts(own_parts),
        log(own_log) {}

  /** Starts a pull unless one is running. Called for every frame of a peer
   * with a newer version. */
  void OnNewerVersion(const std::shared_ptr<link::Link>& link) {
    if (IsPaused(link->peer().vm) || !Begin(link)) return;
    core::Spawn(executor, log, "config_pull",
                [self = shared_from_this(), link] { return Run(self, link); });
  }

  // After a failure only the failed peer is paused, so that one broken peer
  // can't keep this process on an old version while many peers have a newer
  // one: frames arrive at heartbeat intervals, so after a pause for all peers
  // the broken one could be the first again each time.
  static core::Task<> Run(std::shared_ptr<State> self,
                          std::shared_ptr<link::Link> link) {
    std::string failure;
    try {
      co_await Pull(self, link);
    } catch (const std::exception& e) {
      failure = e.what();
    }
    const core::VmId peer = link->peer().vm;
    if (!failure.empty()) self->SetPaused(peer, true);
    self->End();
    if (failure.empty()) co_return;
    self->log.Event(LogLevel::kWarning, LogCategory::kConfig,
                    "config_pull_failed", {{"peer", peer}, {"error", failure}});
    co_await core::SleepFor(kPauseAfterFailure);
    self->SetPaused(peer, false);
  }

  /** @return True if a pull may start; otherwise the peer is pulled from when
   * the running pull has ended. */
  bool Begin(const std::shared_ptr<link::Link>& link) {
    const std::lock_guard lock(mutex);
    if (pulling) {
      next_link = link;
      return false;
    }
    pulling = true;
    return true;
  }

  // Starts the next pull if a peer announced a newer version during this one:
  // the peer announces it once, so this process would otherwise stay behind
  // until the peer sends its next frame.
  void End() {
    std::shared_ptr<link::Link> again;
    {
      const std::lock_guard lock(mutex);
      pulling = false;
      again = std::exchange(next_link, nullptr);
    }
    if (again == nullptr || again->lost()) return;
    if (again->peer().config_version > holder.version()) OnNewerVersion(again);
  }

  bool IsPaused(const core::VmId& peer) {
    const std::lock_guard lock(mutex);
    return paused.contains(peer);
  }

  void SetPaused(const core::VmId& peer, bool pause) {
    const std::lock_guard lock(mutex);
    if (pause) {
      paused.insert(peer);
    } else {
      paused.erase(peer);
    }
  }

  static core::Task<> Pull(std::shared_ptr<State> self,
                           std::shared_ptr<link::Link> link) {
    const std::shared_ptr<const EncodedConfig> have = self->parts.Current();
    const std::shared_ptr<link::Call> call =
        co_await link->Open(PullMessage(have.get()));
    EncodedConfig config = co_await ReceiveConfig(call, LocalParts(have.get()));
    const std::int64_t version = config.version;
    if (!self->parts.Adopt(std::move(config))) co_return;
    self->log.Event(
        LogLevel::kInfo, LogCategory::kConfig, "config_adopted",
        {{"version", version}, {"source", "link"}, {"peer", link->peer().vm}});
  }

  core::Executor executor;
  ConfigHolder& holder;
  PartCache& parts;
  const core::Logger& log;
  std::mutex mutex;
  bool pulling = false;
  /** The last peer that announced a newer version during a pull. */
  std::shared_ptr<link::Link> next_link;
  /** Peers that are paused after a failed pull. */
  std::set<core::VmId> paused;
};

ConfigPuller::ConfigPuller(const core::Executor& executor, ConfigHolder& holder,
                           PartCache& parts, const core::Logger& log)
    : state_(std::make_shared<State>(executor, holder, parts, log)) {}

ConfigPuller::~ConfigPuller() = default;

link::VersionHooks ConfigPuller::Hooks() {
  link::VersionHooks hooks;
  hooks.current = [state = state_] { return state->holder.version(); };
  hooks.on_newer_version = [state = state_](
                               const std::shared_ptr<link::Link>& link,
                               std::int64_t) { state->OnNewerVersion(link); };
  return hooks;
}

core::Task<> ConfigPuller::Serve(std::shared_ptr<link::Call> call,
                                 gen::ConfigPull request) {
  const std::shared_ptr<const EncodedConfig> config = state_->parts.Current();
  if (!config) {
    throw core::Error(ErrorCode::kNotConfigured, "nothing is in force here");
  }
  const std::set<std::string> have(request.have_parts.begin(),
                                   request.have_parts.end());
  gen::Message message = AnswerMessage(*config);
  if (request.have_version >= config->version) {
    co_await call->Send(std::move(message));
    co_return;
  }
  std::size_t bytes = 0;
  for (const Part& part : config->parts) {
    if (have.contains(part.hash)) continue;
    if (bytes > 0 && bytes + part.data.size() > kMessageBytes) {
      co_await call->Send(message);
      message.config_parts.parts.clear();
      bytes = 0;
    }
    gen::ConfigPart piece;
    piece.hash = part.hash;
    piece.data = part.data;
    message.config_parts.parts.push_back(std::move(piece));
    bytes += part.data.size();
  }
  co_await call->Send(std::move(message));
}

}  // namespace sapphire::contract

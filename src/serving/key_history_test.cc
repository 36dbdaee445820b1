/** @file key_history_test.cc Checks what engines are told of a request's
 * organisation under seeded random histories of its key. */
#define BOOST_TEST_MODULE key_history
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::kDrafts;
using testing::kPlain;
using testing::RecordingWriter;
using testing::Rig;

/** Number of seeds unless KEY_HISTORY_SEEDS sets another one; the first is 0
 * unless KEY_HISTORY_FIRST does. */
constexpr std::size_t kSeeds = 300;
/** Descriptors that one history may use. */
constexpr std::size_t kDescriptors = 24;
constexpr milliseconds kWait{2500};
/** Requests wait 600 ms for a first byte before they are hedged. */
constexpr milliseconds kObjective{50};
constexpr milliseconds kStep{100};
constexpr std::size_t kPauses = 17;
constexpr int kUnauthorised = 401;

/** A configuration as far as it concerns the request. */
struct Keys {
  bool organisations = true;
  /** Organisation that has the key; empty if none. */
  std::string holder = "reels-ltd";
  bool is_public = false;
  bool is_dropped = false;
};

/** Counts of a run, which show whether the histories contain the faults. */
struct Counts {
  int sends = 0;
  int sends_after_change = 0;
  int changes_while_sent = 0;
  int hedges_sent = 0;
  int hedges_skipped = 0;
  int retries = 0;
  /** Seeds by which an engine was told what no configuration says, and by which
   * it was told what the one in force does not say. */
  std::vector<std::uint64_t> wrong_at_engine;
  std::vector<std::uint64_t> wrong_when_sent;
  /** Seeds by which a caller was denied against all configurations. */
  std::vector<std::uint64_t> wrongly_denied;
};

/** One request with two or three engines, while its key changes hands. */
class History {
 public:
  History(std::uint64_t seed, int log_fd, Counts& counts)
      : random_(seed), counts_(counts), rig_(core::LogLevel::kInfo, log_fd) {
    is_stream_ = Below(4) != 0;
    Keys first;
    first.organisations = Below(8) != 0;
    first.is_public = Below(8) == 0;
    if (first.is_public && Below(2) == 0) first.holder.clear();
    rig_.key = "k2";
    rig_.objective = kObjective;
    Adopt(first);
    rig_.engine_wire.composed = [this](const SendOptions& send) {
      CheckSend(send);
    };
    const std::size_t engines = 2 + Below(2);
    for (std::size_t i = 0; i < engines; ++i) {
      const std::size_t kind = Below(4);
      rig_.AddEngine(
          is_stream_ ? kDrafts : kPlain,
          [this, kind, pause = Pause()](const auto& request, auto& writer) {
            return Handle(kind, pause, request, writer);
          });
    }
    const std::size_t changes = 1 + Below(3);
    for (std::size_t i = 0; i < changes; ++i) pauses_.push_back(Pause() / 2);
    entry::testing::StartTask(rig_.io, rig_.ServeTask(Prefix(), kWait, caller_),
                              served_);
    entry::testing::StartTask(rig_.io, Change(), changed_);
  }

  /** Does what is due. @return True if the request is over. */
  bool Poll() {
    rig_.io.poll();
    return served_.value || served_.failure;
  }
  [[nodiscard]] bool wrong_at_engine() const { return wrong_at_engine_; }
  [[nodiscard]] bool wrong_when_sent() const { return wrong_when_sent_; }
  /** @return True if the caller was denied although each configuration since
   * the arrival allows the request. */
  [[nodiscard]] bool wrongly_denied() const {
    const auto denies = [this](const Keys& it) {
      return it.organisations && it.holder.empty() && !NeedsNoKey(it);
    };
    return caller_.status == kUnauthorised &&
           std::ranges::none_of(keys_, denies);
  }

 private:
  std::size_t Below(std::size_t bound) { return random_() % bound; }
  milliseconds Pause() {
    return kStep * static_cast<milliseconds::rep>(Below(kPauses));
  }
  [[nodiscard]] std::string Prefix() const {
    return is_stream_ ? "/stream/" : "/safe/";
  }

  void Adopt(const Keys& keys) {
    keys_.push_back(keys);
    rig_.organisations.reset();
    if (keys.organisations) {
      organisation::Organisation organisation;
      organisation.id = core::OrganisationId(keys.holder.empty() ? "drafts-ltd"
                                                                 : keys.holder);
      organisation.keys.emplace_back(keys.holder.empty() ? "k1" : "k2");
      rig_.organisations = {organisation};
    }
    rig_.public_prefix = keys.is_public ? Prefix() : "";
    rig_.lacks_routes = keys.is_dropped;
    rig_.Configure(3);
  }

  core::Task<bool> Change() {
    for (const milliseconds pause : pauses_) {
      co_await core::SleepFor(pause);
      Keys next = keys_.back();
      switch (Below(8)) {
        case 0:
          next.organisations = !next.organisations;
          break;
        case 1:
          next.is_public = !next.is_public;
          break;
        case 2:
          next.is_dropped = !next.is_dropped;
          break;
        case 3:
          next.holder = "clips-ltd";
          break;
        case 4:
          next.holder = "reels-ltd";
          break;
        default:
          next.holder.clear();
      }
      if (running_ > 0) ++counts_.changes_while_sent;
      Adopt(next);
    }
    co_return true;
  }

  /** @return True if the request may be sent so by this configuration: by its
   * key, or without one if the route is public, as it was at the arrival. */
  [[nodiscard]] bool Says(const Keys& keys, const std::string& name,
                          bool passes_key) const {
    const Keys& first = keys_.front();
    if (!keys.organisations) {
      return name.empty() && passes_key && !first.organisations;
    }
    if (passes_key) return false;
    if (!keys.holder.empty()) return name == keys.holder;
    return name.empty() && NeedsNoKey(keys);
  }

  [[nodiscard]] bool NeedsNoKey(const Keys& keys) const {
    return keys_.front().is_public && keys.is_public && !keys.is_dropped;
  }

  [[nodiscard]] bool AnySays(const std::string& name, bool passes_key) const {
    return std::ranges::any_of(
        keys_, [&](const Keys& it) { return Says(it, name, passes_key); });
  }

  void CheckSend(const SendOptions& send) {
    ++counts_.sends;
    if (keys_.size() > 1) ++counts_.sends_after_change;
    const bool is_right =
        Says(keys_.back(), send.organisation.value(), send.pass_credentials);
    if (!is_right) wrong_when_sent_ = true;
  }

  core::Task<> Handle(std::size_t kind, milliseconds pause,
                      const http::Request& request,
                      http::ResponseWriter& writer) {
    const auto field = [&request](std::string_view name) {
      return std::string(http::FindHeader(request.headers, name).value_or(""));
    };
    if (!AnySays(field("organisation"), !field("credentials").empty())) {
      wrong_at_engine_ = true;
    }
    ++running_;
    http::ResponseHead head;
    head.headers = {{"genuine", "1"}, {"id", field("id")}};
    const bool begins = kind == 0 && is_stream_;
    if (begins) {
      co_await writer.Begin(head);
      co_await writer.Write("id: 1\ndata: a\n\n");
    }
    co_await core::SleepFor(pause);
    --running_;
    if (begins || kind == 1) throw http::ConnectionCut("test");
    if (kind == 2) {
      http::Response refusal = http::MakeResponse(503, "text/plain", "");
      head.status = 503;
      head.headers.push_back({"not-run", "1"});
      refusal.head = head;
      co_await writer.Send(std::move(refusal));
      co_return;
    }
    co_await writer.Begin(head);
    co_await writer.Write("id: 2\ndata: b\n\n");
    co_await writer.End();
  }

  std::mt19937_64 random_;
  Counts& counts_;
  bool is_stream_ = true;
  std::vector<milliseconds> pauses_;
  /** All configurations since the request came, the latest last. */
  std::vector<Keys> keys_;
  /** Engines that have the request. */
  int running_ = 0;
  bool wrong_at_engine_ = false;
  bool wrong_when_sent_ = false;
  RecordingWriter caller_;
  entry::testing::Outcome<bool> served_;
  entry::testing::Outcome<bool> changed_;
  Rig rig_;
};

std::size_t SettingOr(const char* name, std::size_t usual) {
  const char* const text = std::getenv(name);
  return text == nullptr ? usual : std::stoul(text);
}

/** @return Number of histories that the limit of descriptors allows at once. */
std::size_t HistoriesAtOnce() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return std::clamp<std::size_t>(limit.rlim_cur / kDescriptors, 1, kSeeds);
}

void RunHistories(std::uint64_t first, std::uint64_t end, int log_fd,
                  Counts& counts) {
  std::vector<std::unique_ptr<History>> histories;
  for (std::uint64_t seed = first; seed < end; ++seed) {
    histories.push_back(std::make_unique<History>(seed, log_fd, counts));
  }
  bool over = false;
  while (!over) {
    over = true;
    for (const auto& it : histories) over = it->Poll() && over;
    std::this_thread::sleep_for(milliseconds(1));
  }
  for (std::size_t i = 0; i < histories.size(); ++i) {
    const History& it = *histories[i];
    if (it.wrong_at_engine()) counts.wrong_at_engine.push_back(first + i);
    if (it.wrong_when_sent()) counts.wrong_when_sent.push_back(first + i);
    if (it.wrongly_denied()) counts.wrongly_denied.push_back(first + i);
  }
}

void CountLines(int log_fd, Counts& counts) {
  std::ifstream lines("/proc/self/fd/" + std::to_string(log_fd));
  for (std::string line; std::getline(lines, line);) {
    const auto has = [&line](const char* text) {
      return line.find(text) != std::string::npos ? 1 : 0;
    };
    counts.hedges_sent += has("hedge_sent");
    counts.hedges_skipped += has("hedge_skipped");
    counts.retries += has("retry=granted");
  }
}

}  // namespace

/** Guards against engines that are told another organisation than the key's, or
 * none, or the key itself, while the key changes hands. The real clock runs, so
 * a seed fixes what is drawn and not how it interleaves. */
BOOST_AUTO_TEST_CASE(EnginesAreToldTheOrganisationOfTheKey) {
  const std::size_t first = SettingOr("KEY_HISTORY_FIRST", 0);
  const std::size_t end = first + SettingOr("KEY_HISTORY_SEEDS", kSeeds);
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> log(std::tmpfile(),
                                                            &std::fclose);
  Counts counts;
  const std::size_t at_once = HistoriesAtOnce();
  for (std::size_t seed = first; seed < end; seed += at_once) {
    RunHistories(seed, std::min(seed + at_once, end), fileno(log.get()),
                 counts);
  }
  CountLines(fileno(log.get()), counts);
  std::cout << "seeds " << end - first << ", sends " << counts.sends
            << ", of these after a change " << counts.sends_after_change
            << ", changes while sent " << counts.changes_while_sent
            << ", hedges sent " << counts.hedges_sent << ", skipped "
            << counts.hedges_skipped << ", retries " << counts.retries
            << "; wrong at an engine " << counts.wrong_at_engine.size()
            << ", as sent " << counts.wrong_when_sent.size()
            << ", wrongly denied " << counts.wrongly_denied.size() << std::endl;
  for (const std::uint64_t seed : counts.wrong_when_sent) {
    BOOST_TEST_MESSAGE("wrong as sent: seed " << seed);
  }
  BOOST_TEST(counts.wrong_at_engine.empty());
  BOOST_TEST(counts.wrong_when_sent.empty());
  BOOST_TEST(counts.wrongly_denied.empty());
  if (end - first < kSeeds) return;
  BOOST_TEST(counts.sends_after_change > 0);
  BOOST_TEST(counts.changes_while_sent > 0);
  BOOST_TEST(counts.hedges_sent > 0);
  BOOST_TEST(counts.hedges_skipped > 0);
  BOOST_TEST(counts.retries > 0);
}

}  // namespace sapphire::serving

/** @file soak_judge.cc Checks the record of a soak for violated
 * guarantees. */
#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "soak_identity_func.h"
#include "soak_judge_func.h"

namespace sapphire::deploy::soak {

namespace {

/** Checks with a time limit apply again this long after a disturbance. */
constexpr milliseconds kSettled{3000};
/** An engine that drains or is deregistered gets no new requests after this. */
constexpr milliseconds kDrainLimit{2000};
/** Minimum time between orders of two different holders to one engine. */
constexpr milliseconds kTurnGap{3000};
/** A run ends within this time after its caller has disconnected. */
constexpr milliseconds kLeaveLimit{1000};
/** Maximum number of crashes by deadly requests. Two crashes are needed to
 * identify a deadly request; more may already be under way then. */
constexpr int kDeadlyLimit = 6;
constexpr int kUnauthorised = 401;
constexpr int kOverQuota = 429;

bool Overlaps(const std::vector<Disturbance>& times, core::SteadyTime from,
              core::SteadyTime to) {
  return std::ranges::any_of(times, [&](const Disturbance& it) {
    return it.from <= to && from <= it.to + kSettled;
  });
}

class Judgement {
 public:
  Judgement(const SoakRecord& record, double served_at_end)
      : record_(record), served_at_end_(served_at_end) {}

  std::vector<std::string> Give() {
    for (const Attempt& it : record_.attempts) JudgeAttempt(it);
    JudgeOrders();
    JudgeDrainings();
    JudgeKeys();
    JudgeQuota();
    JudgeEnd();
    for (const std::string& it : record_.misattributed) {
      Blame("ran for another organisation or with the caller's credentials",
            it);
    }
    for (const std::string& it : record_.overfull) {
      Blame("loaded more models than fit into memory", it);
    }
    for (const std::string& it : record_.ended_alone) {
      Blame("process exited unexpectedly", it);
    }
    if (record_.deadly_crashes > kDeadlyLimit) {
      Blame("deadly requests crashed too many engines",
            fmt::format("{} crashes, limit {}", record_.deadly_crashes,
                        kDeadlyLimit));
    }
    return std::move(broken_);
  }

 private:
  void Blame(std::string_view promise, const std::string& what) {
    broken_.push_back(fmt::format("{}: {}", promise, what));
  }

  [[nodiscard]] bool EntryDisturbed(const Attempt& attempt) const {
    const auto it = record_.entry_disturbed.find(attempt.entry);
    return it != record_.entry_disturbed.end() &&
           Overlaps(it->second, attempt.sent, attempt.ended);
  }

  void JudgeAttempt(const Attempt& attempt) {
    const auto found = record_.runs.find(attempt.id);
    const std::size_t runs =
        found == record_.runs.end() ? 0 : found->second.size();
    if (attempt.kind == routing::RequestKind::kNonIdempotent && runs > 1) {
      Blame("non-idempotent request ran more than once", attempt.id);
    }
    if (attempt.end == AttemptEnd::kRefused && runs > 0) {
      Blame("refused as not run, but it ran", attempt.id);
    }
    if (attempt.spoiled) Blame("incomplete or corrupt answer", attempt.id);
    if (attempt.end == AttemptEnd::kSilent && !EntryDisturbed(attempt)) {
      Blame("no answer in time", attempt.id);
    }
    if (attempt.end == AttemptEnd::kLeft && !EntryDisturbed(attempt) &&
        runs > 0) {
      JudgeLeft(attempt, found->second.back());
    }
  }

  void JudgeLeft(const Attempt& attempt, const Run& run) {
    const bool late = run.over && run.ended > attempt.ended + kLeaveLimit;
    if (late) Blame("ran on after its caller had disconnected", attempt.id);
  }

  /** Checks that each engine has one holder at a time and that its fence never
   * decreases. Orders of two holders have to be kTurnGap apart, as operators
   * require. */
  void JudgeOrders() {
    std::map<std::string, SeenOrder> newest;
    for (const SeenOrder& it : record_.orders) {
      const auto [last, first] = newest.try_emplace(it.instance, it);
      if (first) continue;
      const bool by_turns = last->second.holder != it.holder &&
                            it.at - last->second.at < kTurnGap;
      if (by_turns || it.fence < last->second.fence) {
        Blame("orders of two holders or with a lower fence", it.instance);
      }
      last->second = it;
    }
  }

  void JudgeDrainings() {
    for (const Draining& draining : record_.drainings) {
      for (const Attempt& attempt : record_.attempts) {
        if (EntryDisturbed(attempt)) continue;
        JudgeDrained(attempt, draining, LimitFor(attempt.entry, draining.at));
      }
    }
  }

  /** @return The time by which an entry has to know that an engine left or a
   * key was revoked at `left_at`: kDrainLimit later, or kSettled after the end
   * of the store disturbances that overlap this time. */
  [[nodiscard]] core::SteadyTime LimitFor(int entry,
                                          core::SteadyTime left_at) const {
    std::vector<Disturbance> amiss = record_.store_disturbed;
    const auto own = record_.store_out_of_reach.find(entry);
    if (own != record_.store_out_of_reach.end()) {
      amiss.insert(amiss.end(), own->second.begin(), own->second.end());
    }
    std::ranges::sort(amiss, {}, &Disturbance::from);
    core::SteadyTime limit = left_at + kDrainLimit;
    for (const Disturbance& it : amiss) {
      const core::SteadyTime settled = it.to + kSettled;
      if (it.from <= limit && settled > left_at) {
        limit = std::max(limit, settled);
      }
    }
    return limit;
  }

  void JudgeDrained(const Attempt& attempt, const Draining& draining,
                    core::SteadyTime limit) {
    const auto runs = record_.runs.find(attempt.id);
    if (runs == record_.runs.end()) return;
    for (const Run& run : runs->second) {
      if (run.instance == draining.instance && run.began > limit) {
        Blame("sent to an engine that is leaving", attempt.id);
      }
    }
  }

  void JudgeKeys() {
    for (const Revocation& it : record_.revocations) {
      for (const Attempt& attempt : record_.attempts) {
        const core::SteadyTime limit = LimitFor(attempt.entry, it.at);
        if (attempt.sent <= limit || EntryDisturbed(attempt)) continue;
        const bool ran = record_.runs.contains(attempt.id);
        if (attempt.key == it.key && ran) {
          Blame("ran with a revoked key", attempt.id);
        }
        const bool revoked_later =
            std::ranges::any_of(record_.revocations, [&](const auto& other) {
              return other.key == it.next && other.at <= attempt.ended;
            });
        if (attempt.key == it.next && attempt.status == kUnauthorised &&
            !revoked_later) {
          Blame("rejected a valid key", attempt.id);
        }
      }
    }
  }

  /** Checks the quota in a sliding time window of the attempts that ran, by the
   * time they were sent. */
  void JudgeQuota() {
    if (record_.revocations.empty()) return;
    std::vector<core::SteadyTime> sent;
    for (const Attempt& it : record_.attempts) {
      const bool limited = OrganisationOf(std::stoi(it.id)) == kLimited;
      if (limited && record_.runs.contains(it.id)) sent.push_back(it.sent);
    }
    std::ranges::sort(sent);
    const double bound = (kLimitPerSecond * kQuotaWindowSeconds + kLimitBurst) *
                             (1 + kQuotaExcess) +
                         kQuotaSlack;
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
      while (sent[first] + std::chrono::seconds(kQuotaWindowSeconds) <
             sent[i]) {
        ++first;
      }
      most = std::max(most, i - first + 1);
    }
    if (static_cast<double>(most) > bound) {
      Blame("quota exceeded",
            fmt::format("{} requests in a window, limit {}", most, bound));
    }
  }

  void JudgeEnd() {
    int sent = 0;
    int served = 0;
    for (const Attempt& it : record_.attempts) {
      if (it.sent < record_.quiet_from + kSettled) continue;
      if (it.end == AttemptEnd::kLeft) continue;
      if (it.status == kUnauthorised || it.status == kOverQuota) continue;
      ++sent;
      if (it.end == AttemptEnd::kServed) ++served;
    }
    if (sent == 0 || served < served_at_end_ * sent) {
      Blame("did not recover after the faults",
            fmt::format("{} of {} served", served, sent));
    }
  }

  const SoakRecord& record_;
  const double served_at_end_;
  std::vector<std::string> broken_;
};

}  // namespace

std::vector<std::string> Judge(const SoakRecord& record, double served_at_end) {
  return Judgement(record, served_at_end).Give();
}

std::string Summary(const SoakRecord& record) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "served", "refused", "failed", "broken", "silent", "left"};
  std::array<int, kNames.size()> counts{};
  for (const Attempt& it : record.attempts) {
    ++counts.at(static_cast<std::size_t>(it.end));
  }
  std::string text = fmt::format("attempts={}", record.attempts.size());
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    text += fmt::format(" {}={}", kNames.at(i), counts.at(i));
  }
  return text + fmt::format(" orders={} deadly_crashes={}",
                            record.orders.size(), record.deadly_crashes);
}

}  // namespace sapphire::deploy::soak

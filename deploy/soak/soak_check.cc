/** @file soak_check.cc Checks the record of a soak for violated
 * guarantees. */
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

#include "soak_check_func.h"
#include "soak_identity_func.h"

namespace sapphire::deploy::soak {

namespace {

/** Checks with a time limit apply again this long after a disturbance. */
constexpr milliseconds kSettleTime{3000};
/** A new configuration is in force this long after the store has acknowledged
 * it; after that, an entry that can't know it refuses, but does not deny. */
constexpr milliseconds kInForceLimit{2000};
/** An engine that drains or is deregistered gets no new requests after this. */
constexpr milliseconds kDepartureLimit{2000};
/** Time from which on an engine that has asked for rest gets at most
 * kMaxRequestsInRest requests until the end of its rest. */
constexpr milliseconds kRestLatency{500};
constexpr int kMaxRequestsInRest = 2;
/** Minimum time between orders of two different holders to one engine. */
constexpr milliseconds kMinHolderGap{3000};
/** A run ends within this time after its caller has disconnected. */
constexpr milliseconds kCancelLimit{1000};
/** Maximum number of crashes by deadly requests. Two crashes are needed to
 * identify a deadly request; more may already be under way then. */
constexpr int kMaxDeadlyCrashes = 6;
/** After so many crashes by one prompt part and kSettleTime, no more than
 * kMaxLaterSends requests with it may reach engines. */
constexpr std::size_t kCrashesToKnow = 5;
constexpr int kMaxLaterSends = 3;
/** From 2 * kSettleTime after these crashes on, requests without the part begin
 * at least this share as often as without faults, if there are enough. */
constexpr double kMinSoundShare = 0.5;
constexpr int kMinSoundRequests = 20;
constexpr int kUnauthorised = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kOverQuota = 429;

bool Overlaps(const std::vector<Disturbance>& times, core::SteadyTime from,
              core::SteadyTime to) {
  return std::ranges::any_of(times, [&](const Disturbance& it) {
    return it.from <= to && from <= it.to + kSettleTime;
  });
}

class RecordChecker {
 public:
  RecordChecker(const SoakRecord& record, double min_served_share)
      : record_(record), min_served_share_(min_served_share) {}

  std::vector<std::string> Check() {
    for (const Attempt& it : record_.attempts) {
      CheckAttempt(it);
      CheckDenial(it);
    }
    CheckOrders();
    CheckDepartures();
    CheckNotices();
    CheckKeys();
    CheckQuota();
    CheckRecovery();
    CheckCrashingPart();
    for (const std::string& it : record_.joined_versions) {
      AddViolation("events of two software versions in one stream", it);
    }
    for (const std::string& it : record_.credentials_passed_on) {
      AddViolation("the caller's credentials were passed on", it);
    }
    for (const std::string& it : record_.over_memory) {
      AddViolation("loaded more models than fit into memory", it);
    }
    for (const std::string& it : record_.unexpected_exits) {
      AddViolation("process exited unexpectedly", it);
    }
    if (record_.deadly_crashes > kMaxDeadlyCrashes) {
      AddViolation("deadly requests crashed too many engines",
                   fmt::format("{} crashes, limit {}", record_.deadly_crashes,
                               kMaxDeadlyCrashes));
    }
    return std::move(violations_);
  }

 private:
  void AddViolation(std::string_view guarantee, const std::string& detail) {
    violations_.push_back(fmt::format("{}: {}", guarantee, detail));
  }

  using Disturbances = std::map<int, std::vector<Disturbance>>;

  static bool EntryIsIn(const Disturbances& times, const Attempt& attempt) {
    const auto it = times.find(attempt.entry);
    return it != times.end() &&
           Overlaps(it->second, attempt.sent, attempt.ended);
  }

  /** An entry can't cancel a run at a silent engine, for example. */
  [[nodiscard]] bool EntryDisturbed(const Attempt& attempt) const {
    return EntryIsIn(record_.entry_disturbed, attempt) ||
           EngineWasSilent(attempt.sent, attempt.ended);
  }

  [[nodiscard]] bool EngineWasSilent(core::SteadyTime from,
                                     core::SteadyTime to) const {
    return std::ranges::any_of(record_.engine_silences, [&](const auto& it) {
      return Overlaps({it.time}, from, to);
    });
  }

  /** @return False if the entry was about to stop, or could not reach the
   * store: it then refuses requests for reasons of its own. */
  [[nodiscard]] bool EntryTakesRequests(const Attempt& attempt) const {
    return !EntryDisturbed(attempt) &&
           !EntryIsIn(record_.entry_stopping, attempt) &&
           !EntryIsIn(record_.store_unreachable, attempt) &&
           !Overlaps(record_.store_disturbed, attempt.sent, attempt.ended);
  }

  void CheckAttempt(const Attempt& attempt) {
    const auto found = record_.runs.find(attempt.id);
    const std::size_t runs =
        found == record_.runs.end() ? 0 : found->second.size();
    if (attempt.kind == routing::RequestKind::kNonIdempotent && runs > 1) {
      AddViolation("non-idempotent request ran more than once", attempt.id);
    }
    if (attempt.end == AttemptEnd::kRefused && runs > 0) {
      AddViolation("refused as not run, but it ran", attempt.id);
    }
    if (attempt.corrupt) {
      AddViolation("incomplete or corrupt answer", attempt.id);
    }
    if (attempt.end == AttemptEnd::kTimedOut && !EntryDisturbed(attempt)) {
      AddViolation("no answer in time", attempt.id);
    }
    if (attempt.end == AttemptEnd::kCancelled && !EntryDisturbed(attempt) &&
        runs > 0) {
      CheckCancelled(attempt, found->second.back());
    }
  }

  /** Checks that paths with a route are never denied, whatever state the entry
   * is in, and that others are always denied or refused. */
  void CheckDenial(const Attempt& attempt) {
    if (!attempt.route_since) {
      const bool was_denied =
          attempt.status == kNotFound || attempt.status == kUnavailable;
      const bool answered = attempt.status != 0;
      if ((answered && !was_denied) || record_.runs.contains(attempt.id)) {
        AddViolation("a path without a route was not denied",
                     fmt::format("{} got {}", attempt.id, attempt.status));
      }
      return;
    }
    const bool denied = attempt.status == kUnauthorised ||
                        attempt.status == kForbidden ||
                        attempt.status == kNotFound;
    if (!denied || attempt.sent <= *attempt.route_since + kInForceLimit ||
        !KeyIsValid(attempt)) {
      return;
    }
    AddViolation("a request for an existing route was denied",
                 fmt::format("{} got {} from entry {}", attempt.id,
                             attempt.status, attempt.entry));
  }

  /** @return True if every version that may be in force knows the key. */
  [[nodiscard]] bool KeyIsValid(const Attempt& attempt) const {
    if (attempt.key.empty()) return true;
    const auto holders = HoldersOf(
        attempt, attempt.ended,
        [](core::SteadyTime changed_at) { return changed_at + kInForceLimit; });
    return !holders.contains("");
  }

  /** @return The organisations that hold the attempt's key by a configuration
   * that was in force between its start and `end`; "" for none.
   * @param deadline Returns when a change has to be in force, by its time. */
  template <typename Deadline>
  [[nodiscard]] std::set<std::string> HoldersOf(
      const Attempt& attempt, core::SteadyTime end,
      const Deadline& deadline) const {
    std::set<std::string> holders{""};
    for (const KeyChange& it : record_.key_changes) {
      if (it.key != attempt.key || it.at > end) continue;
      if (attempt.sent > deadline(it.at)) holders.clear();
      holders.insert(it.holder);
    }
    return holders;
  }

  /** As above, by the time in which the attempt's entry has to follow. */
  [[nodiscard]] std::set<std::string> HoldersOf(const Attempt& attempt,
                                                core::SteadyTime end) const {
    const bool is_disturbed = EntryIsIn(record_.entry_disturbed, attempt);
    return HoldersOf(attempt, end, [&](core::SteadyTime changed_at) {
      return is_disturbed ? attempt.ended
                          : NoticeDeadline(attempt.entry, changed_at);
    });
  }

  void CheckCancelled(const Attempt& attempt, const Run& run) {
    const bool late = run.finished && run.ended > attempt.ended + kCancelLimit;
    if (late) {
      AddViolation("ran on after its caller had disconnected", attempt.id);
    }
  }

  /** Checks that each engine has one holder at a time and that its fence never
   * decreases. Orders of two holders have to be kMinHolderGap apart, as
   * operators require. */
  void CheckOrders() {
    std::map<std::string, ReceivedOrder> newest;
    for (const ReceivedOrder& it : record_.orders) {
      const auto [last, first] = newest.try_emplace(it.instance, it);
      if (first) continue;
      const bool by_turns = last->second.holder != it.holder &&
                            it.at - last->second.at < kMinHolderGap;
      if (by_turns || it.fence < last->second.fence) {
        AddViolation("orders of two holders or with a lower fence",
                     it.instance);
      }
      last->second = it;
    }
  }

  void CheckDepartures() {
    for (const EngineDeparture& departure : record_.engine_departures) {
      for (const Attempt& attempt : record_.attempts) {
        if (EntryDisturbed(attempt)) continue;
        CheckDeparture(attempt, departure,
                       NoticeDeadline(attempt.entry, departure.at));
      }
    }
  }

  /** @return The time by which an entry has to know that an engine left or a
   * key was revoked at `left_at`: kDepartureLimit later, or kSettleTime after
   * the end of the store disturbances that overlap this time. */
  [[nodiscard]] core::SteadyTime NoticeDeadline(
      int entry, core::SteadyTime left_at) const {
    std::vector<Disturbance> disturbances = record_.store_disturbed;
    const auto own = record_.store_unreachable.find(entry);
    if (own != record_.store_unreachable.end()) {
      disturbances.insert(disturbances.end(), own->second.begin(),
                          own->second.end());
    }
    std::ranges::sort(disturbances, {}, &Disturbance::from);
    core::SteadyTime limit = left_at + kDepartureLimit;
    for (const Disturbance& it : disturbances) {
      const core::SteadyTime settled = it.to + kSettleTime;
      if (it.from <= limit && settled > left_at) {
        limit = std::max(limit, settled);
      }
    }
    return limit;
  }

  void CheckDeparture(const Attempt& attempt, const EngineDeparture& departure,
                      core::SteadyTime limit) {
    const auto runs = record_.runs.find(attempt.id);
    if (runs == record_.runs.end()) return;
    for (const Run& run : runs->second) {
      if (run.instance == departure.instance && run.began > limit) {
        AddViolation("sent to an engine that is leaving", attempt.id);
      }
    }
  }

  /** A request that reached an engine. */
  struct Arrival {
    const Attempt* attempt = nullptr;
    core::SteadyTime at;
  };

  /** @return The requests that reached each engine, by instance. */
  [[nodiscard]] std::map<std::string, std::vector<Arrival>> Arrivals() const {
    std::map<std::string, const Attempt*> attempts;
    for (const Attempt& it : record_.attempts) attempts[it.id] = &it;
    std::map<std::string, std::vector<Arrival>> arrivals;
    const auto add = [&](const std::string& id, const std::string& instance,
                         core::SteadyTime at) {
      const auto it = attempts.find(id);
      if (it != attempts.end()) arrivals[instance].push_back({it->second, at});
    };
    for (const auto& [id, runs] : record_.runs) {
      for (const Run& it : runs) add(id, it.instance, it.began);
    }
    for (const TurnedAway& it : record_.turned_away) {
      add(it.request, it.instance, it.at);
    }
    return arrivals;
  }

  /** @return True if the entry was restarted, paused or cut off from engines in
   * this time, so that it may not know what they said before. */
  [[nodiscard]] bool MayHaveForgotten(int entry, core::SteadyTime from,
                                      core::SteadyTime to) const {
    const auto is_in = [&](const Disturbances& times) {
      const auto it = times.find(entry);
      return it != times.end() && Overlaps(it->second, from, to);
    };
    return is_in(record_.entry_disturbed) || is_in(record_.entry_stopping) ||
           EngineWasSilent(from, to);
  }

  /** Checks that entries heed what engines have said of themselves. */
  void CheckNotices() {
    const auto arrivals = Arrivals();
    std::map<std::string, int> entry_of;
    for (const Attempt& it : record_.attempts) entry_of[it.id] = it.entry;
    for (const LeaveNotice& notice : record_.leave_notices) {
      const auto found = arrivals.find(notice.instance);
      if (found == arrivals.end()) continue;
      for (const Arrival& it : found->second) CheckLeave(notice, it);
    }
    for (const TurnedAway& it : record_.turned_away) {
      const auto entry = entry_of.find(it.request);
      if (entry == entry_of.end()) continue;
      CheckRest(it, entry->second, arrivals.at(it.instance));
    }
  }

  void CheckLeave(const LeaveNotice& notice, const Arrival& arrival) {
    const Attempt& attempt = *arrival.attempt;
    const bool is_late = attempt.entry == notice.entry &&
                         attempt.sent > notice.at + kDepartureLimit;
    if (!is_late || MayHaveForgotten(notice.entry, notice.at, arrival.at)) {
      return;
    }
    AddViolation("sent to an engine that had said that it leaves", attempt.id);
  }

  void CheckRest(const TurnedAway& turned_away, int entry,
                 const std::vector<Arrival>& arrivals) {
    const core::SteadyTime end = turned_away.at + turned_away.rest;
    if (MayHaveForgotten(entry, turned_away.at, end)) return;
    const auto n = std::ranges::count_if(arrivals, [&](const Arrival& it) {
      return it.attempt->entry == entry &&
             it.at > turned_away.at + kRestLatency && it.at < end;
    });
    if (n <= kMaxRequestsInRest) return;
    AddViolation("an engine got requests in the rest that it had asked for",
                 fmt::format("{} got {}", turned_away.instance, n));
  }

  void CheckKeys() {
    std::map<std::string, const Attempt*> attempts;
    for (const Attempt& it : record_.attempts) attempts[it.id] = &it;
    for (const NamedOrganisation& it : record_.organisations) {
      const auto found = attempts.find(it.request);
      if (found == attempts.end()) continue;
      const Attempt& attempt = *found->second;
      const bool is_right = it.organisation.empty() == attempt.key.empty() &&
                            HoldersOf(attempt, it.at).contains(it.organisation);
      if (is_right) continue;
      AddViolation("ran for an organisation that does not hold its key",
                   fmt::format("{} for \"{}\" with {}", attempt.id,
                               it.organisation, attempt.key));
    }
    for (const Attempt& it : record_.attempts) {
      const bool is_rejected = !it.key.empty() && it.status == kUnauthorised &&
                               !HoldersOf(it, it.ended).contains("");
      if (is_rejected) AddViolation("rejected a valid key", it.id);
    }
  }

  /** Checks the quota in a sliding time window of the attempts that ran, by the
   * time they were sent. */
  void CheckQuota() {
    if (record_.key_changes.empty()) return;
    std::vector<core::SteadyTime> sent;
    for (const Attempt& it : record_.attempts) {
      const bool limited =
          OrganisationOf(std::stoi(it.id)) == kLimitedOrganisation;
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
      AddViolation(
          "quota exceeded",
          fmt::format("{} requests in a window, limit {}", most, bound));
    }
  }

  void CheckRecovery() {
    int sent = 0;
    int served = 0;
    for (const Attempt& it : record_.attempts) {
      if (it.sent < record_.fault_free_from + kSettleTime) continue;
      if (it.end == AttemptEnd::kCancelled) continue;
      if (it.status == kUnauthorised || it.status == kOverQuota) continue;
      if (!it.route_since) continue;
      ++sent;
      if (it.end == AttemptEnd::kServed) ++served;
    }
    if (sent == 0 || served < min_served_share_ * sent) {
      AddViolation("did not recover after the faults",
                   fmt::format("{} of {} served", served, sent));
    }
  }

  /** @return The time of crash kCrashesToKnow; of the last one if there are
   * fewer. */
  [[nodiscard]] core::SteadyTime TimeOfLastNeededCrash() const {
    const std::size_t n = std::min(record_.part_crashes.size(), kCrashesToKnow);
    return record_.part_crashes[n - 1].second;
  }

  void CheckCrashingPart() {
    if (record_.part_crashes.empty()) return;
    const core::SteadyTime known = TimeOfLastNeededCrash();
    std::set<std::string> undisturbed;
    for (const Attempt& it : record_.attempts) {
      if (!EntryDisturbed(it)) undisturbed.insert(it.id);
    }
    const auto later =
        std::ranges::count_if(record_.part_crashes, [&](const auto& it) {
          return it.second > known + kSettleTime &&
                 undisturbed.contains(it.first);
        });
    if (later > kMaxLaterSends) {
      AddViolation(
          "a prompt part went on crashing engines",
          fmt::format("{} crashes, {} of them late, limit {}",
                      record_.part_crashes.size(), later, kMaxLaterSends));
    }
    CheckSoundRequests(known + 2 * kSettleTime);
  }

  /** Checks that requests which share their other parts with the crashing ones
   * are served while those still come. */
  void CheckSoundRequests(core::SteadyTime from) {
    int sent = 0;
    int begun = 0;
    int usually_sent = 0;
    int usually_begun = 0;
    for (const Attempt& it : record_.attempts) {
      const bool is_sound_stream =
          it.kind == routing::RequestKind::kStream && !it.crashes_engines &&
          it.end != AttemptEnd::kCancelled && EntryTakesRequests(it);
      if (!is_sound_stream) continue;
      const int has_begun = record_.runs.contains(it.id) ? 1 : 0;
      if (it.sent >= record_.fault_free_from + kSettleTime) {
        ++usually_sent;
        usually_begun += has_begun;
      } else if (it.sent >= from && it.sent < record_.fault_free_from) {
        ++sent;
        begun += has_begun;
      }
    }
    if (std::min(sent, usually_sent) < kMinSoundRequests) return;
    const double usual = static_cast<double>(usually_begun) / usually_sent;
    if (begun < kMinSoundShare * usual * sent) {
      AddViolation("requests beside a crashing prompt part did not begin",
                   fmt::format("{} of {}, usually {} of {}", begun, sent,
                               usually_begun, usually_sent));
    }
  }

  const SoakRecord& record_;
  const double min_served_share_;
  std::vector<std::string> violations_;
};

}  // namespace

std::vector<std::string> FindViolations(const SoakRecord& record,
                                        double min_served_share) {
  return RecordChecker(record, min_served_share).Check();
}

int CountSilentChanges(const SoakRecord& record, bool to_nobody) {
  const auto is_counted = [&](const Attempt& attempt) {
    const auto runs = record.runs.find(attempt.id);
    if (runs == record.runs.end()) return false;
    const Run& first = runs->second.front();
    const auto changes_in = [&](const EngineSilence& silence) {
      const auto from = std::max(silence.time.from, first.began);
      const auto to = std::min(silence.time.to, attempt.ended);
      return silence.instance == first.instance &&
             std::ranges::any_of(record.key_changes, [&](const KeyChange& it) {
               return it.key == attempt.key && from < it.at && it.at < to &&
                      it.holder.empty() == to_nobody;
             });
    };
    return std::ranges::any_of(record.engine_silences, changes_in);
  };
  return static_cast<int>(std::ranges::count_if(record.attempts, is_counted));
}

std::string Summary(const SoakRecord& record) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "served", "refused", "failed", "broken", "silent", "left"};
  std::array<int, kNames.size()> counts{};
  int to_added_routes = 0;
  int without_route = 0;
  for (const Attempt& it : record.attempts) {
    ++counts.at(static_cast<std::size_t>(it.end));
    if (!it.route_since) ++without_route;
    if (it.route_since > core::SteadyTime()) ++to_added_routes;
  }
  std::string text = fmt::format("attempts={}", record.attempts.size());
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    text += fmt::format(" {}={}", kNames.at(i), counts.at(i));
  }
  return text +
         fmt::format(
             " orders={} deadly_crashes={} part_crashes={} taken_up={} "
             "went_on={} leave_notices={} turned_away={} to_added_routes={} "
             "without_route={} silent_revoked={} silent_moved={} "
             "kills_of_all={} "
             "versions_lost={} rejoined={} not_rejoined={}",
             record.orders.size(), record.deadly_crashes,
             record.part_crashes.size(), record.taken_up, record.went_on,
             record.leave_notices.size(), record.turned_away.size(),
             to_added_routes, without_route, CountSilentChanges(record, true),
             CountSilentChanges(record, false),
             record.kills_of_all_entries.size(), record.versions_lost,
             record.rejoined, record.not_rejoined);
}

}  // namespace sapphire::deploy::soak

/** @file evidence_model_test.cc Draws histories of crashes at many entries and
 * compares ways to find their causes. */
#define BOOST_TEST_MODULE evidence_model
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "crash/evidence_func.h"

namespace sapphire::crash {

namespace {

using core::SteadyTime;

constexpr milliseconds kTick{25};
constexpr milliseconds kTrafficTime{20'000};
/** Time from a crash to its report by the entries that had requests there. */
constexpr milliseconds kReportTime{60};
/** An answer that has arrived for so long was not cut by its own request. */
constexpr milliseconds kAnswerTime{1000};
constexpr milliseconds kRestartTime{4000};
/** A request that may not be sent yet is refused after this wait. */
constexpr milliseconds kMaxWait{1000};
/** Time after which a part that has crashed engines must be known. */
constexpr milliseconds kTimeToKnow{3000};
constexpr int kCrashesToKnow = 5;
constexpr int kMaxLaterSends = 3;

/** The circumstances of one history. */
struct Circumstances {
  int entries = 5;
  int engines = 12;
  int culprits = 1;
  /** Share of the requests that have a culprit, in percent. */
  int crashing_percent = 30;
  /** Share of the engines that crash for other reasons, twice, in percent. */
  int unrelated_percent = 0;
  /** Requests of the shared first parts were served before. */
  bool was_served_before = true;
  /** Share of the reports that reach other entries only later, in percent. */
  int late_percent = 10;
};

struct Outcome {
  /** Of the culprit with the most: sends later than kTimeToKnow after its crash
   * kCrashesToKnow. */
  int later_sends = 0;
  /** Crashes by all culprits. */
  int crashes = 0;
  int sound = 0;
  int sound_refused = 0;
  /** Of the sound requests in the second half. */
  int sound_late = 0;
  int sound_refused_late = 0;
};

struct ModelRequest {
  int entry = 0;
  std::vector<Trait> traits;
  /** Number of the culprit that it has; negative: none. */
  int culprit = -1;
  SteadyTime arrived;
  int sends = 0;
  int engine = -1;
  SteadyTime begins;
  bool is_held = false;
};

/** Crashes by one culprit, and sends after it had to be known. */
struct Culprit {
  int crashes = 0;
  int later_sends = 0;
  /** Time of crash kCrashesToKnow. */
  std::optional<SteadyTime> known;
};

/** How an entry decides; one object holds the knowledge of one entry. */
class Way {
 public:
  virtual ~Way() = default;
  /** @return True if the request may be sent now. */
  virtual bool MaySend(const ModelRequest& request, SteadyTime now,
                       const RankFunction& rank_of) = 0;
  virtual void OnCrash(const CrashReport& report) {
    AddCrash(evidence, report);
  }
  virtual void OnSurvival(const Survival& survival) {
    AddSurvival(evidence, survival);
  }
  virtual bool IsOneAtATime() const = 0;

  CrashEvidence evidence;
};

/** Refuses a part that was in three crashes and never survived. */
class CountingWay final : public Way {
 public:
  bool MaySend(const ModelRequest& request, SteadyTime /*now*/,
               const RankFunction& /*rank_of*/) override {
    constexpr std::size_t kCrashesToRefuse = 3;
    return std::ranges::none_of(request.traits, [this](const Trait& it) {
      const auto found = evidence.crashes_of.find(it);
      return found != evidence.crashes_of.end() &&
             found->second.size() >= kCrashesToRefuse &&
             !evidence.survivals.contains(it);
    });
  }
  bool IsOneAtATime() const override { return false; }
};

/** The product's way: trials, one at a time, with growing pauses. */
class TrialWay final : public Way {
 public:
  bool MaySend(const ModelRequest& request, SteadyTime now,
               const RankFunction& rank_of) override {
    const Assessment found = Assess(evidence, request.traits, now, rank_of);
    return !found.is_suspect || found.wait == milliseconds(0);
  }
  bool IsOneAtATime() const override { return true; }
};

/** News on its way to one entry. */
struct News {
  SteadyTime at;
  int entry = 0;
  std::optional<CrashReport> crash;
  std::optional<Survival> survival;
};

class Model {
 public:
  template <typename SomeWay>
  static Outcome Play(std::uint64_t seed, const Circumstances& circumstances) {
    Model model(seed, circumstances);
    for (int i = 0; i < circumstances.entries; ++i) {
      model.ways_.push_back(std::make_unique<SomeWay>());
    }
    model.Run();
    return model.outcome_;
  }

 private:
  Model(std::uint64_t seed, const Circumstances& circumstances)
      : with_(circumstances),
        random_(seed),
        up_at_(static_cast<std::size_t>(circumstances.engines)),
        starts_(static_cast<std::size_t>(circumstances.engines)) {}

  int Below(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(bound));
  }
  bool Chance(int percent) { return Below(100) < percent; }
  static Trait Part(std::uint64_t hash) {
    return {TraitKind::kPromptPart, hash};
  }

  void Run() {
    if (with_.was_served_before) {
      for (const auto& way : ways_) {
        for (int i = 0; i < kFirstParts; ++i) {
          way->OnSurvival({Part(static_cast<std::uint64_t>(i)), now_});
        }
      }
    }
    const SteadyTime end = now_ + kTrafficTime;
    const SteadyTime waves[] = {now_ + milliseconds(2000 + Below(3000)),
                                now_ + milliseconds(5000 + Below(5000))};
    std::set<int> done;
    while (now_ < end) {
      now_ += kTick;
      for (int i = 0; i < 2; ++i) {
        if (now_ >= waves[i] && done.insert(i).second) CrashUnrelated();
      }
      Deliver();
      if (Chance(40)) Arrive();
      for (const auto& it : requests_) Step(*it);
      std::erase_if(requests_, [](const auto& it) { return it->entry < 0; });
    }
  }

  void Arrive() {
    auto request = std::make_unique<ModelRequest>();
    request->entry = Below(with_.entries);
    request->arrived = now_;
    if (with_.culprits > 0 && Chance(with_.crashing_percent)) {
      request->culprit = Below(with_.culprits);
    }
    request->traits.push_back(
        Part(static_cast<std::uint64_t>(Below(kFirstParts))));
    // A session, whose part several requests share.
    request->traits.push_back(
        Part(kSessions + static_cast<std::uint64_t>(Below(60))));
    if (request->culprit >= 0) {
      request->traits.push_back(
          Part(kCulprits + static_cast<std::uint64_t>(request->culprit)));
    } else {
      Count(*request, outcome_.sound, outcome_.sound_late);
    }
    request->traits.push_back({TraitKind::kRequest, ++last_request_});
    requests_.push_back(std::move(request));
  }

  void Count(const ModelRequest& request, int& all, int& late) const {
    ++all;
    if (request.arrived > SteadyTime() + kTrafficTime / 2) ++late;
  }

  void Step(ModelRequest& request) {
    if (request.entry < 0) return;
    if (request.engine < 0) {
      TrySend(request);
    } else if (now_ >= request.begins && request.culprit >= 0) {
      Crash(request.engine);
    } else if (now_ >= request.begins + kAnswerTime) {
      for (const Trait& it : request.traits) {
        const Survival survival{it, now_};
        ways_[static_cast<std::size_t>(request.entry)]->OnSurvival(survival);
        if (!evidence_needs(it)) continue;
        Spread({now_, 0, std::nullopt, survival}, request.entry);
      }
      Release(request);
      request.entry = -1;
    }
  }

  /** @return True if the trait was in any crash, so that others must know. */
  bool evidence_needs(const Trait& trait) const {
    return std::ranges::any_of(ways_, [&](const auto& it) {
      return it->evidence.crashes_of.contains(trait);
    });
  }

  std::set<Trait>& HeldAt(const ModelRequest& request) {
    return held_[request.entry];
  }

  void Release(ModelRequest& request) {
    if (!request.is_held) return;
    for (const Trait& it : request.traits) HeldAt(request).erase(it);
    request.is_held = false;
  }

  void TrySend(ModelRequest& request) {
    Way& way = *ways_[static_cast<std::size_t>(request.entry)];
    const RankFunction rank_of = [&](const Trait& trait) {
      const auto n = static_cast<std::uint64_t>(with_.entries);
      return static_cast<int>(
          (trait.hash + static_cast<std::uint64_t>(request.entry)) % n);
    };
    bool may_send = way.MaySend(request, now_, rank_of);
    std::vector<Trait> suspects;
    if (way.IsOneAtATime()) {
      suspects = SuspectsAmong(way.evidence, request.traits);
      for (const Trait& it : suspects) {
        may_send = may_send && !HeldAt(request).contains(it);
      }
    }
    std::vector<int> up;
    for (int i = 0; i < with_.engines; ++i) {
      if (up_at_[static_cast<std::size_t>(i)] <= now_) up.push_back(i);
    }
    if (!may_send || up.empty()) {
      if (now_ < request.arrived + kMaxWait) return;
      if (request.culprit < 0 && !may_send) {
        Count(request, outcome_.sound_refused, outcome_.sound_refused_late);
      }
      request.entry = -1;
      return;
    }
    request.engine =
        up[static_cast<std::size_t>(Below(static_cast<int>(up.size())))];
    request.begins = now_ + milliseconds(100 + Below(200));
    request.arrived = now_;
    ++request.sends;
    request.is_held = !suspects.empty();
    HeldAt(request).insert(suspects.begin(), suspects.end());
    if (request.culprit >= 0) CountSend(request.culprit);
  }

  void CountSend(int culprit) {
    Culprit& of = culprits_[culprit];
    if (!of.known || now_ <= *of.known + kTimeToKnow) return;
    outcome_.later_sends = std::max(outcome_.later_sends, ++of.later_sends);
  }

  void CrashUnrelated() {
    for (int i = 0; i < with_.engines; ++i) {
      const bool is_up = up_at_[static_cast<std::size_t>(i)] <= now_;
      if (is_up && Chance(with_.unrelated_percent)) Crash(i);
    }
  }

  void Crash(int engine) {
    const auto number = static_cast<std::size_t>(engine);
    std::map<int, CrashReport> by_entry;
    std::set<int> by;
    for (const auto& it : requests_) {
      if (it->engine != engine || it->entry < 0) continue;
      const bool is_beginning = now_ < it->begins + kAnswerTime;
      if (it->culprit >= 0 && now_ >= it->begins) by.insert(it->culprit);
      if (is_beginning) {
        CrashReport& report = by_entry[it->entry];
        report.instance = fleet::InstanceId(std::to_string(engine) + "@" +
                                            std::to_string(starts_[number]));
        report.at = now_;
        const auto& known =
            ways_[static_cast<std::size_t>(it->entry)]->evidence.survivals;
        for (const Trait& trait : it->traits) {
          if (!known.contains(trait)) report.traits.insert(trait);
        }
      }
      Release(*it);
      it->engine = -1;
      // The crash is inspected before the request is sent again.
      it->arrived = now_ + kReportTime;
      if (it->sends >= 2) it->entry = -1;
    }
    for (auto& [entry, report] : by_entry) {
      News own{now_ + kReportTime, entry, report, std::nullopt};
      news_.push_back(own);
      Spread(own, entry);
    }
    for (const int it : by) {
      ++outcome_.crashes;
      Culprit& of = culprits_[it];
      if (++of.crashes == kCrashesToKnow) of.known = now_;
    }
    up_at_[number] = now_ + kRestartTime;
    ++starts_[number];
  }

  void Spread(News news, int from) {
    news.at += milliseconds(5);
    for (int i = 0; i < with_.entries; ++i) {
      if (i == from) continue;
      News copy = news;
      copy.entry = i;
      if (Chance(with_.late_percent)) copy.at += milliseconds(400);
      news_.push_back(copy);
    }
  }

  void Deliver() {
    for (const News& it : news_) {
      if (it.at > now_) continue;
      Way& way = *ways_[static_cast<std::size_t>(it.entry)];
      if (it.crash) way.OnCrash(*it.crash);
      if (it.survival) way.OnSurvival(*it.survival);
    }
    std::erase_if(news_, [this](const News& it) { return it.at <= now_; });
  }

  static constexpr int kFirstParts = 3;
  static constexpr std::uint64_t kSessions = 1000;
  static constexpr std::uint64_t kCulprits = 5000;

  const Circumstances with_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Way>> ways_;
  std::vector<std::unique_ptr<ModelRequest>> requests_;
  std::vector<SteadyTime> up_at_;
  std::vector<int> starts_;
  std::vector<News> news_;
  std::map<int, std::set<Trait>> held_;
  std::uint64_t last_request_ = 0;
  SteadyTime now_;
  std::map<int, Culprit> culprits_;
  Outcome outcome_;
};

constexpr int kSeeds = 100;

struct Sum {
  int worst_later = 0;
  int seeds_over = 0;
  double crashes = 0;
  int worst_crashes = 0;
  double refused = 0;
  double refused_late = 0;
  double worst_refused_late = 0;
};

template <typename SomeWay>
Sum PlayAll(const Circumstances& circumstances, const std::string& name) {
  Sum sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome one = Model::Play<SomeWay>(seed, circumstances);
    sum.worst_later = std::max(sum.worst_later, one.later_sends);
    if (one.later_sends > kMaxLaterSends) ++sum.seeds_over;
    sum.crashes += static_cast<double>(one.crashes) / kSeeds;
    sum.worst_crashes = std::max(sum.worst_crashes, one.crashes);
    sum.refused += static_cast<double>(one.sound_refused) / one.sound / kSeeds;
    const double late =
        static_cast<double>(one.sound_refused_late) / one.sound_late;
    sum.refused_late += late / kSeeds;
    sum.worst_refused_late = std::max(sum.worst_refused_late, late);
  }
  BOOST_TEST_MESSAGE(name << ": later sends at most " << sum.worst_later << " ("
                          << sum.seeds_over << " seeds over), crashes "
                          << sum.crashes << ", at most " << sum.worst_crashes
                          << "; sound refused " << sum.refused
                          << ", in the second half " << sum.refused_late
                          << ", at most " << sum.worst_refused_late);
  return sum;
}

/** Plays both ways, for comparison, and checks the product's. */
void Check(const Circumstances& circumstances) {
  PlayAll<CountingWay>(circumstances, "counting");
  const Sum sum = PlayAll<TrialWay>(circumstances, "trials");
  BOOST_TEST(sum.worst_later <= kMaxLaterSends);
  // Sound requests begin at least half as often as usual once the cause must be
  // known.
  BOOST_TEST(sum.worst_refused_late <= 0.5);
}

}  // namespace

BOOST_AUTO_TEST_CASE(OneCulprit) { Check({}); }

BOOST_AUTO_TEST_CASE(OneCulpritAndNothingServedBefore) {
  Circumstances with;
  with.was_served_before = false;
  Check(with);
}

BOOST_AUTO_TEST_CASE(ThreeCulpritsAtOnce) {
  Circumstances with;
  with.culprits = 3;
  Check(with);
}

BOOST_AUTO_TEST_CASE(HalfOfTheEnginesCrashForOtherReasons) {
  Circumstances with;
  with.unrelated_percent = 50;
  Check(with);
  with.was_served_before = false;
  Check(with);
}

BOOST_AUTO_TEST_CASE(NoCulpritButEnginesCrash) {
  Circumstances with;
  with.culprits = 0;
  with.unrelated_percent = 50;
  with.was_served_before = false;
  Check(with);
}

BOOST_AUTO_TEST_CASE(ManyEntries) {
  Circumstances with;
  with.entries = 36;
  with.engines = 60;
  with.unrelated_percent = 10;
  Check(with);
}

}  // namespace sapphire::crash

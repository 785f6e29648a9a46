#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "forward/crashing_request_tracker.h"
#include "tests/suspects.h"
#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

/// What differs between histories.
struct Load {
  /// Of all requests, how many have a deadly part.
  int deadly_percent = 20;
  int requests_per_second = 3;
  /// First parts that sound and deadly requests have in common.
  int first_parts = 10;
  int deadly_parts = 1;
  /// The first part of all requests is the deadly part.
  bool is_first_part_deadly = false;
};

/// A group of instances that get requests of which some have a prompt part that
/// crashes each target that begins to answer. Sound requests wait and run at
/// the same targets. Links lose messages, instances restart, and targets crash
/// for other reasons, alone or with their whole failure domain.
class PartGroupSimulation {
 public:
  PartGroupSimulation(uint32_t seed, Load load) : random_(seed), load_(load) {
    instances_.resize(kInstances);
    for (int i = 0; i < kTargets; ++i) {
      targets_.push_back({{"t" + std::to_string(i), 1},
                          "s",
                          "d" + std::to_string(i % kDomains)});
      up_at_.emplace_back();
    }
    deadly_since_ = {static_cast<int64_t>(2000 + random_() % 8000)};
  }

  void Run() {
    for (now_ = {0}; now_ < kDuration; now_ = now_ + kStep) {
      MaybeRestartInstance();
      MaybeCrashOtherTargets();
      MaybeAddRequest();
      for (Request& it : requests_) {
        Advance(&it);
      }
      std::erase_if(requests_, [](const Request& it) { return it.is_done; });
      for (size_t i = 0; i < kInstances; ++i) {
        ShareParts(i);
        MaybeGossip(i);
      }
    }
  }

  /// Sends of requests with a deadly part later than kContactTime after its
  /// fifth crash, by instances that had been up for as long; of two deadly
  /// parts the larger number.
  int LateSends() const {
    return *std::max_element(std::begin(late_sends_), std::end(late_sends_));
  }
  /// Sound requests that came later than twice kContactTime after the fifth
  /// crash, or at any time if no part is deadly, and how many were refused.
  int SoundRequests() const { return sound_; }
  int RefusedSoundRequests() const { return refused_sound_; }

 private:
  static constexpr size_t kInstances = 8;
  static constexpr int kTargets = 18;
  static constexpr int kDomains = 4;
  static constexpr Millis kStep{50};
  static constexpr Millis kDuration{45'000};
  static constexpr Millis kContactTime{3000};
  static constexpr Millis kTargetRestartTime{4000};
  static constexpr Millis kPrefillTime{1300};
  static constexpr Millis kRunTime{5000};
  static constexpr Millis kSilenceTimeout{1300};
  static constexpr int kMaximumSends = 5;
  static constexpr int kMessageLossPercent = 10;
  static constexpr uint64_t kFirstDeadlyPart = 1000;

  struct Instance {
    CrashingRequestTracker tracker;
    Millis started_at;
  };

  struct Request {
    RequestContent content;
    size_t instance = 0;
    /// Index of the deadly part; -1 for a sound request.
    int deadly = -1;
    int sends = 0;
    /// The target that has the request, or -1.
    int target = -1;
    int64_t target_started_at = 0;
    Millis begins_at;
    bool has_begun = false;
    bool is_answer_recorded = false;
    /// When the instance finds its target lost.
    Millis found_at{-1};
    bool is_done = false;
  };

  bool Chance(int per_mille) {
    constexpr uint32_t kPerMille = 1000;
    return random_() % kPerMille < static_cast<uint32_t>(per_mille);
  }

  bool IsUp(int target) const {
    return now_ >= up_at_[static_cast<size_t>(target)];
  }

  TargetLoss& TargetOf(int target) {
    return targets_[static_cast<size_t>(target)];
  }

  void Crash(int target) {
    if (!IsUp(target)) {
      return;
    }
    const bool is_silent = Chance(300);
    for (Request& it : requests_) {
      if (it.target == target && it.found_at < Millis{0}) {
        it.found_at = is_silent ? now_ + kSilenceTimeout : now_;
      }
    }
    up_at_[static_cast<size_t>(target)] = now_ + kTargetRestartTime;
    ++TargetOf(target).process.started_at;
  }

  void MaybeRestartInstance() {
    if (!Chance(5)) {
      return;
    }
    const size_t index = random_() % kInstances;
    instances_[index] = Instance();
    instances_[index].started_at = now_;
    for (Request& it : requests_) {
      it.is_done = it.is_done || it.instance == index;
    }
    for (int i = 0; i < 3; ++i) {
      ExchangeMessages(index, random_() % kInstances);
    }
  }

  void MaybeCrashOtherTargets() {
    const bool is_domain = Chance(4);
    if (!is_domain && !Chance(10)) {
      return;
    }
    const int first = static_cast<int>(random_() % kTargets);
    for (int i = 0; i < kTargets; ++i) {
      if (is_domain ? i % kDomains == first % kDomains : i == first) {
        Crash(i);
      }
    }
  }

  void MaybeAddRequest() {
    constexpr int kStepPerMilleOfSecond = 50;
    if (!Chance(load_.requests_per_second * kStepPerMilleOfSecond)) {
      return;
    }
    Request request;
    request.content.hash = ++last_hash_;
    request.instance = random_() % kInstances;
    request.content.prompt_parts.push_back(
        1 + random_() % static_cast<uint32_t>(load_.first_parts));
    if (Chance(load_.deadly_percent * 10)) {
      request.deadly = static_cast<int>(
          random_() % static_cast<uint32_t>(load_.deadly_parts));
      const uint64_t part =
          kFirstDeadlyPart + static_cast<uint64_t>(request.deadly);
      if (load_.is_first_part_deadly) {
        request.content.prompt_parts[0] = part;
      } else {
        request.content.prompt_parts.push_back(part);
      }
    }
    requests_.push_back(request);
    CountSoundRequest(request);
  }

  bool IsDeadly(const Request& request) const {
    return request.deadly >= 0 && now_ >= deadly_since_;
  }

  void CountSoundRequest(const Request& request) {
    const bool is_settled = std::any_of(
        std::begin(fifth_crash_at_), std::end(fifth_crash_at_), [&](Millis it) {
          return it > Millis{0} && now_ > it + kContactTime * 2;
        });
    if (IsDeadly(request) || (!is_settled && load_.deadly_percent > 0)) {
      return;
    }
    ++sound_;
    refused_sound_ +=
        TrackerOf(request).IsBlocked(request.content, now_) ? 1 : 0;
  }

  CrashingRequestTracker& TrackerOf(const Request& request) {
    return instances_[request.instance].tracker;
  }

  void Advance(Request* request) {
    if (request->is_done) {
      return;
    }
    if (request->target < 0) {
      Send(request);
      return;
    }
    if (request->found_at >= Millis{0}) {
      if (now_ >= request->found_at) {
        ReportLoss(request);
      }
      return;
    }
    if (!request->has_begun && now_ >= request->begins_at) {
      request->has_begun = true;
      if (IsDeadly(*request)) {
        CountCrash(request->deadly);
        Crash(request->target);
        return;
      }
    }
    if (request->has_begun && !request->is_answer_recorded &&
        now_ >= request->begins_at + Millis{1000}) {
      request->is_answer_recorded = true;
      TrackerOf(*request).OnRequestAnswered(request->content,
                                            request->begins_at, now_);
    }
    request->is_done = now_ >= request->begins_at + kRunTime;
  }

  void CountCrash(int deadly) {
    constexpr int kCrashesUntilBound = 5;
    if (++crashes_[deadly] == kCrashesUntilBound) {
      fifth_crash_at_[deadly] = now_;
    }
  }

  void Send(Request* request) {
    if (request->sends >= kMaximumSends ||
        TrackerOf(*request).IsBlocked(request->content, now_)) {
      request->is_done = true;
      return;
    }
    const int target = static_cast<int>(random_() % kTargets);
    if (!IsUp(target)) {
      return;
    }
    const Instance& instance = instances_[request->instance];
    if (IsDeadly(*request) && fifth_crash_at_[request->deadly] > Millis{0} &&
        now_ > fifth_crash_at_[request->deadly] + kContactTime &&
        now_ > instance.started_at + kContactTime) {
      ++late_sends_[request->deadly];
    }
    ++request->sends;
    request->target = target;
    request->target_started_at = TargetOf(target).process.started_at;
    request->begins_at =
        now_ + kPrefillTime + Millis{static_cast<int64_t>(random_() % 1000)};
    request->has_begun = false;
    request->is_answer_recorded = false;
    request->found_at = {-1};
  }

  void ReportLoss(Request* request) {
    TargetLoss lost = TargetOf(request->target);
    lost.process.started_at = request->target_started_at;
    const RequestContent content =
        request->is_answer_recorded ? RequestContent() : request->content;
    TrackerOf(*request).OnTargetLost(content, lost, now_);
    for (size_t i = 0; i < kInstances; ++i) {
      if (i != request->instance && !Chance(kMessageLossPercent * 10)) {
        instances_[i].tracker.OnTargetLost({content.hash, {}}, lost, now_);
      }
    }
    request->target = -1;
    request->found_at = {-1};
  }

  void ShareParts(size_t index) {
    CrashingRequestTracker& tracker = instances_[index].tracker;
    if (!tracker.HasUnsharedParts()) {
      return;
    }
    const std::vector<Suspect> parts = tracker.TakeUnsharedParts(now_);
    for (size_t i = 0; i < kInstances; ++i) {
      if (i != index && !Chance(kMessageLossPercent * 10)) {
        instances_[i].tracker.OnSuspectedByPeer(parts, now_);
      }
    }
  }

  void MaybeGossip(size_t index) {
    constexpr int kStepPerMilleOfPeriod = 50;
    if (Chance(kStepPerMilleOfPeriod)) {
      ExchangeMessages(index, random_() % kInstances);
    }
  }

  void ExchangeMessages(size_t one, size_t other) {
    tests::ExchangeSuspects(&instances_[one].tracker,
                            &instances_[other].tracker, now_);
  }

  std::mt19937 random_;
  Load load_;
  Millis now_;
  Millis deadly_since_;
  std::vector<Instance> instances_;
  std::vector<TargetLoss> targets_;
  std::vector<Millis> up_at_;
  std::vector<Request> requests_;
  uint64_t last_hash_ = 0;
  /// By deadly part.
  int crashes_[2] = {};
  Millis fifth_crash_at_[2];
  int late_sends_[2] = {};
  int sound_ = 0;
  int refused_sound_ = 0;
};

SUITE(CrashingPartGroupTest) {
  CPPUNIT_TEST_SUITE(CrashingPartGroupTest);
  CPPUNIT_TEST(TestRareDeadlyPartReachesFewTargets);
  CPPUNIT_TEST(TestFrequentDeadlyPartReachesFewTargets);
  CPPUNIT_TEST(TestTwoDeadlyPartsReachFewTargets);
  CPPUNIT_TEST(TestDeadlyFirstPartReachesFewTargets);
  CPPUNIT_TEST(TestDeadlyPartBesideOneCommonPartReachesFewTargets);
  CPPUNIT_TEST(TestCrashesWithoutADeadlyPartBlockFewRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRareDeadlyPartReachesFewTargets() {
    Check([](Load* load) { load->deadly_percent = *rc::gen::inRange(1, 10); });
  }

  void TestFrequentDeadlyPartReachesFewTargets() {
    Check([](Load* load) { load->deadly_percent = *rc::gen::inRange(10, 51); });
  }

  void TestTwoDeadlyPartsReachFewTargets() {
    Check([](Load* load) {
      load->deadly_percent = *rc::gen::inRange(5, 41);
      load->deadly_parts = 2;
    });
  }

  void TestDeadlyFirstPartReachesFewTargets() {
    Check([](Load* load) {
      load->deadly_percent = *rc::gen::inRange(5, 81);
      load->is_first_part_deadly = true;
    });
  }

  void TestDeadlyPartBesideOneCommonPartReachesFewTargets() {
    Check([](Load* load) {
      load->deadly_percent = *rc::gen::inRange(1, 51);
      load->first_parts = 1;
    });
  }

  void TestCrashesWithoutADeadlyPartBlockFewRequests() {
    Check([](Load* load) {
      load->deadly_percent = 0;
      load->first_parts = *rc::gen::inRange(1, 40);
    });
  }

 private:
  template <typename SetLoad>
  static void Check(SetLoad set_load) {
    static constexpr int kAllowedLateSends = 3;
    static constexpr int kMinimumSoundRequests = 20;
    EXPECT(rc::check("few late sends and few sound requests refused", [&] {
      Load load;
      set_load(&load);
      load.requests_per_second = *rc::gen::inRange(1, 8);
      PartGroupSimulation group(*rc::gen::arbitrary<uint32_t>(), load);
      group.Run();
      RC_LOG() << "late sends " << group.LateSends() << ", sound requests "
               << group.SoundRequests() << ", refused "
               << group.RefusedSoundRequests() << '\n';
      RC_ASSERT(group.LateSends() <= kAllowedLateSends);
      RC_ASSERT(group.SoundRequests() < kMinimumSoundRequests ||
                group.RefusedSoundRequests() * 2 <= group.SoundRequests());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartGroupTest);

}  // namespace

}  // namespace daisypond::forward

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
using tests::MakeRequest;

/// A group of instances that get a request which crashes each target that runs
/// it. Links lose reports of losses, instances restart, and targets crash for
/// other reasons, alone or with their whole failure domain.
class GroupSimulation {
 public:
  explicit GroupSimulation(uint32_t seed) : random_(seed) {
    for (int i = 0; i < kInstances; ++i) {
      instances_.emplace_back();
    }
    for (int i = 0; i < kTargets; ++i) {
      targets_.push_back({{"t" + std::to_string(i), 1},
                          "s",
                          "d" + std::to_string(i % kDomains)});
      up_at_.emplace_back();
    }
  }

  /// Returns the number of sends that began later than kSettleTime after the
  /// request had crashed its third target and after their instance had started.
  int LateSends() {
    for (now_ = {0}; now_ < kDuration; now_ = now_ + kStep) {
      MaybeRestartInstance();
      MaybeCrashOtherTargets();
      for (size_t i = 0; i < instances_.size(); ++i) {
        AdvanceExchange(i);
        MaybeGossip(i);
      }
    }
    return late_sends_;
  }

 private:
  static constexpr int kInstances = 8;
  static constexpr int kTargets = 18;
  static constexpr int kDomains = 4;
  static constexpr uint64_t kContent = 1;
  static constexpr Millis kStep{50};
  static constexpr Millis kDuration{60'000};
  /// Until then, instances may not know of the losses yet.
  static constexpr Millis kSettleTime{3000};
  static constexpr Millis kTargetRestartTime{4000};
  static constexpr Millis kLossDetectionTime{1000};
  static constexpr int kMaximumSends = 5;
  static constexpr int kReportLossPercent = 20;

  struct Instance {
    CrashingRequestTracker tracker;
    Millis started_at;
    /// Sends left for the attempt in progress; zero when there is none.
    int sends_left = 0;
    /// The target that runs the request, or -1, and when its loss is found.
    int running_on = -1;
    Millis found_at;
  };

  bool Chance(int per_mille) {
    constexpr uint32_t kPerMille = 1000;
    return random_() % kPerMille < static_cast<uint32_t>(per_mille);
  }

  bool IsUp(int target) const {
    return now_ >= up_at_[static_cast<size_t>(target)];
  }

  void Crash(int target) {
    const auto n = static_cast<size_t>(target);
    up_at_[n] = now_ + kTargetRestartTime;
    ++targets_[n].process.started_at;
  }

  /// A new instance exchanges messages with its seeds before it is ready.
  void MaybeRestartInstance() {
    constexpr int kSeeds = 3;
    if (!Chance(10)) {
      return;
    }
    const size_t index = random_() % instances_.size();
    instances_[index] = Instance();
    instances_[index].started_at = now_;
    for (int i = 0; i < kSeeds; ++i) {
      if (!Chance(kReportLossPercent * 10)) {
        ExchangeMessages(index, random_() % instances_.size());
      }
    }
  }

  /// One target or a whole domain; each instance finds the loss by itself.
  void MaybeCrashOtherTargets() {
    const bool is_domain = Chance(5);
    if (!is_domain && !Chance(20)) {
      return;
    }
    const int first = static_cast<int>(random_() % kTargets);
    for (int i = 0; i < kTargets; ++i) {
      const bool is_hit =
          is_domain ? i % kDomains == first % kDomains : i == first;
      if (is_hit && IsUp(i)) {
        const TargetLoss lost = targets_[static_cast<size_t>(i)];
        Crash(i);
        for (Instance& it : instances_) {
          it.tracker.OnTargetLost(MakeRequest(0), lost, now_);
        }
      }
    }
  }

  void AdvanceExchange(size_t index) {
    Instance& instance = instances_[index];
    if (instance.running_on >= 0 && now_ >= instance.found_at) {
      ReportLoss(index);
      instance.running_on = -1;
    }
    if (instance.sends_left == 0 && Chance(30)) {
      instance.sends_left = kMaximumSends;
    }
    if (instance.sends_left == 0 || instance.running_on >= 0) {
      return;
    }
    if (instance.tracker.IsBlocked(MakeRequest(kContent), now_)) {
      instance.sends_left = 0;
      return;
    }
    --instance.sends_left;
    const int target = static_cast<int>(random_() % kTargets);
    if (!IsUp(target)) {
      return;
    }
    if (crashes_ >= 3 && now_ - third_crash_at_ > kSettleTime &&
        now_ - instance.started_at > kSettleTime) {
      ++late_sends_;
    }
    running_[index] = targets_[static_cast<size_t>(target)];
    instance.running_on = target;
    instance.found_at = now_ + kLossDetectionTime;
    Crash(target);
    if (++crashes_ == 3) {
      third_crash_at_ = now_;
    }
  }

  void ReportLoss(size_t index) {
    const TargetLoss lost = running_[index];
    instances_[index].tracker.OnTargetLost(MakeRequest(kContent), lost, now_);
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (i != index && !Chance(kReportLossPercent * 10)) {
        instances_[i].tracker.OnTargetLost(MakeRequest(kContent), lost, now_);
      }
    }
  }

  /// Once a second each instance exchanges messages with a random peer.
  void MaybeGossip(size_t index) {
    constexpr int kStepPerMilleOfPeriod = 50;
    if (Chance(kStepPerMilleOfPeriod)) {
      ExchangeMessages(index, random_() % instances_.size());
    }
  }

  void ExchangeMessages(size_t one, size_t other) {
    tests::ExchangeSuspects(&instances_[one].tracker,
                            &instances_[other].tracker, now_);
  }

  std::mt19937 random_;
  Millis now_;
  std::vector<Instance> instances_;
  std::vector<TargetLoss> targets_;
  /// When each target is up again after its last crash.
  std::vector<Millis> up_at_;
  /// By instance: the process that its request crashed last.
  TargetLoss running_[kInstances];
  int crashes_ = 0;
  Millis third_crash_at_;
  int late_sends_ = 0;
};

SUITE(CrashingRequestGroupTest) {
  CPPUNIT_TEST_SUITE(CrashingRequestGroupTest);
  CPPUNIT_TEST(TestCrashingRequestReachesFewTargetsInAnyHistory);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestCrashingRequestReachesFewTargetsInAnyHistory() {
    static constexpr int kAllowedLateSends = 3;
    EXPECT(rc::check("few sends after the third crash", [] {
      GroupSimulation group(*rc::gen::arbitrary<uint32_t>());
      RC_ASSERT(group.LateSends() <= kAllowedLateSends);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestGroupTest);

}  // namespace

}  // namespace daisypond::forward

#include "forward/loss_hold.h"

#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "forward/crashing_request_tracker.h"
#include "tests/suspects.h"
#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;
using tests::MakeRequest;

constexpr int kTargets = 9;
constexpr int kDomains = 3;
constexpr int kInstances = 4;

std::string TargetId(int i) {
  return fmt::format("t{}", i);
}

TargetLoss LossOf(int i) {
  return {{TargetId(i), 1}, "s", fmt::format("d{}", i % kDomains)};
}

HeldLoss Loss(int i,
              Millis found_at,
              LossKind kind = LossKind::kRequestFailed) {
  return {LossOf(i), MakeRequest(7), kind, found_at, ""};
}

catalog::Targets MakeTargets() {
  catalog::Targets targets;
  for (int i = 0; i < kTargets; ++i) {
    catalog::Target target;
    target.id = TargetId(i);
    target.service = "s";
    target.failure_domain = fmt::format("d{}", i % kDomains);
    targets[target.id] = target;
  }
  return targets;
}

/// What an instance knows of its path and of requests that crash targets.
struct Instance {
  TargetPath path;
  LossHold hold;
  CrashingRequestTracker tracker;
};

SUITE(LossHoldTest) {
  CPPUNIT_TEST_SUITE(LossHoldTest);
  CPPUNIT_TEST(TestLossIsConfirmedWhenAnotherTargetAnswers);
  CPPUNIT_TEST(TestLossIsConfirmedByBytesOfAnotherTarget);
  CPPUNIT_TEST(TestFailedConnectIsNotConfirmedByBytes);
  CPPUNIT_TEST(TestLossIsHeldForALimitedTime);
  CPPUNIT_TEST(TestLossIsHeldWhileOnlyItsServiceIsLost);
  CPPUNIT_TEST(TestLossThroughAPeerThatIsCutAsWellIsNoEvidence);
  CPPUNIT_TEST(TestLossesOfACutPathAreNoEvidence);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    path_ = TargetPath();
    path_.Configure(MakeTargets());
    hold_ = LossHold();
    path_.OnSuspicion(TargetId(0), {1000});
  }

  void TestLossIsConfirmedWhenAnotherTargetAnswers() {
    hold_.Add(Loss(0, {1000}));
    EXPECT(hold_.TakeSettled(path_, {}, {1000}).confirmed.empty());
    path_.OnConnected(TargetId(1), {1010});
    const SettledLosses settled = hold_.TakeSettled(path_, {}, {1010});
    EXPECT_EQ(size_t{1}, settled.confirmed.size());
    EXPECT_EQ(int64_t{1000}, settled.confirmed[0].found_at.count);
    EXPECT(settled.explained.empty());
    EXPECT(hold_.IsEmpty());
  }

  void TestLossIsConfirmedByBytesOfAnotherTarget() {
    hold_.Add(Loss(0, {1000}));
    hold_.OnBytesReceived(TargetId(1), {1010});
    hold_.OnBytesReceived(TargetId(0), {1060});
    EXPECT(hold_.TakeSettled(path_, {}, {1060}).confirmed.empty());
    hold_.OnBytesReceived(TargetId(1), {1061});
    hold_.OnBytesReceived(TargetId(0), {1062});
    EXPECT_EQ(size_t{1}, hold_.TakeSettled(path_, {}, {1062}).confirmed.size());
  }

  void TestFailedConnectIsNotConfirmedByBytes() {
    hold_.Add(Loss(0, {1000}, LossKind::kConnectFailed));
    for (int i = 1; i < kTargets; ++i) {
      hold_.OnBytesReceived(TargetId(i), {1100 + i});
    }
    EXPECT(hold_.TakeSettled(path_, {}, {1200}).confirmed.empty());
  }

  void TestLossIsHeldForALimitedTime() {
    hold_.Add(Loss(0, {1000}));
    const Millis end = Millis{1000} + LossHold::kMaximumHold;
    EXPECT(hold_.TakeSettled(path_, {}, end - Millis{1}).confirmed.empty());
    EXPECT_EQ(size_t{1}, hold_.TakeSettled(path_, {}, end).confirmed.size());
  }

  void TestLossIsHeldWhileOnlyItsServiceIsLost() {
    catalog::Targets targets = MakeTargets();
    targets["other"].id = "other";
    targets["other"].service = "o";
    path_.Configure(targets);
    hold_.Add(Loss(0, {1000}));
    for (int i = 0; i < 4; ++i) {
      path_.OnConnectFailed(TargetId(i), {1001});
    }
    path_.Update({1001});
    EXPECT(path_.StateOf("s") == PathState::kLost);
    EXPECT(path_.State() == PathState::kChecking);
    EXPECT(hold_.TakeSettled(path_, {}, {1001}).confirmed.empty());
    path_.OnConnected("other", {1002});
    EXPECT(hold_.TakeSettled(path_, {}, {1002}).confirmed.empty());
    path_.OnReachedThroughPeer("s");
    EXPECT_EQ(size_t{1}, hold_.TakeSettled(path_, {}, {1003}).explained.size());
  }

  void TestLossThroughAPeerThatIsCutAsWellIsNoEvidence() {
    const std::vector<TunnelPeer> sound = {{"p", "d0", "", true}};
    const std::vector<TunnelPeer> cut = {{"p", "d0", "", false}};
    HeldLoss loss = Loss(0, {1000});
    loss.peer = "p";
    for (int i = 0; i < 3; ++i) {
      hold_.Add(loss);
      EXPECT(hold_.TakeSettled(path_, sound, {1599}).confirmed.empty());
      EXPECT_EQ(size_t{1}, hold_.Size());
      const auto settled =
          hold_.TakeSettled(path_,
                            i == 0   ? sound
                            : i == 1 ? cut
                                     : std::vector<TunnelPeer>(),
                            {1600});
      EXPECT_EQ(size_t{i == 0 ? 1u : 0u}, settled.confirmed.size());
      EXPECT_EQ(size_t{i == 0 ? 0u : 1u}, settled.explained.size());
    }
  }

  /// Four instances are cut off from all targets while each of them has a
  /// request at three of them in turn.
  void TestLossesOfACutPathAreNoEvidence() {
    const RequestContent content = MakeRequest(7);
    CrashingRequestTracker unprotected;
    std::vector<Instance> instances(kInstances);
    for (Instance& it : instances) {
      it.path.Configure(MakeTargets());
    }
    for (Millis now{1000}; now < Millis{4000}; now = now + Millis{10}) {
      for (int i = 0; i < kInstances; ++i) {
        Instance& cut = instances[static_cast<size_t>(i)];
        for (const std::string& it : cut.path.TakeProbes(now)) {
          cut.path.OnConnectFailed(it, now);
        }
        if (now.count % 250 == 0) {
          const int target = (i + static_cast<int>(now.count) / 250) % kTargets;
          cut.path.OnSuspicion(TargetId(target), now);
          cut.hold.Add(
              {LossOf(target), content, LossKind::kRequestFailed, now, ""});
          unprotected.OnTargetLost(content, LossOf(target), now);
        }
        for (const HeldLoss& it :
             cut.hold.TakeSettled(cut.path, {}, now).confirmed) {
          for (Instance& each : instances) {
            each.tracker.OnTargetLost(it.content, it.target, it.found_at);
          }
        }
      }
    }
    EXPECT(unprotected.IsBlocked(content, {4000}));
    for (const Instance& it : instances) {
      EXPECT(it.path.State() == PathState::kLost);
      EXPECT(!it.tracker.IsBlocked(content, {4000}));
      EXPECT_EQ(
          size_t{0},
          it.tracker.CountLosses({SuspectKind::kRequest, content.hash}).events);
    }
  }

 private:
  TargetPath path_;
  LossHold hold_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LossHoldTest);

}  // namespace

}  // namespace daisypond::forward

#include "forward/crashing_request_tracker.h"

#include <string>
#include <vector>

#include "tests/suspects.h"
#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;
using tests::MakeRequest;

TargetLoss Lost(const std::string& id, const std::string& failure_domain) {
  return {{id, 1}, "s", failure_domain};
}

SUITE(CrashingRequestTrackerTest) {
  CPPUNIT_TEST_SUITE(CrashingRequestTrackerTest);
  CPPUNIT_TEST(TestThreeLostTargetsBlockTheRequest);
  CPPUNIT_TEST(TestRepeatedLossOfOneTargetCountsOnce);
  CPPUNIT_TEST(TestAnswerClearsLosses);
  CPPUNIT_TEST(TestCrashesOfWholeDomainsBlockNoRequest);
  CPPUNIT_TEST(TestLossesExpireAfterRetentionPeriod);
  CPPUNIT_TEST(TestRequestIsReleasedAfterBlockPeriod);
  CPPUNIT_TEST(TestTrackedRequestsAreBounded);
  CPPUNIT_TEST(TestRestartedInstanceLearnsLossesFromPeer);
  CPPUNIT_TEST(TestAnswerClearsLossesAtPeers);
  CPPUNIT_TEST(TestAnsweredRequestWithOneLossIsNotShared);
  CPPUNIT_TEST(TestSimultaneousCopiesOfARequestDoNotExcuseEachOther);
  CPPUNIT_TEST(TestTargetThatStaysDownExcusesNoOtherLoss);
  CPPUNIT_TEST(TestLossInAnotherServiceExcusesNoLoss);
  CPPUNIT_TEST(TestCrashesOfARestartedTargetCountEach);
  CPPUNIT_TEST(TestRequestThatAlwaysMeetsACommonLossIsBlocked);
  CPPUNIT_TEST(TestBlockedRequestIsStillBlockedAfterRetentionPeriod);
  CPPUNIT_TEST(TestPartOfDifferentRequestsThatCrashTargetsIsBlocked);
  CPPUNIT_TEST(TestLossesOfOneRequestDoNotBlockItsParts);
  CPPUNIT_TEST(TestPartsBesideABlockedPartAreNotBlocked);
  CPPUNIT_TEST(TestRequestWaitingAtCrashedTargetsIsReleased);
  CPPUNIT_TEST(TestPartThatIsAnsweredMeanwhileIsNotBlocked);
  CPPUNIT_TEST(TestRunBegunBeforeALossDoesNotClearIt);
  CPPUNIT_TEST(TestAllUnsharedPartsAreSharedInTurn);
  CPPUNIT_TEST(TestPeersKnowThatAPartIsOftenAnswered);
  CPPUNIT_TEST(TestSteadyLossesInADomainAreNotOneEvent);
  CPPUNIT_TEST(TestCallsWithoutBodyThatCrashTargetsAreBlockedForAWhile);
  CPPUNIT_TEST(TestAnswerClearsLossesOfCallsWithoutBody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestThreeLostTargetsBlockTheRequest() {
    CrashingRequestTracker tracker;
    tracker.OnTargetLost(MakeRequest(1), Lost("a", "d0"), {0});
    tracker.OnTargetLost(MakeRequest(1), Lost("b", "d1"), {10});
    EXPECT(!tracker.IsBlocked(MakeRequest(1), {20}));
    tracker.OnTargetLost(MakeRequest(1), Lost("c", "d2"), {20});
    EXPECT(tracker.IsBlocked(MakeRequest(1), {30}));
    EXPECT(!tracker.IsBlocked(MakeRequest(2), {30}));
  }

  void TestRepeatedLossOfOneTargetCountsOnce() {
    CrashingRequestTracker tracker;
    for (int i = 0; i < 5; ++i) {
      tracker.OnTargetLost(MakeRequest(1), Lost("a", "d0"), {i});
    }
    EXPECT(!tracker.IsBlocked(MakeRequest(1), {10}));
  }

  void TestAnswerClearsLosses() {
    CrashingRequestTracker tracker;
    for (const char* it : {"a", "b", "c"}) {
      tracker.OnTargetLost(MakeRequest(1), Lost(it, std::string("d") + it),
                           {0});
    }
    tracker.OnRequestAnswered(MakeRequest(1), {0}, {0});
    EXPECT(!tracker.IsBlocked(MakeRequest(1), {1}));
  }

  // Guards against blocking a request that crashes no target. All engines of
  // three failure domains crash, one domain after the other, while many callers
  // send identical requests.
  void TestCrashesOfWholeDomainsBlockNoRequest() {
    CrashingRequestTracker tracker;
    for (int64_t crash = 0; crash < 3; ++crash) {
      for (int engine = 0; engine < 8; ++engine) {
        tracker.OnTargetLost(MakeRequest(1),
                             Lost("e" + std::to_string(crash * 8 + engine),
                                  "d" + std::to_string(crash)),
                             {crash * 6500 + engine * 40});
      }
    }
    EXPECT(!tracker.IsBlocked(MakeRequest(1), {14'000}));
  }

  void TestLossesExpireAfterRetentionPeriod() {
    CrashingRequestTracker tracker;
    tracker.OnTargetLost(MakeRequest(1), Lost("a", "d0"), {0});
    tracker.OnTargetLost(MakeRequest(1), Lost("b", "d1"), {0});
    tracker.OnTargetLost(MakeRequest(1), Lost("c", "d2"),
                         CrashingRequestTracker::kRetentionPeriod);
    EXPECT(!tracker.IsBlocked(MakeRequest(1),
                              CrashingRequestTracker::kRetentionPeriod));
  }

  void TestRequestIsReleasedAfterBlockPeriod() {
    CrashingRequestTracker tracker;
    for (const char* it : {"a", "b", "c"}) {
      tracker.OnTargetLost(MakeRequest(1), Lost(it, std::string("d") + it),
                           {0});
    }
    EXPECT(tracker.IsBlocked(MakeRequest(1),
                             CrashingRequestTracker::kBlockPeriod - Millis{1}));
    EXPECT(!tracker.IsBlocked(MakeRequest(1),
                              CrashingRequestTracker::kBlockPeriod));
  }

  void TestTrackedRequestsAreBounded() {
    CrashingRequestTracker tracker;
    for (uint64_t i = 0; i < CrashingRequestTracker::kMaximumTracked + 100;
         ++i) {
      for (const char* it : {"a", "b", "c"}) {
        tracker.OnTargetLost(MakeRequest(i), Lost(it, std::string("d") + it),
                             {static_cast<int64_t>(i)});
      }
    }
    const auto last = CrashingRequestTracker::kMaximumTracked + 99;
    EXPECT(tracker.IsBlocked(MakeRequest(last), {static_cast<int64_t>(last)}));
    EXPECT(!tracker.IsBlocked(MakeRequest(0), {static_cast<int64_t>(last)}));
  }

  void TestRestartedInstanceLearnsLossesFromPeer() {
    CrashingRequestTracker peer;
    for (const char* it : {"a", "b", "c"}) {
      peer.OnTargetLost(MakeRequest(1), Lost(it, std::string("d") + it), {0});
    }
    peer.OnTargetLost(MakeRequest(2), Lost("a", "da"), {0});
    CrashingRequestTracker restarted;
    EXPECT_EQ(size_t{1}, peer.SharedSuspects({1000}).size());
    // The clock of the restarted instance shows another time.
    restarted.OnSuspectedByPeer(peer.SharedSuspects({1000}), {700'000});
    EXPECT(restarted.IsBlocked(MakeRequest(1), {700'000}));
    EXPECT(!restarted.IsBlocked(MakeRequest(2), {700'000}));
    EXPECT(!restarted.IsBlocked(
        MakeRequest(1),
        CrashingRequestTracker::kBlockPeriod + Millis{699'000}));
  }

  void TestAnswerClearsLossesAtPeers() {
    CrashingRequestTracker tracker;
    CrashingRequestTracker peer;
    for (const char* it : {"a", "b", "c"}) {
      tracker.OnTargetLost(MakeRequest(1), Lost(it, std::string("d") + it),
                           {0});
      peer.OnTargetLost(MakeRequest(1), Lost(it, std::string("d") + it), {0});
    }
    tracker.OnRequestAnswered(MakeRequest(1), {100}, {100});
    peer.OnSuspectedByPeer(tracker.SharedSuspects({200}), {200});
    tracker.OnSuspectedByPeer(peer.SharedSuspects({300}), {300});
    EXPECT(!peer.IsBlocked(MakeRequest(1), {300}));
    EXPECT(!tracker.IsBlocked(MakeRequest(1), {300}));
  }

  // Peers are told of few requests; harmless ones must not displace others.
  void TestAnsweredRequestWithOneLossIsNotShared() {
    CrashingRequestTracker tracker;
    for (uint64_t i = 1; i <= 100; ++i) {
      tracker.OnTargetLost(MakeRequest(i), Lost("a", "d0"), {0});
      tracker.OnRequestAnswered(MakeRequest(i), {10}, {10});
    }
    EXPECT(tracker.SharedSuspects({20}).empty());
  }

  void TestSimultaneousCopiesOfARequestDoNotExcuseEachOther() {
    CrashingRequestTracker tracker;
    tracker.OnTargetLost(MakeRequest(1), Lost("a", "d0"), {0});
    tracker.OnTargetLost(MakeRequest(1), Lost("b", "d0"), {150});
    tracker.OnTargetLost(MakeRequest(1), Lost("c", "d1"), {1000});
    EXPECT(tracker.IsBlocked(MakeRequest(1), {1000}));
  }

  // Each failed connection to a target that is down reports it as lost again.
  void TestTargetThatStaysDownExcusesNoOtherLoss() {
    CrashingRequestTracker tracker;
    for (int64_t at = 0; at <= 8000; at += 200) {
      tracker.OnTargetLost(MakeRequest(0), Lost("down", "d0"), {at});
      if (at >= 2000 && at % 2000 == 0 && at < 8000) {
        tracker.OnTargetLost(MakeRequest(1),
                             Lost("e" + std::to_string(at), "d0"), {at + 100});
      }
    }
    EXPECT(tracker.IsBlocked(MakeRequest(1), {8000}));
  }

  void TestLossInAnotherServiceExcusesNoLoss() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 3; ++i) {
      const std::string n = std::to_string(i);
      tracker.OnTargetLost(MakeRequest(0), {{"other" + n, 1}, "other", "d0"},
                           {i * 1000});
      tracker.OnTargetLost(MakeRequest(1), Lost("e" + n, "d0"),
                           {i * 1000 + 100});
    }
    EXPECT(tracker.IsBlocked(MakeRequest(1), {3000}));
  }

  void TestCrashesOfARestartedTargetCountEach() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 3; ++i) {
      tracker.OnTargetLost(MakeRequest(1), {{"a", i + 1}, "s", "d0"},
                           {i * 5000});
    }
    EXPECT(tracker.IsBlocked(MakeRequest(1), {10'000}));
  }

  // Another target of the domain crashes each time that the request crashes
  // one.
  void TestRequestThatAlwaysMeetsACommonLossIsBlocked() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 5; ++i) {
      const std::string n = std::to_string(i);
      tracker.OnTargetLost(MakeRequest(0), Lost("other" + n, "d0"), {i * 2000});
      tracker.OnTargetLost(MakeRequest(1), Lost("e" + n, "d0"),
                           {i * 2000 + 100});
    }
    EXPECT(tracker.IsBlocked(MakeRequest(1), {9000}));
  }

  void TestPartOfDifferentRequestsThatCrashTargetsIsBlocked() {
    CrashingRequestTracker tracker;
    LoseFourTargets(&tracker, {kDeadlyPart});
    EXPECT(tracker.IsBlocked({99, {kDeadlyPart}}, {5000}));
    EXPECT(!tracker.IsBlocked({99, {}}, {5000}));
    EXPECT(tracker.IsBlocked(
        {99, {kDeadlyPart}},
        CrashingRequestTracker::kPartBlockPeriod + Millis{2999}));
    EXPECT(!tracker.IsBlocked(
        {99, {kDeadlyPart}},
        CrashingRequestTracker::kPartBlockPeriod + Millis{3000}));
    tracker.OnTargetLost({100, {kDeadlyPart}}, Lost("x", "d0"),
                         CrashingRequestTracker::kPartBlockPeriod * 2);
    EXPECT(tracker.IsBlocked({101, {kDeadlyPart}},
                             CrashingRequestTracker::kPartBlockPeriod * 2));
  }

  void TestLossesOfOneRequestDoNotBlockItsParts() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 6; ++i) {
      tracker.OnTargetLost({7, {kCommonPart}},
                           Lost("t" + std::to_string(i), "d0"), {i * 1000});
    }
    EXPECT(!tracker.IsBlocked({8, {kCommonPart}}, {6000}));
  }

  void TestPartsBesideABlockedPartAreNotBlocked() {
    CrashingRequestTracker tracker;
    LoseFourTargets(&tracker, {kCommonPart, kDeadlyPart});
    EXPECT(tracker.IsBlocked({99, {kDeadlyPart}}, {5000}));
    EXPECT(!tracker.IsBlocked({99, {kCommonPart}}, {5000}));
  }

  // Three losses would block the request.
  void TestRequestWaitingAtCrashedTargetsIsReleased() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 3; ++i) {
      tracker.OnTargetLost(MakeRequest(7), Lost("t" + std::to_string(i), "d0"),
                           {i * 1000});
    }
    EXPECT(tracker.IsBlocked(MakeRequest(7), {3000}));
    LoseFourTargets(&tracker, {kDeadlyPart});
    EXPECT(!tracker.IsBlocked(MakeRequest(7), {4000}));
  }

  void TestPartThatIsAnsweredMeanwhileIsNotBlocked() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 20; ++i) {
      tracker.OnTargetLost({static_cast<uint64_t>(10 + i), {kCommonPart}},
                           Lost("t" + std::to_string(i), "d0"), {i * 1000});
      if (i % 3 == 2) {
        tracker.OnRequestAnswered({50, {kCommonPart}}, {i * 1000 + 100},
                                  {i * 1000 + 900});
      }
      EXPECT(!tracker.IsBlocked({99, {kCommonPart}}, {i * 1000 + 950}));
    }
  }

  void TestRunBegunBeforeALossDoesNotClearIt() {
    CrashingRequestTracker tracker;
    LoseFourTargets(&tracker, {kDeadlyPart});
    tracker.OnRequestAnswered({50, {kDeadlyPart}}, {-100}, {4000});
    EXPECT(tracker.IsBlocked({99, {kDeadlyPart}}, {4000}));
    tracker.OnRequestAnswered({51, {kDeadlyPart}}, {3500}, {4500});
    EXPECT(!tracker.IsBlocked({99, {kDeadlyPart}}, {4500}));
  }

  void TestAllUnsharedPartsAreSharedInTurn() {
    CrashingRequestTracker tracker;
    RequestContent content;
    content.hash = 1;
    for (uint64_t i = 0; i < CrashingRequestTracker::kMaximumShared + 5; ++i) {
      content.prompt_parts.push_back(100 + i);
    }
    tracker.OnTargetLost(content, Lost("a", "d0"), {0});
    EXPECT_EQ(CrashingRequestTracker::kMaximumShared,
              tracker.TakeUnsharedParts({1}).size());
    EXPECT_EQ(size_t{5}, tracker.TakeUnsharedParts({1}).size());
    EXPECT(!tracker.HasUnsharedParts());
  }

  void TestPeersKnowThatAPartIsOftenAnswered() {
    CrashingRequestTracker experienced;
    for (int64_t i = 0; i < 40; ++i) {
      experienced.OnRequestAnswered({1, {kCommonPart}}, {-2000}, {-1000});
    }
    CrashingRequestTracker peer;
    LoseFourTargets(&peer, {kCommonPart});
    EXPECT(peer.IsBlocked({99, {kCommonPart}}, {4000}));
    experienced.OnSuspectedByPeer(peer.TakeUnsharedParts({4000}), {4000});
    EXPECT(!experienced.IsBlocked({99, {kCommonPart}}, {4000}));
    EXPECT(experienced.HasUnsharedParts());
    peer.OnSuspectedByPeer(experienced.TakeUnsharedParts({4000}), {4000});
    EXPECT(!peer.IsBlocked({99, {kCommonPart}}, {4000}));
  }

  void TestBlockedRequestIsStillBlockedAfterRetentionPeriod() {
    CrashingRequestTracker tracker;
    for (const char* it : {"a", "b", "c"}) {
      tracker.OnTargetLost(MakeRequest(1), Lost(it, std::string("d") + it),
                           {0});
    }
    tracker.OnTargetLost(MakeRequest(0), Lost("later", "d0"),
                         CrashingRequestTracker::kRetentionPeriod);
    EXPECT(tracker.IsBlocked(MakeRequest(1),
                             CrashingRequestTracker::kRetentionPeriod * 2));
  }

  void TestCallsWithoutBodyThatCrashTargetsAreBlockedForAWhile() {
    constexpr size_t kLosses =
        CrashingRequestTracker::kWeakLossEventsUntilBlocked;
    constexpr Millis kLast{60'000};
    CrashingRequestTracker tracker;
    LoseTargetsOfCallsWithoutBody(&tracker, kLosses - 1, kLast);
    EXPECT(!tracker.IsBlocked(MakeCallWithoutBody(), kLast));
    LoseTargetsOfCallsWithoutBody(&tracker, 1, kLast + Millis{1000});
    const Millis end =
        kLast + Millis{1000} + CrashingRequestTracker::kPartBlockPeriod;
    EXPECT(tracker.IsBlocked(MakeCallWithoutBody(), end - Millis{1}));
    EXPECT(!tracker.IsBlocked(MakeCallWithoutBody(), end));
    LoseTargetsOfCallsWithoutBody(&tracker, 1, end);
    EXPECT(tracker.IsBlocked(MakeCallWithoutBody(), end));
  }

  // Calls of the same path are answered, so it is not the path that crashes
  // targets.
  void TestAnswerClearsLossesOfCallsWithoutBody() {
    constexpr size_t kLosses =
        CrashingRequestTracker::kWeakLossEventsUntilBlocked;
    CrashingRequestTracker tracker;
    for (int64_t i = 1; i <= 4; ++i) {
      const Millis at{i * 20'000};
      LoseTargetsOfCallsWithoutBody(&tracker, kLosses - 1, at);
      tracker.OnRequestAnswered(MakeCallWithoutBody(), at, at);
      EXPECT(!tracker.IsBlocked(MakeCallWithoutBody(), at));
    }
  }

  void TestSteadyLossesInADomainAreNotOneEvent() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 10; ++i) {
      tracker.OnTargetLost({static_cast<uint64_t>(10 + i), {kDeadlyPart}},
                           Lost("t" + std::to_string(i), "d0"), {i * 400});
    }
    EXPECT(tracker.IsBlocked({99, {kDeadlyPart}}, {4000}));
  }

 private:
  static constexpr uint64_t kCommonPart = 1001;
  static constexpr uint64_t kDeadlyPart = 1002;

  /// Two requests crash two targets each, a second apart.
  static RequestContent MakeCallWithoutBody() {
    RequestContent content = MakeRequest(1);
    content.is_loss_weak = true;
    return content;
  }

  /// Loses `n` targets one after the other, the last one at `until`.
  static void LoseTargetsOfCallsWithoutBody(CrashingRequestTracker * tracker,
                                            size_t n, Millis until) {
    for (size_t i = 0; i < n; ++i) {
      const Millis at = until - Millis{static_cast<int64_t>(n - i - 1) * 1000};
      tracker->OnTargetLost(MakeCallWithoutBody(),
                            {{"a", at.count}, "s", "d" + std::to_string(i % 4)},
                            at);
    }
  }

  static void LoseFourTargets(CrashingRequestTracker * tracker,
                              const std::vector<uint64_t>& parts) {
    for (int64_t i = 0; i < 4; ++i) {
      tracker->OnTargetLost({static_cast<uint64_t>(10 + i / 2), parts},
                            Lost("t" + std::to_string(i), "d0"), {i * 1000});
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTrackerTest);

}  // namespace

}  // namespace daisypond::forward

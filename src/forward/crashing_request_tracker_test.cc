#include "forward/crashing_request_tracker.h"

#include <string>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

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
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestThreeLostTargetsBlockTheRequest() {
    CrashingRequestTracker tracker;
    tracker.OnTargetLost(1, Lost("a", "d0"), {0});
    tracker.OnTargetLost(1, Lost("b", "d1"), {10});
    EXPECT(!tracker.IsBlocked(1, {20}));
    tracker.OnTargetLost(1, Lost("c", "d2"), {20});
    EXPECT(tracker.IsBlocked(1, {30}));
    EXPECT(!tracker.IsBlocked(2, {30}));
  }

  void TestRepeatedLossOfOneTargetCountsOnce() {
    CrashingRequestTracker tracker;
    for (int i = 0; i < 5; ++i) {
      tracker.OnTargetLost(1, Lost("a", "d0"), {i});
    }
    EXPECT(!tracker.IsBlocked(1, {10}));
  }

  void TestAnswerClearsLosses() {
    CrashingRequestTracker tracker;
    for (const char* it : {"a", "b", "c"}) {
      tracker.OnTargetLost(1, Lost(it, std::string("d") + it), {0});
    }
    tracker.OnRequestAnswered(1, {0});
    EXPECT(!tracker.IsBlocked(1, {1}));
  }

  // Guards against blocking a request that crashes no target. All engines of
  // three failure domains crash, one domain after the other, while many callers
  // send identical requests.
  void TestCrashesOfWholeDomainsBlockNoRequest() {
    CrashingRequestTracker tracker;
    for (int64_t crash = 0; crash < 3; ++crash) {
      for (int engine = 0; engine < 8; ++engine) {
        tracker.OnTargetLost(1,
                             Lost("e" + std::to_string(crash * 8 + engine),
                                  "d" + std::to_string(crash)),
                             {crash * 6500 + engine * 40});
      }
    }
    EXPECT(!tracker.IsBlocked(1, {14'000}));
  }

  void TestLossesExpireAfterRetentionPeriod() {
    CrashingRequestTracker tracker;
    tracker.OnTargetLost(1, Lost("a", "d0"), {0});
    tracker.OnTargetLost(1, Lost("b", "d1"), {0});
    tracker.OnTargetLost(1, Lost("c", "d2"),
                         CrashingRequestTracker::kRetentionPeriod);
    EXPECT(!tracker.IsBlocked(1, CrashingRequestTracker::kRetentionPeriod));
  }

  void TestRequestIsReleasedAfterBlockPeriod() {
    CrashingRequestTracker tracker;
    for (const char* it : {"a", "b", "c"}) {
      tracker.OnTargetLost(1, Lost(it, std::string("d") + it), {0});
    }
    EXPECT(
        tracker.IsBlocked(1, CrashingRequestTracker::kBlockPeriod - Millis{1}));
    EXPECT(!tracker.IsBlocked(1, CrashingRequestTracker::kBlockPeriod));
  }

  void TestTrackedRequestsAreBounded() {
    CrashingRequestTracker tracker;
    for (uint64_t i = 0;
         i < CrashingRequestTracker::kMaximumTrackedRequests + 100; ++i) {
      for (const char* it : {"a", "b", "c"}) {
        tracker.OnTargetLost(i, Lost(it, std::string("d") + it),
                             {static_cast<int64_t>(i)});
      }
    }
    const auto last = CrashingRequestTracker::kMaximumTrackedRequests + 99;
    EXPECT(tracker.IsBlocked(last, {static_cast<int64_t>(last)}));
    EXPECT(!tracker.IsBlocked(0, {static_cast<int64_t>(last)}));
  }

  void TestRestartedInstanceLearnsLossesFromPeer() {
    CrashingRequestTracker peer;
    for (const char* it : {"a", "b", "c"}) {
      peer.OnTargetLost(1, Lost(it, std::string("d") + it), {0});
    }
    peer.OnTargetLost(2, Lost("a", "da"), {0});
    CrashingRequestTracker restarted;
    EXPECT_EQ(size_t{1}, peer.SharedRequests({1000}).size());
    for (const SuspectedRequest& it : peer.SharedRequests({1000})) {
      // The clock of the restarted instance shows another time.
      restarted.OnSuspectedByPeer(it, {700'000});
    }
    EXPECT(restarted.IsBlocked(1, {700'000}));
    EXPECT(!restarted.IsBlocked(2, {700'000}));
    EXPECT(!restarted.IsBlocked(
        1, CrashingRequestTracker::kBlockPeriod + Millis{699'000}));
  }

  void TestAnswerClearsLossesAtPeers() {
    CrashingRequestTracker tracker;
    CrashingRequestTracker peer;
    for (const char* it : {"a", "b", "c"}) {
      tracker.OnTargetLost(1, Lost(it, std::string("d") + it), {0});
      peer.OnTargetLost(1, Lost(it, std::string("d") + it), {0});
    }
    tracker.OnRequestAnswered(1, {100});
    for (const SuspectedRequest& it : tracker.SharedRequests({200})) {
      peer.OnSuspectedByPeer(it, {200});
    }
    for (const SuspectedRequest& it : peer.SharedRequests({300})) {
      tracker.OnSuspectedByPeer(it, {300});
    }
    EXPECT(!peer.IsBlocked(1, {300}));
    EXPECT(!tracker.IsBlocked(1, {300}));
  }

  // Peers are told of few requests; harmless ones must not displace others.
  void TestAnsweredRequestWithOneLossIsNotShared() {
    CrashingRequestTracker tracker;
    for (uint64_t i = 1; i <= 100; ++i) {
      tracker.OnTargetLost(i, Lost("a", "d0"), {0});
      tracker.OnRequestAnswered(i, {10});
    }
    EXPECT(tracker.SharedRequests({20}).empty());
  }

  void TestSimultaneousCopiesOfARequestDoNotExcuseEachOther() {
    CrashingRequestTracker tracker;
    tracker.OnTargetLost(1, Lost("a", "d0"), {0});
    tracker.OnTargetLost(1, Lost("b", "d0"), {150});
    tracker.OnTargetLost(1, Lost("c", "d1"), {1000});
    EXPECT(tracker.IsBlocked(1, {1000}));
  }

  // Each failed connection to a target that is down reports it as lost again.
  void TestTargetThatStaysDownExcusesNoOtherLoss() {
    CrashingRequestTracker tracker;
    for (int64_t at = 0; at <= 8000; at += 200) {
      tracker.OnTargetLost(0, Lost("down", "d0"), {at});
      if (at >= 2000 && at % 2000 == 0 && at < 8000) {
        tracker.OnTargetLost(1, Lost("e" + std::to_string(at), "d0"),
                             {at + 100});
      }
    }
    EXPECT(tracker.IsBlocked(1, {8000}));
  }

  void TestLossInAnotherServiceExcusesNoLoss() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 3; ++i) {
      const std::string n = std::to_string(i);
      tracker.OnTargetLost(0, {{"other" + n, 1}, "other", "d0"}, {i * 1000});
      tracker.OnTargetLost(1, Lost("e" + n, "d0"), {i * 1000 + 100});
    }
    EXPECT(tracker.IsBlocked(1, {3000}));
  }

  void TestCrashesOfARestartedTargetCountEach() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 3; ++i) {
      tracker.OnTargetLost(1, {{"a", i + 1}, "s", "d0"}, {i * 5000});
    }
    EXPECT(tracker.IsBlocked(1, {10'000}));
  }

  // Another target of the domain crashes each time that the request crashes
  // one.
  void TestRequestThatAlwaysMeetsACommonLossIsBlocked() {
    CrashingRequestTracker tracker;
    for (int64_t i = 0; i < 5; ++i) {
      const std::string n = std::to_string(i);
      tracker.OnTargetLost(0, Lost("other" + n, "d0"), {i * 2000});
      tracker.OnTargetLost(1, Lost("e" + n, "d0"), {i * 2000 + 100});
    }
    EXPECT(tracker.IsBlocked(1, {9000}));
  }

  void TestBlockedRequestIsStillBlockedAfterRetentionPeriod() {
    CrashingRequestTracker tracker;
    for (const char* it : {"a", "b", "c"}) {
      tracker.OnTargetLost(1, Lost(it, std::string("d") + it), {0});
    }
    tracker.OnTargetLost(0, Lost("later", "d0"),
                         CrashingRequestTracker::kRetentionPeriod);
    EXPECT(tracker.IsBlocked(1, CrashingRequestTracker::kRetentionPeriod * 2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTrackerTest);

}  // namespace

}  // namespace daisypond::forward

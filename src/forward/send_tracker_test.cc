#include "forward/send_tracker.h"

#include <set>
#include <string>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using catalog::Repeatability;

SUITE(SendTrackerTest) {
  CPPUNIT_TEST_SUITE(SendTrackerTest);
  CPPUNIT_TEST(TestRunOnceIsNotSentAgainAfterUnknownOutcome);
  CPPUNIT_TEST(TestRunOnceIsSentAgainAfterARefusal);
  CPPUNIT_TEST(TestNoSendWhileAnotherIsOpen);
  CPPUNIT_TEST(TestIdempotentStopsAtMaximumTargets);
  CPPUNIT_TEST(TestStatusOfMayHaveRunIsNeither503Nor429);
  CPPUNIT_TEST(TestExecutionIsCorrectForAnySendHistory);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRunOnceIsNotSentAgainAfterUnknownOutcome() {
    SendTracker tracker(Repeatability::kRunOnce, 3);
    tracker.OnSend("a");
    tracker.OnSendEnded("a", SendOutcome::kUnknown);
    EXPECT(!tracker.MaySendAgain());
    EXPECT(tracker.Execution() == base::Execution::kMayHaveRun);
  }

  void TestRunOnceIsSentAgainAfterARefusal() {
    SendTracker tracker(Repeatability::kRunOnce, 1);
    tracker.OnSend("a");
    tracker.OnSendEnded("a", SendOutcome::kRefused);
    tracker.OnSend("b");
    tracker.OnSendEnded("b", SendOutcome::kNotSent);
    EXPECT(tracker.MaySendAgain());
    EXPECT(tracker.Execution() == base::Execution::kNotRun);
    EXPECT_EQ(1, tracker.SendCount());
  }

  void TestNoSendWhileAnotherIsOpen() {
    SendTracker tracker(Repeatability::kIdempotent, 5);
    tracker.OnSend("a");
    EXPECT(!tracker.MaySendAgain());
  }

  void TestIdempotentStopsAtMaximumTargets() {
    SendTracker tracker(Repeatability::kIdempotent, 2);
    tracker.OnSend("a");
    tracker.OnSendEnded("a", SendOutcome::kUnknown);
    EXPECT(tracker.MaySendAgain());
    EXPECT(!tracker.MaySendTo("a"));
    tracker.OnSend("b");
    tracker.OnSendEnded("b", SendOutcome::kUnknown);
    EXPECT(!tracker.MaySendAgain());
  }

  void TestStatusOfMayHaveRunIsNeither503Nor429() {
    constexpr int kUnavailable = 503;
    constexpr int kTooMany = 429;
    for (size_t i = 0; i < base::kReasonNames.Size(); ++i) {
      base::Verdict verdict;
      verdict.reason = static_cast<base::Reason>(i);
      verdict.execution = base::Execution::kMayHaveRun;
      const int status = HttpStatusForVerdict(verdict);
      EXPECT(status != kUnavailable && status != kTooMany);
    }
  }

  // For any sequence of outcomes, a request that may run only once is never
  // sent again while a target may have run it. Execution() returns kNotRun only
  // if no target may have run the request.
  void TestExecutionIsCorrectForAnySendHistory() {
    EXPECT(rc::check("Execution() matches the send history", [] {
      const auto repeatability =
          *rc::gen::element(Repeatability::kRunOnce, Repeatability::kIdempotent,
                            Repeatability::kResumable);
      const int maximum_targets = *rc::gen::inRange(1, 6);
      const auto outcomes =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
      SendTracker tracker(repeatability, maximum_targets);
      std::set<std::string> targets_that_may_have_run;
      for (size_t i = 0; i < outcomes.size() && tracker.MaySendAgain(); ++i) {
        const std::string target = fmt::format("t{}", i % 7);
        if (!tracker.MaySendTo(target)) {
          continue;
        }
        RC_ASSERT(repeatability != Repeatability::kRunOnce ||
                  targets_that_may_have_run.empty());
        tracker.OnSend(target);
        RC_ASSERT(tracker.Execution() == base::Execution::kMayHaveRun);
        const auto outcome = static_cast<SendOutcome>(outcomes[i]);
        if (outcome == SendOutcome::kAnswered ||
            outcome == SendOutcome::kUnknown) {
          targets_that_may_have_run.insert(target);
        }
        tracker.OnSendEnded(target, outcome);
        RC_ASSERT(targets_that_may_have_run.size() <=
                  static_cast<size_t>(maximum_targets));
        RC_ASSERT((tracker.Execution() == base::Execution::kNotRun) ==
                  targets_that_may_have_run.empty());
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SendTrackerTest);

}  // namespace

}  // namespace daisypond::forward

#include "forward/send_ledger.h"

#include <set>
#include <string>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using catalog::Repeatability;

SUITE(SendLedgerTest) {
  CPPUNIT_TEST_SUITE(SendLedgerTest);
  CPPUNIT_TEST(TestRunOnceIsNotSentAgainAfterAnUnknownEnd);
  CPPUNIT_TEST(TestRunOnceIsSentAgainAfterARefusal);
  CPPUNIT_TEST(TestNothingIsSentBesideAnOpenSend);
  CPPUNIT_TEST(TestIdempotentStopsAtTheBoundOnTargets);
  CPPUNIT_TEST(TestStatusSaysNotRunOnlyIfSo);
  CPPUNIT_TEST(TestAnyHistoryKeepsTheVerdictTrue);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRunOnceIsNotSentAgainAfterAnUnknownEnd() {
    SendLedger ledger(Repeatability::kRunOnce, 3);
    ledger.OnSend("a");
    ledger.OnEnded("a", SendOutcome::kUnknown);
    EXPECT(!ledger.MaySendAgain());
    EXPECT(ledger.Execution() == base::Execution::kMayHaveRun);
  }

  void TestRunOnceIsSentAgainAfterARefusal() {
    SendLedger ledger(Repeatability::kRunOnce, 1);
    ledger.OnSend("a");
    ledger.OnEnded("a", SendOutcome::kRefused);
    ledger.OnSend("b");
    ledger.OnEnded("b", SendOutcome::kNotSent);
    EXPECT(ledger.MaySendAgain());
    EXPECT(ledger.Execution() == base::Execution::kNotRun);
    EXPECT_EQ(1, ledger.Sends());
  }

  void TestNothingIsSentBesideAnOpenSend() {
    SendLedger ledger(Repeatability::kIdempotent, 5);
    ledger.OnSend("a");
    EXPECT(!ledger.MaySendAgain());
  }

  void TestIdempotentStopsAtTheBoundOnTargets() {
    SendLedger ledger(Repeatability::kIdempotent, 2);
    ledger.OnSend("a");
    ledger.OnEnded("a", SendOutcome::kUnknown);
    EXPECT(ledger.MaySendAgain());
    EXPECT(!ledger.MaySendTo("a"));
    ledger.OnSend("b");
    ledger.OnEnded("b", SendOutcome::kUnknown);
    EXPECT(!ledger.MaySendAgain());
  }

  void TestStatusSaysNotRunOnlyIfSo() {
    constexpr int kUnavailable = 503;
    constexpr int kTooMany = 429;
    for (size_t i = 0; i < base::kReasonNames.Size(); ++i) {
      base::Verdict verdict;
      verdict.reason = static_cast<base::Reason>(i);
      verdict.execution = base::Execution::kMayHaveRun;
      const int status = StatusOf(verdict);
      EXPECT(status != kUnavailable && status != kTooMany);
    }
  }

  // Whatever happens, a request that may run once is never sent while a target
  // may have it, and "not run" is said only if no target may have begun.
  void TestAnyHistoryKeepsTheVerdictTrue() {
    EXPECT(rc::check("verdicts are true", [] {
      const auto kind =
          *rc::gen::element(Repeatability::kRunOnce, Repeatability::kIdempotent,
                            Repeatability::kResumable);
      const int bound = *rc::gen::inRange(1, 6);
      const auto ends =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
      SendLedger ledger(kind, bound);
      std::set<std::string> began;
      for (size_t i = 0; i < ends.size() && ledger.MaySendAgain(); ++i) {
        const std::string target = fmt::format("t{}", i % 7);
        if (!ledger.MaySendTo(target)) {
          continue;
        }
        RC_ASSERT(kind != Repeatability::kRunOnce || began.empty());
        ledger.OnSend(target);
        RC_ASSERT(ledger.Execution() == base::Execution::kMayHaveRun);
        const auto outcome = static_cast<SendOutcome>(ends[i]);
        if (outcome == SendOutcome::kAnswered ||
            outcome == SendOutcome::kUnknown) {
          began.insert(target);
        }
        ledger.OnEnded(target, outcome);
        RC_ASSERT(began.size() <= static_cast<size_t>(bound));
        RC_ASSERT((ledger.Execution() == base::Execution::kNotRun) ==
                  began.empty());
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SendLedgerTest);

}  // namespace

}  // namespace daisypond::forward

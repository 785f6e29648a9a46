#include "calls/claim_ledger.h"

#include <atomic>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <rapidcheck.h>

#include "tests/fake_store.h"
#include "tests/test_macros.h"

namespace daisypond::calls {

namespace {

using tests::FakeStore;
using Ledger = ClaimLedger<FakeStore>;

GroupCommitterOptions FastOptions() {
  GroupCommitterOptions options;
  options.gather_window = {0};
  options.retry_pause = {0};
  return options;
}

ClaimRequest RequestForAttempt(int64_t attempt, uint64_t body = 1) {
  return {"call/k", body, {attempt}};
}

SUITE(ClaimLedgerTest) {
  CPPUNIT_TEST_SUITE(ClaimLedgerTest);
  CPPUNIT_TEST(TestSecondAttemptGetsRecordedAnswer);
  CPPUNIT_TEST(TestBodyMismatchIsRefused);
  CPPUNIT_TEST(TestClaimWithoutAnswerIsInProgress);
  CPPUNIT_TEST(TestAbandonedKeyIsGrantedOnlyToLaterAttempts);
  CPPUNIT_TEST(TestLostStoreReplyIsResolvedByReading);
  CPPUNIT_TEST(TestUnavailableStoreGrantsNoClaim);
  CPPUNIT_TEST(TestDispatchedClaimCannotBeAbandoned);
  CPPUNIT_TEST(TestConflictDoesNotRefuseOtherWritesOfTheBatch);
  CPPUNIT_TEST(TestBatchingNeedsFewTransactions);
  CPPUNIT_TEST(TestCallRunsAtMostOnceInRandomHistories);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestSecondAttemptGetsRecordedAnswer() {
    auto first = a_.Acquire(RequestForAttempt(1));
    EXPECT(first.outcome == ClaimOutcome::kGranted);
    first.claim.MarkDispatched();
    a_.RecordAnswer(first.claim, {200, "receipt"});
    const auto second = b_.Acquire(RequestForAttempt(2));
    EXPECT(second.outcome == ClaimOutcome::kRecorded);
    EXPECT_EQ(std::string("receipt"), second.answer.body);
  }

  void TestBodyMismatchIsRefused() {
    a_.Acquire(RequestForAttempt(1));
    EXPECT(b_.Acquire(RequestForAttempt(2, 99)).outcome ==
           ClaimOutcome::kBodyMismatch);
    EXPECT(b_.Acquire(RequestForAttempt(1, 99)).outcome ==
           ClaimOutcome::kBodyMismatch);
  }

  void TestClaimWithoutAnswerIsInProgress() {
    a_.Acquire(RequestForAttempt(1));
    EXPECT(b_.Acquire(RequestForAttempt(2)).outcome ==
           ClaimOutcome::kInProgress);
    EXPECT(b_.Acquire(RequestForAttempt(0)).outcome ==
           ClaimOutcome::kInProgress);
  }

  void TestAbandonedKeyIsGrantedOnlyToLaterAttempts() {
    const auto second = b_.Acquire(RequestForAttempt(2));
    EXPECT(b_.Abandon(second.claim) == store::StoreOutcome::kCommitted);
    // The first attempt was delayed and reaches the store only now.
    EXPECT(a_.Acquire(RequestForAttempt(1)).outcome ==
           ClaimOutcome::kAbandoned);
    EXPECT(a_.Acquire(RequestForAttempt(2)).outcome ==
           ClaimOutcome::kAbandoned);
    EXPECT(a_.Acquire(RequestForAttempt(3)).outcome == ClaimOutcome::kGranted);
  }

  void TestLostStoreReplyIsResolvedByReading() {
    table_.SetFaults({0, 0, 0});
    FakeStore lossy(3, {0, 1000, 0});
    Ledger ledger(&lossy, "c", FastOptions(), &metrics_);
    // The replies to reads are lost as well. The ledger cannot find out whether
    // the claim was written, so the call must not be dispatched.
    EXPECT(ledger.Acquire(RequestForAttempt(1)).outcome ==
           ClaimOutcome::kStoreUnavailable);
    FakeStore half(5, {0, 500, 0});
    Ledger other(&half, "d", FastOptions(), &metrics_);
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
      const ClaimRequest request{"call/" + std::to_string(i), 1, {1}};
      granted += other.Acquire(request).outcome == ClaimOutcome::kGranted;
    }
    EXPECT(granted > 80);
  }

  void TestUnavailableStoreGrantsNoClaim() {
    table_.SetFaults({1000, 0, 0});
    EXPECT(a_.Acquire(RequestForAttempt(1)).outcome ==
           ClaimOutcome::kStoreUnavailable);
    EXPECT(a_.Acquire(RequestForAttempt(2)).outcome ==
           ClaimOutcome::kStoreUnavailable);
  }

  void TestDispatchedClaimCannotBeAbandoned() {
    base::Metrics metrics;
    Ledger ledger(&table_, "c", FastOptions(), &metrics);
    auto granted = ledger.Acquire(RequestForAttempt(1));
    EXPECT(granted.claim.MarkDispatched());
    EXPECT(!granted.claim.MarkDispatched());
    EXPECT(ledger.Abandon(granted.claim) == store::StoreOutcome::kNotReached);
    EXPECT_EQ(int64_t{1}, metrics.InvariantViolations(
                              base::Invariant::kNotRunNeverDispatched));
  }

  void TestConflictDoesNotRefuseOtherWritesOfTheBatch() {
    a_.Acquire(RequestForAttempt(1));
    GroupCommitterOptions options = FastOptions();
    options.gather_window = {50};
    Ledger ledger(&table_, "c", options, &metrics_);
    std::atomic<int> granted = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < 10; ++i) {
      threads.emplace_back([&, i] {
        const std::string key = i == 0 ? "call/k" : "call/" + std::to_string(i);
        const ClaimRequest request{key, 1, {1}};
        granted += ledger.Acquire(request).outcome == ClaimOutcome::kGranted;
      });
    }
    for (std::thread& it : threads) {
      it.join();
    }
    EXPECT_EQ(9, granted.load());
  }

  void TestBatchingNeedsFewTransactions() {
    GroupCommitterOptions options;
    options.gather_window = {50};
    Ledger ledger(&table_, "c", options, &metrics_);
    const int before = table_.transaction_count;
    std::vector<std::thread> threads;
    for (int i = 0; i < 50; ++i) {
      threads.emplace_back([&ledger, i] {
        ledger.Acquire({"call/" + std::to_string(i), 1, {1}});
      });
    }
    for (std::thread& it : threads) {
      it.join();
    }
    EXPECT(table_.transaction_count - before <= 25);
  }

  /// Runs attempts with one key at two instances. Their steps interleave in
  /// random order, and the store loses requests, loses replies and delays
  /// writes.
  void TestCallRunsAtMostOnceInRandomHistories() {
    EXPECT(rc::check("a key runs at most once", [](uint64_t seed) {
      std::mt19937_64 random(seed);
      FakeStore table(seed, {50, 100, 100});
      base::Metrics metrics;
      Ledger ledgers[2] = {{&table, "a", FastOptions(), &metrics},
                           {&table, "b", FastOptions(), &metrics}};
      struct OpenAttempt {
        int64_t attempt = 0;
        ClaimResult result;
        bool has_claim = false;
        Ledger* ledger = nullptr;
      };
      std::vector<OpenAttempt> open;
      int64_t attempts = 0;
      int runs = 0;
      bool is_not_run_reported = false;
      int64_t last_attempt_reported_not_run = 0;
      for (int i = 0; i < 25; ++i) {
        if (open.empty() || random() % 3 == 0) {
          open.push_back({++attempts, {}, false, &ledgers[random() % 2]});
          continue;
        }
        const size_t n = random() % open.size();
        OpenAttempt& it = open[n];
        if (!it.has_claim) {
          it.result = it.ledger->Acquire(RequestForAttempt(it.attempt));
          it.has_claim = true;
          const auto outcome = it.result.outcome;
          const bool is_abandoned = outcome == ClaimOutcome::kAbandoned;
          const bool is_first_refused =
              outcome == ClaimOutcome::kStoreUnavailable && it.attempt == 1;
          if (is_abandoned || is_first_refused) {
            is_not_run_reported = true;
            last_attempt_reported_not_run =
                std::max(last_attempt_reported_not_run, it.attempt);
          }
          if (outcome != ClaimOutcome::kGranted) {
            open.erase(open.begin() + static_cast<long>(n));
          }
          continue;
        }
        if (random() % 4 == 0) {
          if (it.ledger->Abandon(it.result.claim) ==
              store::StoreOutcome::kCommitted) {
            is_not_run_reported = true;
            last_attempt_reported_not_run =
                std::max(last_attempt_reported_not_run, it.attempt);
          }
        } else if (it.result.claim.MarkDispatched()) {
          ++runs;
          // Once an attempt was reported as not run, neither that attempt nor
          // an earlier one may run.
          RC_ASSERT(!is_not_run_reported ||
                    it.attempt > last_attempt_reported_not_run);
          if (random() % 2 == 0) {
            it.ledger->RecordAnswer(it.result.claim, {200, "ok"});
          }
        }
        open.erase(open.begin() + static_cast<long>(n));
      }
      RC_ASSERT(runs <= 1);
      RC_ASSERT(metrics.InvariantViolations(
                    base::Invariant::kNotRunNeverDispatched) == 0);
    }));
  }

 private:
  base::Metrics metrics_;
  FakeStore table_;
  Ledger a_{&table_, "a", FastOptions(), &metrics_};
  Ledger b_{&table_, "b", FastOptions(), &metrics_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimLedgerTest);

}  // namespace

}  // namespace daisypond::calls

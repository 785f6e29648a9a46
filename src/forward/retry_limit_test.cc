#include "forward/retry_limit.h"
#include "forward/retry_pool.h"

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

constexpr const char* kService = "s";

RetryLimitOptions Options() {
  RetryLimitOptions options;
  options.window = {10'000};
  options.ratio = 0.76;
  options.allowance = 3;
  return options;
}

SUITE(RetryLimitTest) {
  CPPUNIT_TEST_SUITE(RetryLimitTest);
  CPPUNIT_TEST(TestErrorRetriesLeaveRetriesForLostWork);
  CPPUNIT_TEST(TestBorrowedRetriesExpire);
  CPPUNIT_TEST(TestPooledShareDoesNotAddToLocalLimit);
  CPPUNIT_TEST(TestRestartedInstanceHasNoAllowanceForAWindow);
  CPPUNIT_TEST(TestPoolCountsExpireAfterTheWindow);
  CPPUNIT_TEST(TestPoolCoversLossOfWholeFailureDomain);
  CPPUNIT_TEST(TestTotalRetriesOfAllInstancesAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestErrorRetriesLeaveRetriesForLostWork() {
    RetryLimit limit(Options());
    for (int i = 0; i < 10; ++i) {
      limit.OnRequest(kService, {0});
    }
    int n = 0;
    while (limit.TakeRetry(kService, RetryPurpose::kReplaceErrorAnswer, {1})) {
      ++n;
    }
    EXPECT_EQ(6, n);
    EXPECT(limit.TakeRetry(kService, RetryPurpose::kResumeLostWork, {1}));
    // With a pool, no retries are reserved for kResumeLostWork.
    limit.SetUsesPool(true);
    while (limit.TakeRetry(kService, RetryPurpose::kReplaceErrorAnswer, {2})) {
      ++n;
    }
    EXPECT_EQ(9, n);
  }

  void TestBorrowedRetriesExpire() {
    RetryLimitOptions options = Options();
    options.allowance = 0;
    RetryLimit limit(options);
    EXPECT(!limit.TakeRetry(kService, RetryPurpose::kResumeLostWork, {0}));
    limit.AddBorrowedRetries(kService, 2, {0});
    EXPECT(limit.TakeRetry(kService, RetryPurpose::kResumeLostWork, {500}));
    EXPECT(!limit.TakeRetry(kService, RetryPurpose::kResumeLostWork, {1000}));
  }

  void TestPooledShareDoesNotAddToLocalLimit() {
    RetryLimitOptions options = Options();
    options.allowance = 0;
    options.ratio = 1;
    RetryLimit limit(options);
    limit.SetUsesPool(true);
    for (int i = 0; i < 10; ++i) {
      limit.OnRequest(kService, {0});
    }
    EXPECT_EQ(10, limit.TakeUnreportedRequests().at(kService));
    EXPECT(limit.TakeUnreportedRequests().empty());
    int n = 0;
    while (limit.TakeRetry(kService, RetryPurpose::kResumeLostWork, {1})) {
      ++n;
    }
    EXPECT_EQ(2, n);
  }

  // Before the restart it may have used its allowance.
  void TestRestartedInstanceHasNoAllowanceForAWindow() {
    RetryLimitOptions options = Options();
    options.allowance_from = {10'000};
    RetryLimit limit(options);
    EXPECT(!limit.TakeRetry(kService, RetryPurpose::kResumeLostWork, {9999}));
    EXPECT(limit.TakeRetry(kService, RetryPurpose::kResumeLostWork, {10'000}));
  }

  void TestPoolCountsExpireAfterTheWindow() {
    RetryPool pool({10'000}, 0.5);
    EXPECT_EQ(0, pool.GrantRetries(kService, 3, {0}));
    pool.OnRequests(kService, 10, {0});
    EXPECT_EQ(3, pool.GrantRetries(kService, 3, {1}));
    EXPECT_EQ(2, pool.GrantRetries(kService, 3, {2}));
    EXPECT_EQ(0, pool.GrantRetries(kService, 3, {3}));
    pool.OnRequests(kService, 4, {5000});
    // At this time the first 10 requests have expired, but the 5 granted
    // retries still count.
    EXPECT_EQ(0, pool.GrantRetries(kService, 3, {10'000}));
    EXPECT_EQ(2, pool.GrantRetries(kService, 3, {10'003}));
    pool.SetAllowance(1, {10'003});
    EXPECT_EQ(0, pool.GrantRetries("another", 3, {10'002}));
    EXPECT_EQ(1, pool.GrantRetries("another", 3, {10'003}));
  }

  // Simulates the loss of a failure domain: 60 instances receive 76 requests a
  // second, unevenly distributed, then the 20 instances of one domain lose 15
  // streams each at once. All instances together have enough retries, so each
  // stream must get one.
  void TestPoolCoversLossOfWholeFailureDomain() {
    constexpr size_t kInstances = 60;
    constexpr size_t kAffectedInstances = 20;
    constexpr int kLostStreams = 15;
    std::mt19937_64 random(7);
    RetryLimitOptions options = Options();
    options.allowance = 1.5;
    std::vector<RetryLimit> limits(kInstances, RetryLimit(options));
    RetryPool pool(options.window, options.ratio * options.pooled_share);
    for (int64_t now = 0; now < 10'000; now += 13) {
      RetryLimit& limit = limits[random() % kInstances];
      limit.SetUsesPool(true);
      limit.OnRequest(kService, {now});
      for (const auto& it : limit.TakeUnreportedRequests()) {
        pool.OnRequests(it.first, it.second, {now});
      }
    }
    int n_cut_streams = 0;
    for (size_t i = 0; i < kAffectedInstances; ++i) {
      for (int k = 0; k < kLostStreams; ++k) {
        if (!limits[i].TakeRetry(kService, RetryPurpose::kResumeLostWork,
                                 {10'000})) {
          limits[i].AddBorrowedRetries(
              kService, pool.GrantRetries(kService, 1, {10'000}), {10'000});
          n_cut_streams +=
              limits[i].TakeRetry(kService, RetryPurpose::kResumeLostWork,
                                  {10'000})
                  ? 0
                  : 1;
        }
      }
    }
    EXPECT_EQ(0, n_cut_streams);
  }

  // Requests are unevenly distributed over instances that borrow retries from
  // shared pools. Each instance retries as often as its own limit and the pools
  // allow. In every window, the number of retries of all instances together
  // must not exceed the ratio times the number of requests, plus a constant.
  // Two forms of this limit are checked, each with its own window and constant.
  void TestTotalRetriesOfAllInstancesAreBounded() {
    EXPECT(rc::check("total retries are bounded", [](uint64_t seed) {
      constexpr size_t kInstances = 6;
      constexpr double kRatio = 0.8;
      // Covers the instances' allowances, 18 in total.
      constexpr double kSlack = 30;
      std::mt19937_64 random(seed);
      std::vector<RetryLimit> limits(kInstances, RetryLimit(Options()));
      std::vector<RetryPool> pools(
          2, RetryPool(Options().window,
                       Options().ratio * Options().pooled_share));
      for (RetryLimit& it : limits) {
        it.SetUsesPool(true);
      }
      std::deque<int64_t> requests;
      std::deque<int64_t> retries;
      for (int64_t now = 0; now < 40'000; now += 50) {
        const size_t receiving_instance =
            std::min(random() % kInstances, random() % 3);
        for (uint64_t i = 0; i < random() % 4; ++i) {
          limits[receiving_instance].OnRequest(kService, {now});
          requests.push_back(now);
        }
        if (now % 500 == 0) {
          for (RetryLimit& it : limits) {
            for (const auto& report : it.TakeUnreportedRequests()) {
              pools[random() % pools.size()].OnRequests(report.first,
                                                        report.second, {now});
            }
          }
        }
        const size_t retrying_instance = random() % kInstances;
        for (uint64_t i = 0; i < random() % 8; ++i) {
          if (!limits[retrying_instance].TakeRetry(
                  kService, RetryPurpose::kResumeLostWork, {now})) {
            RetryPool& pool = pools[random() % pools.size()];
            limits[retrying_instance].AddBorrowedRetries(
                kService, pool.GrantRetries(kService, 3, {now}), {now});
            continue;
          }
          retries.push_back(now);
        }
        // The retries in the window of 10 s that ends now are bounded by the
        // ratio times the largest number of requests in any of three windows of
        // 10 s: those that end now, 5 s ago and 10 s ago.
        const auto within = [&](const std::deque<int64_t>& times, int64_t from,
                                int64_t to) {
          return static_cast<double>(std::count_if(
              times.begin(), times.end(),
              [&](int64_t it) { return it > now - from && it <= now - to; }));
        };
        const double maximum_requests = std::max(
            {within(requests, 10'000, 0), within(requests, 15'000, 5000),
             within(requests, 20'000, 10'000)});
        RC_ASSERT(within(retries, 10'000, 0) <=
                  kRatio * maximum_requests + kSlack);
        // A borrowed retry may be used up to one second after the pool granted
        // and counted it. The retries of the last 9 s were therefore all
        // counted within the last 10 s. Pools count a request up to 0.5 s after
        // it arrived.
        RC_ASSERT(within(retries, 9000, 0) <=
                  Options().ratio * within(requests, 11'000, 0) +
                      Options().allowance * kInstances);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryLimitTest);

}  // namespace

}  // namespace daisypond::forward

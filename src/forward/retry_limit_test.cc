#include "forward/retry_limit.h"

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
  CPPUNIT_TEST(TestImprovementsLeaveRoomForRescues);
  CPPUNIT_TEST(TestBorrowedSendsRunOut);
  CPPUNIT_TEST(TestLenderKeepsHalf);
  CPPUNIT_TEST(TestAllInstancesTogetherKeepTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestImprovementsLeaveRoomForRescues() {
    RetryLimit limit(Options());
    for (int i = 0; i < 10; ++i) {
      limit.OnRequest(kService, {0});
    }
    int n = 0;
    while (limit.TakeRetry(kService, RetryUse::kImprove, {1})) {
      ++n;
    }
    EXPECT_EQ(6, n);
    EXPECT(limit.TakeRetry(kService, RetryUse::kRescue, {1}));
  }

  void TestBorrowedSendsRunOut() {
    RetryLimitOptions options = Options();
    options.allowance = 0;
    RetryLimit limit(options);
    EXPECT(!limit.TakeRetry(kService, RetryUse::kRescue, {0}));
    limit.OnBorrowed(kService, 2, {0});
    EXPECT(limit.TakeRetry(kService, RetryUse::kRescue, {500}));
    EXPECT(!limit.TakeRetry(kService, RetryUse::kRescue, {1000}));
  }

  void TestLenderKeepsHalf() {
    RetryLimitOptions options = Options();
    options.allowance = 10;
    RetryLimit limit(options);
    EXPECT_EQ(5, limit.Lend(kService, 100, {0}));
    EXPECT(limit.TakeRetry(kService, RetryUse::kRescue, {0}));
  }

  // Requests are spread unevenly and each instance sends as much as it may,
  // with loans: no window of all instances together goes over the bound.
  void TestAllInstancesTogetherKeepTheBound() {
    EXPECT(rc::check("the shared bound holds", [](uint64_t seed) {
      constexpr size_t kInstances = 6;
      std::mt19937_64 random(seed);
      std::vector<RetryLimit> limits(kInstances, RetryLimit(Options()));
      std::deque<int64_t> requests;
      std::deque<int64_t> sends;
      for (int64_t now = 0; now < 40'000; now += 50) {
        const size_t busy = std::min(random() % kInstances, random() % 3);
        for (uint64_t i = 0; i < random() % 4; ++i) {
          limits[busy].OnRequest(kService, {now});
          requests.push_back(now);
        }
        const size_t needy = random() % kInstances;
        for (uint64_t i = 0; i < random() % 8; ++i) {
          if (!limits[needy].TakeRetry(kService, RetryUse::kRescue, {now})) {
            const size_t lender = random() % kInstances;
            limits[needy].OnBorrowed(
                kService, limits[lender].Lend(kService, 3, {now}), {now});
            continue;
          }
          sends.push_back(now);
        }
        // Borrowed sends are made up to a second after they were counted, so
        // the judged window is that much shorter than the counted one.
        const auto since = [&](const std::deque<int64_t>& times, int64_t span) {
          return std::count_if(times.begin(), times.end(),
                               [&](int64_t it) { return it > now - span; });
        };
        const double bound =
            0.76 * static_cast<double>(since(requests, 11'000)) +
            3.0 * kInstances;
        RC_ASSERT(static_cast<double>(since(sends, 9'000)) <= bound);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryLimitTest);

}  // namespace

}  // namespace daisypond::forward

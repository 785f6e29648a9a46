#include "forward/request_permit_pool.h"

#include <deque>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

const TargetProcess kTarget{"t", 1};

SUITE(RequestPermitPoolTest) {
  CPPUNIT_TEST_SUITE(RequestPermitPoolTest);
  CPPUNIT_TEST(TestNewHolderGrantsNothingAtOnce);
  CPPUNIT_TEST(TestPermitsFollowTheLimit);
  CPPUNIT_TEST(TestVeryLowLimitIsStillTried);
  CPPUNIT_TEST(TestRestartedTargetHasItsOwnPermits);
  CPPUNIT_TEST(TestRateHoldsForAnyLoadAndChangeOfHolder);
  CPPUNIT_TEST(TestManyInstancesUseTheLimitWithFewQuestions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestNewHolderGrantsNothingAtOnce() {
    RequestPermitPool pool;
    const RequestPermit permit = pool.Take(kTarget, 2, {1000});
    EXPECT(!permit.is_granted);
    EXPECT(permit.wait >= Millis{500} && permit.wait <= Millis{501});
    EXPECT(pool.Take(kTarget, 2, Millis{1000} + permit.wait).is_granted);
  }

  void TestPermitsFollowTheLimit() {
    EXPECT_EQ(20, PermitsWithin(10'000, 2));
    EXPECT_EQ(50, PermitsWithin(10'000, 5));
  }

  void TestVeryLowLimitIsStillTried() {
    EXPECT_EQ(2, PermitsWithin(10'000, 0));
  }

  void TestRestartedTargetHasItsOwnPermits() {
    RequestPermitPool pool;
    pool.Take(kTarget, 1, {0});
    EXPECT(pool.Take(kTarget, 1, {2000}).is_granted);
    EXPECT(!pool.Take({"t", 2}, 1, {2000}).is_granted);
  }

  // What a target tolerates within 4 s of any load, also while two instances
  // that disagree on the membership hold its permits for two of the seconds.
  void TestRateHoldsForAnyLoadAndChangeOfHolder() {
    EXPECT(rc::check("granted permits stay within the tolerated rate", [] {
      const double limit = *rc::gen::inRange(1, 100) / 10.0;
      const double allowed = limit * 4 * 1.5 + 5;
      std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
      RequestPermitPool first;
      RequestPermitPool second;
      std::deque<int64_t> granted;
      for (int64_t at = 0; at < 20'000; at += 1 + random() % 200) {
        const bool asks_first = at < 8000 || (at < 10'000 && random() % 2 == 0);
        if ((asks_first ? first : second)
                .Take(kTarget, limit, {at})
                .is_granted) {
          granted.push_back(at);
        }
        while (!granted.empty() && granted.front() + 4000 <= at) {
          granted.pop_front();
        }
        RC_ASSERT(static_cast<double>(granted.size()) <= allowed);
      }
    }));
  }

  // Load: 83 instances want to send to one target all the time.
  void TestManyInstancesUseTheLimitWithFewQuestions() {
    constexpr size_t kInstances = 83;
    constexpr double kLimit = 3;
    RequestPermitPool pool;
    std::vector<Millis> asks_at(kInstances);
    int n_granted = 0;
    int n_asked = 0;
    for (Millis now{0}; now < Millis{20'000}; now = now + Millis{10}) {
      for (Millis& it : asks_at) {
        if (now < it) {
          continue;
        }
        const RequestPermit permit = pool.Take(kTarget, kLimit, now);
        ++n_asked;
        n_granted += permit.is_granted ? 1 : 0;
        it = now + permit.wait;
      }
    }
    EXPECT(n_granted >= 55 && n_granted <= 60);
    EXPECT(n_asked < 20 * static_cast<int>(kInstances));
  }

 private:
  static int PermitsWithin(int64_t duration_ms, double limit) {
    RequestPermitPool pool;
    int n = 0;
    for (int64_t at = 0; at <= duration_ms; at += 10) {
      n += pool.Take(kTarget, limit, {at}).is_granted ? 1 : 0;
    }
    return n;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPermitPoolTest);

}  // namespace

}  // namespace daisypond::forward

#include "generation/resume_policy.h"

#include "tests/test_macros.h"

namespace daisypond::generation {

namespace {

using base::Millis;

intents::ResumeSettings MakeSettings(double latency, double resource) {
  intents::ResumeSettings settings;
  settings.latency_weight = latency;
  settings.resource_weight = resource;
  return settings;
}

SUITE(GapStatisticsTest) {
  CPPUNIT_TEST_SUITE(GapStatisticsTest);
  CPPUNIT_TEST(TestUnfinishedGapsLengthenTheTimeout);
  CPPUNIT_TEST(TestWeightsDetermineTheTimeout);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A policy with a short timeout cancels attempts before long gaps end and so
  /// never measures them. It must not conclude that there are no long gaps.
  void TestUnfinishedGapsLengthenTheTimeout() {
    GapStatistics gaps;
    const CostPolicy policy(MakeSettings(1, 10));
    for (int i = 0; i < 2000; ++i) {
      gaps.AddGap(i % 50 == 0 ? Millis{600} : Millis{20});
      if (i % 100 == 0) {
        gaps.AddUnfinishedGap();
      }
    }
    EXPECT(policy.SilenceTimeout(gaps, 100).count >= 700);
  }

  void TestWeightsDetermineTheTimeout() {
    GapStatistics gaps;
    for (int i = 0; i < 5000; ++i) {
      gaps.AddGap(i % 100 == 0 ? Millis{250 + i % 700} : Millis{20});
    }
    gaps.AddLoss();
    const Millis latency_weighted =
        CostPolicy(MakeSettings(100, 1)).SilenceTimeout(gaps, 100);
    const Millis resource_weighted =
        CostPolicy(MakeSettings(1, 10)).SilenceTimeout(gaps, 100);
    EXPECT(latency_weighted < resource_weighted);
    EXPECT(resource_weighted.count >= 1000);
    EXPECT(resource_weighted.count <= 2500);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GapStatisticsTest);

}  // namespace

}  // namespace daisypond::generation

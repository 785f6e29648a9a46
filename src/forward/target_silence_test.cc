#include "forward/target_silence.h"
#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;
using catalog::Repeatability;

SUITE(TargetSilenceTest) {
  CPPUNIT_TEST_SUITE(TargetSilenceTest);
  CPPUNIT_TEST(TestRunOnceStreamWaitsForAListedTarget);
  CPPUNIT_TEST(TestRunOnceStreamIsGivenUpOnlyWhenItsTargetIsGone);
  CPPUNIT_TEST(TestStreamsThatCanGoOnElsewhereDoNotWait);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Streams were cut whose target was silent for a second.
  void TestRunOnceStreamWaitsForAListedTarget() {
    for (const int64_t ms : {420, 1000, 5000, 20'000}) {
      EXPECT(ChooseSilenceAction({Millis{ms}, Repeatability::kRunOnce}) ==
             SilenceAction::kWait);
    }
  }

  void TestRunOnceStreamIsGivenUpOnlyWhenItsTargetIsGone() {
    TargetSilence silence{Millis{2000}, Repeatability::kRunOnce};
    silence.is_listed = false;
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kWait);
    silence.duration = Millis{3000};
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kProbe);
  }

  void TestStreamsThatCanGoOnElsewhereDoNotWait() {
    TargetSilence silence{Millis{420}, Repeatability::kResumable};
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kProbe);
    silence.is_copied = true;
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kGiveUp);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSilenceTest);

}  // namespace

}  // namespace daisypond::forward

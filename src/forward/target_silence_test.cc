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
  CPPUNIT_TEST(TestStreamsThatCanGoOnElsewhereAreNotHeldUp);
  CPPUNIT_TEST(TestStreamIsNotGivenUpWhileItsProcessStandsStill);
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
    silence.probe = CallEnd::kAnswered;
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kWait);
    for (const CallEnd it : {CallEnd::kUnanswered, CallEnd::kUnreachable}) {
      silence.probe = it;
      EXPECT(ChooseSilenceAction(silence) == SilenceAction::kGiveUp);
    }
  }

  void TestStreamsThatCanGoOnElsewhereAreNotHeldUp() {
    TargetSilence silence = ResumableSilence(Millis{420});
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kProbe);
    silence.probe = CallEnd::kUnreachable;
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kGiveUp);
    silence.probe = CallEnd::kAnswered;
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kWait);
    silence.is_copied = true;
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kGiveUp);
    silence.duration = Millis{419};
    EXPECT(ChooseSilenceAction(silence) == SilenceAction::kWait);
  }

  // Streams went on at a second engine while the first, which had been silent
  // for a second, went on with them too.
  void TestStreamIsNotGivenUpWhileItsProcessStandsStill() {
    for (const bool is_copied : {false, true}) {
      TargetSilence silence = ResumableSilence(Millis{420});
      silence.is_copied = is_copied;
      silence.probe = CallEnd::kUnanswered;
      for (const int64_t ms : {420, 1200, 1999}) {
        silence.duration = Millis{ms};
        EXPECT(ChooseSilenceAction(silence) == SilenceAction::kWait);
      }
      silence.duration = kLongestStall;
      EXPECT(ChooseSilenceAction(silence) == SilenceAction::kGiveUp);
    }
  }

 private:
  static TargetSilence ResumableSilence(Millis duration) {
    TargetSilence silence{duration, Repeatability::kResumable};
    silence.timeout = Millis{420};
    return silence;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSilenceTest);

}  // namespace

}  // namespace daisypond::forward

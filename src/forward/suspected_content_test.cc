#include "forward/suspected_content.h"

#include "forward/exchange_limits.h"
#include "tests/suspects.h"
#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Reason;
using tests::MakeRequest;

FailedSend Failed(bool is_stream, Reason reason) {
  return {is_stream, SendOutcome::kUnknown, reason, {}};
}

SUITE(SuspectedContentTest) {
  CPPUNIT_TEST_SUITE(SuspectedContentTest);
  CPPUNIT_TEST(TestCallIsSuspectedWhenItsConnectionIsLost);
  CPPUNIT_TEST(TestStreamIsWeaklySuspectedAfterALongRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestCallIsSuspectedWhenItsConnectionIsLost() {
    const RequestContent content = MakeRequest(1);
    for (const Reason it : {Reason::kTargetBroken, Reason::kAnswerTorn}) {
      EXPECT_EQ(content.hash,
                SuspectedContent(content, Failed(false, it)).hash);
    }
    EXPECT(SuspectedContent(content, Failed(false, Reason::kTargetSilent))
               .IsEmpty());
    FailedSend refused = Failed(false, Reason::kTargetBroken);
    refused.outcome = SendOutcome::kRefused;
    EXPECT(SuspectedContent(content, refused).IsEmpty());
  }

  void TestStreamIsWeaklySuspectedAfterALongRun() {
    const RequestContent content = MakeRequest(1);
    FailedSend send = Failed(true, Reason::kAnswerTorn);
    EXPECT_EQ(content.hash, SuspectedContent(content, send).hash);
    send.ran_for = kCrashAttributionPeriod - base::Millis{1};
    EXPECT_EQ(content.hash, SuspectedContent(content, send).hash);
    send.ran_for = kCrashAttributionPeriod;
    const RequestContent long_run = SuspectedContent(content, send);
    EXPECT(long_run.is_loss_weak && long_run.prompt_parts.empty());
    EXPECT(long_run.hash != content.hash);
    EXPECT_EQ(LongRunContent(content).hash, long_run.hash);
    send.reason = Reason::kTargetSilent;
    EXPECT(SuspectedContent(content, send).IsEmpty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectedContentTest);

}  // namespace

}  // namespace daisypond::forward

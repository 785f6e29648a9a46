#include "forward/upload_progress.h"
#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

constexpr Millis kBegan{1000};

SUITE(UploadProgressTest) {
  CPPUNIT_TEST_SUITE(UploadProgressTest);
  CPPUNIT_TEST(TestTargetThatTakesTheRequestIsNotIdle);
  CPPUNIT_TEST(TestTargetThatStopsTakingTheRequestIsIdle);
  CPPUNIT_TEST(TestRequestThatIsTakenAtOnceIsNotAwaitedLonger);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Calls were given up while their target was reading the body.
  void TestTargetThatTakesTheRequestIsNotIdle() {
    UploadProgress upload(1000, kBegan);
    for (size_t n = 1; n < 1000; ++n) {
      const Millis now = kBegan + Millis{200} * static_cast<int64_t>(n);
      upload.Sample(n, now);
      EXPECT(upload.IdleSince() == now);
      EXPECT(!upload.IsComplete());
    }
  }

  void TestTargetThatStopsTakingTheRequestIsIdle() {
    UploadProgress upload(1000, kBegan);
    upload.Sample(500, kBegan + Millis{200});
    for (const int64_t ms : {400, 600, 5000}) {
      upload.Sample(500, kBegan + Millis{ms});
    }
    EXPECT(upload.IdleSince() == kBegan + Millis{200});
  }

  void TestRequestThatIsTakenAtOnceIsNotAwaitedLonger() {
    UploadProgress upload(1000, kBegan);
    upload.Sample(1000, kBegan + Millis{200});
    EXPECT(upload.IsComplete());
    EXPECT(upload.IdleSince() == kBegan);
    upload.Sample(1000, kBegan + Millis{400});
    EXPECT(upload.IdleSince() == kBegan);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadProgressTest);

}  // namespace

}  // namespace daisypond::forward

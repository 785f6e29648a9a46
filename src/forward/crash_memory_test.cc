#include "forward/crash_memory.h"

#include <string>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

SUITE(CrashMemoryTest) {
  CPPUNIT_TEST_SUITE(CrashMemoryTest);
  CPPUNIT_TEST(TestThreeTargetsHoldARequest);
  CPPUNIT_TEST(TestSameTargetCountsOnce);
  CPPUNIT_TEST(TestAnAnswerClearsIt);
  CPPUNIT_TEST(TestDomainThatCrashesAccusesNobody);
  CPPUNIT_TEST(TestItIsForgotten);
  CPPUNIT_TEST(TestMemoryIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestThreeTargetsHoldARequest() {
    CrashMemory memory;
    memory.OnLost(1, "a", "d0", {0});
    memory.OnLost(1, "b", "d1", {10});
    EXPECT(!memory.IsHeld(1, {20}));
    memory.OnLost(1, "c", "d2", {20});
    EXPECT(memory.IsHeld(1, {30}));
    EXPECT(!memory.IsHeld(2, {30}));
  }

  void TestSameTargetCountsOnce() {
    CrashMemory memory;
    for (int i = 0; i < 5; ++i) {
      memory.OnLost(1, "a", "d0", {i});
    }
    EXPECT(!memory.IsHeld(1, {10}));
  }

  void TestAnAnswerClearsIt() {
    CrashMemory memory;
    for (const char* it : {"a", "b", "c"}) {
      memory.OnLost(1, it, std::string("d") + it, {0});
    }
    memory.OnAnswered(1);
    EXPECT(!memory.IsHeld(1, {1}));
  }

  // The load: all engines of one domain crash three times, and many callers
  // ask for the same thing.
  void TestDomainThatCrashesAccusesNobody() {
    CrashMemory memory;
    for (int64_t crash = 0; crash < 3; ++crash) {
      for (int engine = 0; engine < 8; ++engine) {
        memory.OnLost(1, "e" + std::to_string(crash * 8 + engine),
                      "d" + std::to_string(crash),
                      {crash * 6500 + engine * 40});
      }
    }
    EXPECT(!memory.IsHeld(1, {14'000}));
  }

  void TestItIsForgotten() {
    CrashMemory memory;
    for (const char* it : {"a", "b", "c"}) {
      memory.OnLost(1, it, std::string("d") + it, {0});
    }
    EXPECT(!memory.IsHeld(1, CrashMemory::kMemory));
  }

  void TestMemoryIsBounded() {
    CrashMemory memory;
    for (uint64_t i = 0; i < CrashMemory::kMaximumRequests + 100; ++i) {
      for (const char* it : {"a", "b", "c"}) {
        memory.OnLost(i, it, std::string("d") + it, {static_cast<int64_t>(i)});
      }
    }
    const auto last = CrashMemory::kMaximumRequests + 99;
    EXPECT(memory.IsHeld(last, {static_cast<int64_t>(last)}));
    EXPECT(!memory.IsHeld(0, {static_cast<int64_t>(last)}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashMemoryTest);

}  // namespace

}  // namespace daisypond::forward

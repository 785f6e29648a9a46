#include "gateway/known_configurations.h"

#include "tests/test_macros.h"

namespace daisypond::gateway {

namespace {

using base::Millis;

SUITE(KnownConfigurationsTest) {
  CPPUNIT_TEST_SUITE(KnownConfigurationsTest);
  CPPUNIT_TEST(TestFurtherVersionsDoNotRestartTheTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestFurtherVersionsDoNotRestartTheTime() {
    KnownConfigurations known;
    EXPECT(known.KnownFor(4, Millis{100}) < Millis{0});
    EXPECT(known.OnKnown(5, Millis{100}));
    EXPECT(!known.OnKnown(5, Millis{200}));
    EXPECT(known.OnKnown(7, Millis{300}));
    EXPECT(known.KnownFor(4, Millis{400}) == Millis{300});
    EXPECT(known.KnownFor(5, Millis{400}) == Millis{100});
    EXPECT(known.KnownFor(7, Millis{400}) < Millis{0});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownConfigurationsTest);

}  // namespace

}  // namespace daisypond::gateway

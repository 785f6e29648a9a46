#include "forward/stream_lifetimes.h"

#include <optional>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

catalog::Route MakeRoute(catalog::Repeatability repeatability, Millis timeout) {
  catalog::Route route;
  route.repeatability = repeatability;
  route.timeout = timeout;
  route.services = {{"s", 1}};
  return route;
}

SUITE(StreamLifetimesTest) {
  CPPUNIT_TEST_SUITE(StreamLifetimesTest);
  CPPUNIT_TEST(TestLifetimeIsTheLongestTimeoutOfTheService);
  CPPUNIT_TEST(TestStreamsThatBeganBeforeAShorterTimeoutAreCovered);
  CPPUNIT_TEST(TestCallersMayWaitLongerThanTheRoute);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestLifetimeIsTheLongestTimeoutOfTheService() {
    catalog::Configuration configuration;
    configuration.routes = {
        MakeRoute(catalog::Repeatability::kResumable, {60'000}),
        MakeRoute(catalog::Repeatability::kResumable, {120'000}),
        MakeRoute(catalog::Repeatability::kRunOnce, {300'000})};
    const ServiceTimes timeouts = LongestTimeouts(configuration);
    EXPECT(timeouts == (ServiceTimes{{"s", {120'000}}}));
    StreamLifetimes lifetimes;
    EXPECT(lifetimes.Longest("s", {0}) == StreamLifetimes::kMinimum);
    EXPECT(!lifetimes.HasLongStreams({0}));
    lifetimes.OnConfiguration(timeouts, {0});
    EXPECT(lifetimes.HasLongStreams({0}));
    EXPECT(lifetimes.Longest("s", {0}) == Millis{120'000});
    EXPECT(lifetimes.Longest("other", {0}) == StreamLifetimes::kMinimum);
  }

  // Streams that had two minutes when they began were forgotten with the
  // configuration that had given them so long.
  void TestStreamsThatBeganBeforeAShorterTimeoutAreCovered() {
    StreamLifetimes lifetimes;
    lifetimes.OnConfiguration({{"s", {120'000}}}, {0});
    lifetimes.OnConfiguration({{"s", {40'000}}}, {50'000});
    lifetimes.OnConfiguration({}, {60'000});
    EXPECT(lifetimes.Longest("s", {169'999}) == Millis{120'000});
    EXPECT(lifetimes.HasLongStreams({169'999}));
    EXPECT(lifetimes.Longest("s", {170'000}) == StreamLifetimes::kMinimum);
    EXPECT(!lifetimes.HasLongStreams({170'000}));
  }

  void TestCallersMayWaitLongerThanTheRoute() {
    EXPECT(ResumableUntil({1000}, std::nullopt, {120'000}) == Millis{121'000});
    EXPECT(ResumableUntil({1000}, Millis{50'000}, {120'000}) == Millis{51'000});
    const Millis until = ResumableUntil({0}, Millis{180'000}, {120'000});
    EXPECT(until == Millis{180'000});
    StreamLifetimes lifetimes;
    lifetimes.OnConfiguration({{"s", {120'000}}}, {0});
    lifetimes.OnStream("s", until, {0});
    EXPECT(lifetimes.Longest("s", {179'999}) == until);
    EXPECT(lifetimes.Longest("s", {180'000}) == Millis{120'000});
    // A stated timeout without measure is bounded.
    EXPECT(ResumableUntil({0}, Millis{int64_t{1} << 60}, {120'000}) <
           Millis{3'600'000});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamLifetimesTest);

}  // namespace

}  // namespace daisypond::forward

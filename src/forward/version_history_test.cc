#include "forward/version_history.h"

#include <string>
#include <vector>

#include "forward/stream_record_table.h"
#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

catalog::Target MakeTarget(const std::string& id, const std::string& version) {
  catalog::Target target;
  target.id = id;
  target.service = "s";
  target.version = version;
  return target;
}

SUITE(VersionHistoryTest) {
  CPPUNIT_TEST_SUITE(VersionHistoryTest);
  CPPUNIT_TEST(TestVersionThatLeftMayHaveBegunAStream);
  CPPUNIT_TEST(TestObservationMustCoverTheLongestStream);
  CPPUNIT_TEST(TestRecordedReleaseIsKnownAfterARestart);
  CPPUNIT_TEST(TestVersionReplacedBeforeAllInstancesRestartIsKnown);
  CPPUNIT_TEST(TestVersionReplacedWhileNoInstanceRanIsKnown);
  CPPUNIT_TEST(TestVersionThatBeganAStreamOfMinutesIsKnown);
  CPPUNIT_TEST(TestRecordsExpireAndAreBounded);
  CPPUNIT_TEST(TestRecordOfAStreamOfMinutesIsKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestVersionThatLeftMayHaveBegunAStream() {
    VersionHistory history;
    const auto v1 = MakeTarget("a", "v1");
    const auto v2 = MakeTarget("b", "v2");
    history.OnTargets({{"a", v1}}, {0});
    history.OnTargets({{"a", v1}, {"b", v2}}, {40'000});
    EXPECT(history.Count("s", {40'000}) == VersionCount::kSeveral);
    EXPECT_EQ(size_t{2}, history.RecentVersions({40'000})["s"].size());
    history.OnTargets({{"b", v2}}, {50'000});
    EXPECT_EQ(size_t{2}, history.RecentVersions({79'999})["s"].size());
    EXPECT_EQ(size_t{1}, history.RecentVersions({80'000})["s"].size());
    EXPECT(history.Count("s", {79'999}) == VersionCount::kSeveral);
    EXPECT(history.Count("s", {80'000}) == VersionCount::kOne);
    EXPECT_EQ(std::string("v2"), *history.LatestVersion("s"));
  }

  void TestObservationMustCoverTheLongestStream() {
    VersionHistory history;
    EXPECT(history.Count("s", {0}) == VersionCount::kUnknown);
    history.OnTargets({{"a", MakeTarget("a", "v1")}}, {0});
    EXPECT(history.Count("s", StreamLifetimes::kMinimum - Millis{1}) ==
           VersionCount::kUnknown);
    EXPECT(history.Count("s", StreamLifetimes::kMinimum) == VersionCount::kOne);
  }

  void TestRecordedReleaseIsKnownAfterARestart() {
    VersionHistory history;
    history.OnTargets({{"a", MakeTarget("a", "v1")}}, {0});
    EXPECT(history.Count("s", {1}) == VersionCount::kUnknown);
    history.OnRecordsRead({}, {1});
    EXPECT(history.Count("s", {1}) == VersionCount::kUnknown);
    history.OnRecordsRead({{"s", {"v1"}}}, {1});
    EXPECT(history.Count("s", {1}) == VersionCount::kOne);
    history.OnRecordsRead({{"s", {"v1", "v2"}}}, {20'000});
    EXPECT(history.Count("s", {49'999}) == VersionCount::kSeveral);
    EXPECT(history.Count("s", {50'000}) == VersionCount::kOne);
  }

  void TestVersionReplacedBeforeAllInstancesRestartIsKnown() {
    VersionHistory before;
    before.OnTargets({{"a", MakeTarget("a", "v1")}}, {0});
    before.OnTargets({{"b", MakeTarget("b", "v2")}}, {40'000});
    VersionHistory after;
    after.OnTargets({{"b", MakeTarget("b", "v2")}}, {0});
    after.OnRecordsRead(before.RecentVersions({40'001}), {1});
    EXPECT(after.Count("s", {1}) == VersionCount::kSeveral);
  }

  void TestVersionReplacedWhileNoInstanceRanIsKnown() {
    VersionHistory before;
    before.OnTargets({{"a", MakeTarget("a", "v1")}}, {0});
    VersionHistory after;
    after.OnRecordsRead(before.RecentVersions({1}), {0});
    after.OnTargets({{"b", MakeTarget("b", "v2")}}, {1});
    EXPECT(after.Count("s", {1}) == VersionCount::kSeveral);
  }

  // Half a minute after it left, the next version passed for the only one.
  void TestVersionThatBeganAStreamOfMinutesIsKnown() {
    VersionHistory history;
    history.Lifetimes().OnConfiguration({{"s", {120'000}}}, {0});
    history.OnTargets({{"a", MakeTarget("a", "v1")}}, {0});
    history.OnTargets({{"b", MakeTarget("b", "v2")}}, {6000});
    EXPECT(history.Count("s", {62'000}) == VersionCount::kSeveral);
    EXPECT(history.Count("s", {125'999}) == VersionCount::kSeveral);
    EXPECT(history.Count("s", {126'000}) == VersionCount::kOne);
    EXPECT(!history.HasObserved("s", {119'999}));
    EXPECT(history.HasObserved("s", {120'000}));
  }

  // Records were dropped after a minute, whatever the deadline of the stream.
  void TestRecordOfAStreamOfMinutesIsKept() {
    StreamRecordTable table;
    table.Add("x", {"s", "v1", {120'000}}, {0});
    table.Add("y", {"s", "v1", {1000}}, {0});
    // A later attempt that states less does not shorten the time.
    table.Add("x", {"s", "v1", {100'000}}, {1000});
    EXPECT(table.Find("x", {119'999}).has_value());
    EXPECT(!table.Find("x", {120'000}).has_value());
    EXPECT(table.Find("y", {59'999}).has_value());
    EXPECT(!table.Find("y", {60'000}).has_value());
  }

  void TestRecordsExpireAndAreBounded() {
    StreamRecordTable table;
    table.Add("x", {"s", "v1"}, {0});
    table.Add("y", {"s", "v2"}, {0});
    table.Add("x", {"s", "v1"}, {30'000});
    const Millis later = StreamRecordTable::kMinimumRetention;
    EXPECT(table.Find("x", later).has_value());
    EXPECT(!table.Find("y", later).has_value());
    for (size_t i = 0; i < StreamRecordTable::kMaximumRecords; ++i) {
      table.Add(std::to_string(i), {"s", "v1"}, later);
    }
    EXPECT(!table.Find("x", later).has_value());
    EXPECT(table.Find("0", later).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionHistoryTest);

}  // namespace

}  // namespace daisypond::forward

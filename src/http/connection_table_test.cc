#include "http/connection_table.h"

#include "tests/test_macros.h"

namespace daisypond::http {

namespace {

using base::Millis;

constexpr ConnectionTable::ConnectionId kId = 1;
constexpr ConnectionTable::ConnectionId kOtherId = 2;
constexpr Millis kBeganAt{10'000};

// Long after `kBeganAt`, when nothing is awaited any more.
constexpr Millis kLater{20'000};

SUITE(ConnectionTableTest) {
  CPPUNIT_TEST_SUITE(ConnectionTableTest);
  CPPUNIT_TEST(TestRequestIsOpenUntilItsConnectionIsClosed);
  CPPUNIT_TEST(TestNewConnectionIsAwaitedUntilItsHeaderIsLate);
  CPPUNIT_TEST(TestPortStaysOpenForTheQuietPeriod);
  CPPUNIT_TEST(TestRequestsMayWaitBehindBusyThreads);
  CPPUNIT_TEST(TestSteadyArrivalsDoNotDelayTheCloseForever);
  CPPUNIT_TEST(TestQueriesDoNotRestartTheQuietPeriod);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRequestIsOpenUntilItsConnectionIsClosed() {
    ConnectionTable table(4);
    table.Add(kId, Millis{0});
    EXPECT_EQ(int64_t{0}, table.OpenRequests());
    table.BeginRequest(kId, RequestKind::kWork);
    EXPECT_EQ(int64_t{1}, table.OpenRequests());
    EXPECT(!table.MayClose(kBeganAt, kLater));
    table.Remove(kId, kLater);
    EXPECT_EQ(int64_t{0}, table.OpenRequests());
    EXPECT(table.MayClose(kBeganAt, kLater + Millis{500}));
  }

  void TestNewConnectionIsAwaitedUntilItsHeaderIsLate() {
    ConnectionTable table(4);
    table.Add(kOtherId, kLater);
    EXPECT(!table.MayClose(kBeganAt, kLater + Millis{999}));
    EXPECT(table.MayClose(kBeganAt, kLater + Millis{1000}));
  }

  void TestPortStaysOpenForTheQuietPeriod() {
    ConnectionTable table(4);
    EXPECT(!table.MayClose(kBeganAt, kBeganAt + Millis{499}));
    EXPECT(table.MayClose(kBeganAt, kBeganAt + Millis{500}));
    table.Add(kId, kBeganAt);
    table.BeginRequest(kId, RequestKind::kWork);
    table.Remove(kId, kBeganAt + Millis{400});
    EXPECT(!table.MayClose(kBeganAt, kBeganAt + Millis{899}));
    EXPECT(table.MayClose(kBeganAt, kBeganAt + Millis{900}));
  }

  void TestRequestsMayWaitBehindBusyThreads() {
    ConnectionTable table(2);
    table.Add(kId, Millis{0});
    table.Add(kOtherId, Millis{0});
    EXPECT(!table.MayClose(kBeganAt, kLater));
    table.Remove(kId, kLater);
    EXPECT(!table.MayClose(kBeganAt, kLater + Millis{499}));
    EXPECT(table.MayClose(kBeganAt, kLater + Millis{500}));
  }

  void TestSteadyArrivalsDoNotDelayTheCloseForever() {
    ConnectionTable table(4);
    Millis now = kBeganAt;
    while (!table.MayClose(kBeganAt, now)) {
      EXPECT(now < kBeganAt + Millis{5300});
      table.Add(kId, now);
      table.BeginRequest(kId, RequestKind::kWork);
      EXPECT(!table.MayClose(kBeganAt, now));
      table.Remove(kId, now + Millis{50});
      now = now + Millis{300};
    }
    EXPECT(now >= kBeganAt + Millis{5000});
  }

  void TestQueriesDoNotRestartTheQuietPeriod() {
    ConnectionTable table(4);
    table.Add(kId, kLater);
    table.BeginRequest(kId, RequestKind::kQuery);
    EXPECT(!table.MayClose(kBeganAt, kLater));
    table.Remove(kId, kLater);
    EXPECT(table.MayClose(kBeganAt, kLater));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTableTest);

}  // namespace

}  // namespace daisypond::http

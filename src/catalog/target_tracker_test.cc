#include "catalog/target_tracker.h"

#include <map>
#include <random>
#include <string>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::catalog {

namespace {

using base::Millis;

Target MakeTarget(const std::string& id) {
  Target target;
  target.id = id;
  target.service = "s";
  target.address = "10.0.0.1:80";
  target.failure_domain = "a";
  return target;
}

Targets MakeTargets(std::initializer_list<const char*> ids) {
  Targets targets;
  for (const char* it : ids) {
    targets.emplace(it, MakeTarget(it));
  }
  return targets;
}

SUITE(TargetTrackerTest) {
  CPPUNIT_TEST_SUITE(TargetTrackerTest);
  CPPUNIT_TEST(TestRemovalIsImmediateWithoutOutage);
  CPPUNIT_TEST(TestNoTargetIsRemovedDuringAnOutage);
  CPPUNIT_TEST(TestTargetsRegisteredAgainWithinGracePeriodStay);
  CPPUNIT_TEST(TestMissingEntriesAreRemovedAfterGracePeriod);
  CPPUNIT_TEST(TestTargetThatLeavesAfterAnOutageIsNotKept);
  CPPUNIT_TEST(TestLeavingIsAppliedImmediatelyAfterAnOutage);
  CPPUNIT_TEST(TestTargetsConvergeToTheList);
  CPPUNIT_TEST(TestEntriesThatACopyLacksAreKept);
  CPPUNIT_TEST(TestProcessThatHadLeftIsNotUsedWhenACopyListsIt);
  CPPUNIT_TEST(TestProcessThatACopyListsIsUsedOnceItReports);
  CPPUNIT_TEST(TestLeavingProcessKeepsLeavingWhenACopyListsIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRemovalIsImmediateWithoutOutage() {
    TargetTracker tracker;
    tracker.OnListed(MakeTargets({"x", "y"}), {0});
    EXPECT(tracker.OnChanged({{"x", nullptr}}, {10}));
    EXPECT(!tracker.ActiveTargets().contains("x"));
  }

  void TestEntriesThatACopyLacksAreKept() {
    TargetTracker tracker;
    tracker.OnListed(MakeTargets({"x", "new"}), {0});
    tracker.OnTableServiceReturnedFromCopy({5000});
    EXPECT(!tracker.OnListed(MakeTargets({"x"}), {5000}));
    tracker.OnCaughtUp();
    EXPECT(!tracker.RemoveExpired({6000}));
    EXPECT(
        !tracker.OnChanged({{"new", &MakeTargets({"new"}).at("new")}}, {6500}));
    EXPECT(!tracker.RemoveExpired({20'000}));
    EXPECT(tracker.ActiveTargets().contains("new"));
  }

  void TestProcessThatHadLeftIsNotUsedWhenACopyListsIt() {
    TargetTracker tracker;
    tracker.OnListed(MakeTargets({"x", "left"}), {0});
    tracker.OnChanged({{"left", nullptr}}, {4000});
    tracker.OnTableServiceReturnedFromCopy({5000});
    tracker.OnListed(MakeTargets({"x", "left"}), {5000});
    EXPECT(!tracker.ActiveTargets().contains("left"));
    // Its entry expires, so nothing is left to add.
    tracker.OnChanged({{"left", nullptr}}, {8600});
    EXPECT(!tracker.AddRelisted({20'000}));
  }

  void TestProcessThatACopyListsIsUsedOnceItReports() {
    const Targets listed = MakeTargets({"a", "b"});
    TargetTracker tracker;
    tracker.OnListed(listed, {0});
    tracker.OnChanged({{"a", nullptr}, {"b", nullptr}}, {4000});
    tracker.OnTableServiceReturnedFromCopy({5000});
    tracker.OnListed(listed, {5000});
    EXPECT(tracker.OnChanged({{"a", &listed.at("a")}}, {6000}));
    EXPECT(tracker.ActiveTargets().contains("a"));
    // An entry that outlives the time in which it would have expired is that of
    // a running process.
    EXPECT(!tracker.AddRelisted({9900}));
    EXPECT(tracker.AddRelisted({10'000}));
    EXPECT(tracker.ActiveTargets().contains("b"));
  }

  void TestLeavingProcessKeepsLeavingWhenACopyListsIt() {
    const Targets before = MakeTargets({"x"});
    Target leaving = before.at("x");
    leaving.is_leaving = true;
    TargetTracker tracker;
    tracker.OnListed(before, {0});
    tracker.OnChanged({{"x", &leaving}}, {4000});
    tracker.OnTableServiceReturnedFromCopy({5000});
    tracker.OnListed(before, {5000});
    EXPECT(tracker.ActiveTargets().at("x").is_leaving);
    // A later process is not bound by what the one before said.
    Target successor = before.at("x");
    successor.started_at = 1;
    tracker.OnChanged({{"x", &successor}}, {6000});
    EXPECT(!tracker.ActiveTargets().at("x").is_leaving);
  }

  void TestNoTargetIsRemovedDuringAnOutage() {
    TargetTracker tracker;
    tracker.OnListed(MakeTargets({"x"}), {0});
    tracker.OnTableServiceUnavailable();
    EXPECT(!tracker.RemoveExpired({100'000}));
    EXPECT(tracker.ActiveTargets().contains("x"));
  }

  void TestTargetsRegisteredAgainWithinGracePeriodStay() {
    TargetTracker tracker;
    tracker.OnListed(MakeTargets({"x", "y"}), {0});
    tracker.OnTableServiceUnavailable();
    tracker.OnTableServiceAvailable({5000});
    EXPECT(!tracker.OnListed(MakeTargets({"y"}), {5000}));
    tracker.OnListed(MakeTargets({"x", "y"}), {6900});
    EXPECT(!tracker.RemoveExpired({20'000}));
    EXPECT(tracker.ActiveTargets().contains("x"));
  }

  void TestMissingEntriesAreRemovedAfterGracePeriod() {
    TargetTracker tracker;
    tracker.OnListed(MakeTargets({"x", "y"}), {0});
    tracker.OnTableServiceUnavailable();
    tracker.OnTableServiceAvailable({5000});
    tracker.OnListed(MakeTargets({"y"}), {5000});
    EXPECT(!tracker.RemoveExpired(
        Millis{5000} + TargetTracker::kRecoveryGracePeriod - Millis{1}));
    EXPECT(tracker.RemoveExpired(Millis{5000} +
                                 TargetTracker::kRecoveryGracePeriod));
    EXPECT(!tracker.ActiveTargets().contains("x"));
  }

  void TestTargetThatLeavesAfterAnOutageIsNotKept() {
    TargetTracker tracker;
    tracker.OnListed(MakeTargets({"expired", "left"}), {0});
    tracker.OnTableServiceUnavailable();
    tracker.OnTableServiceAvailable({5000});
    EXPECT(!tracker.OnChanged({{"expired", nullptr}}, {5000}));
    tracker.OnCaughtUp();
    EXPECT(tracker.OnChanged({{"left", nullptr}}, {5001}));
    EXPECT(!tracker.ActiveTargets().contains("left"));
    EXPECT(!tracker.RemoveExpired({5001}));
    EXPECT(tracker.ActiveTargets().contains("expired"));
  }

  void TestLeavingIsAppliedImmediatelyAfterAnOutage() {
    TargetTracker tracker;
    tracker.OnListed(MakeTargets({"x"}), {0});
    tracker.OnTableServiceUnavailable();
    tracker.OnTableServiceAvailable({5000});
    Target leaving = MakeTarget("x");
    leaving.is_leaving = true;
    EXPECT(tracker.OnChanged({{"x", &leaving}}, {5001}));
    EXPECT(tracker.ActiveTargets().at("x").is_leaving);
  }

  // Simulates random sequences of outages, changes and lists. Once the table
  // service is available, the targets have been listed and the grace period has
  // passed, exactly the listed targets must be active.
  void TestTargetsConvergeToTheList() {
    EXPECT(rc::check("targets converge to the list", [](uint64_t seed) {
      std::mt19937_64 random(seed);
      TargetTracker tracker;
      Targets registered;
      Millis now{0};
      for (int i = 0; i < 60; ++i) {
        now = now + Millis{static_cast<int64_t>(random() % 3000)};
        const std::string id = fmt::format("t{}", random() % 6);
        const Target target = MakeTarget(id);
        switch (random() % 5) {
          case 0:
            registered[id] = target;
            tracker.OnChanged({{id, &target}}, now);
            break;
          case 1:
            registered.erase(id);
            tracker.OnChanged({{id, nullptr}}, now);
            break;
          case 2:
            tracker.OnTableServiceUnavailable();
            break;
          case 3:
            tracker.OnTableServiceAvailable(now);
            break;
          default:
            tracker.OnListed(registered, now);
            tracker.RemoveExpired(now);
        }
        for (const auto& it : registered) {
          RC_ASSERT(tracker.ActiveTargets().contains(it.first));
        }
      }
      tracker.OnTableServiceAvailable(now);
      tracker.OnListed(registered, now);
      tracker.RemoveExpired(now + TargetTracker::kRecoveryGracePeriod);
      RC_ASSERT(tracker.ActiveTargets() == registered);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTrackerTest);

}  // namespace

}  // namespace daisypond::catalog

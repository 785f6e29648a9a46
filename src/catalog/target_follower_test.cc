#include "catalog/target_follower.h"

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

SUITE(TargetFollowerTest) {
  CPPUNIT_TEST_SUITE(TargetFollowerTest);
  CPPUNIT_TEST(TestRemovalCountsAtOnceInCalmTimes);
  CPPUNIT_TEST(TestNothingIsDroppedWhileTheTableServiceIsAway);
  CPPUNIT_TEST(TestEntriesThatComeBackInTimeStay);
  CPPUNIT_TEST(TestMissingEntriesGoAfterTheGrace);
  CPPUNIT_TEST(TestDrainingCountsAlsoRightAfterAnOutage);
  CPPUNIT_TEST(TestAnyHistoryEndsWithTheList);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRemovalCountsAtOnceInCalmTimes() {
    TargetFollower follower;
    follower.OnListed(MakeTargets({"x", "y"}), {0});
    EXPECT(follower.OnChanged({{"x", nullptr}}, {10}));
    EXPECT(!follower.InForce().contains("x"));
  }

  void TestNothingIsDroppedWhileTheTableServiceIsAway() {
    TargetFollower follower;
    follower.OnListed(MakeTargets({"x"}), {0});
    follower.OnAway();
    EXPECT(!follower.Advance({100'000}));
    EXPECT(follower.InForce().contains("x"));
  }

  void TestEntriesThatComeBackInTimeStay() {
    TargetFollower follower;
    follower.OnListed(MakeTargets({"x", "y"}), {0});
    follower.OnAway();
    follower.OnAnswered({5000});
    EXPECT(!follower.OnListed(MakeTargets({"y"}), {5000}));
    follower.OnListed(MakeTargets({"x", "y"}), {6900});
    EXPECT(!follower.Advance({20'000}));
    EXPECT(follower.InForce().contains("x"));
  }

  void TestMissingEntriesGoAfterTheGrace() {
    TargetFollower follower;
    follower.OnListed(MakeTargets({"x", "y"}), {0});
    follower.OnAway();
    follower.OnAnswered({5000});
    follower.OnListed(MakeTargets({"y"}), {5000});
    EXPECT(!follower.Advance(Millis{5000} + TargetFollower::kReturnGrace -
                             Millis{1}));
    EXPECT(follower.Advance(Millis{5000} + TargetFollower::kReturnGrace));
    EXPECT(!follower.InForce().contains("x"));
  }

  void TestDrainingCountsAlsoRightAfterAnOutage() {
    TargetFollower follower;
    follower.OnListed(MakeTargets({"x"}), {0});
    follower.OnAway();
    follower.OnAnswered({5000});
    Target leaving = MakeTarget("x");
    leaving.is_leaving = true;
    EXPECT(follower.OnChanged({{"x", &leaving}}, {5001}));
    EXPECT(follower.InForce().at("x").is_leaving);
  }

  // After any run of outages, changes and lists, a calm list and the grace
  // leave exactly what is listed.
  void TestAnyHistoryEndsWithTheList() {
    EXPECT(rc::check("the list wins in the end", [](uint64_t seed) {
      std::mt19937_64 random(seed);
      TargetFollower follower;
      Targets truth;
      Millis now{0};
      for (int i = 0; i < 60; ++i) {
        now = now + Millis{static_cast<int64_t>(random() % 3000)};
        const std::string id = fmt::format("t{}", random() % 6);
        const Target target = MakeTarget(id);
        switch (random() % 5) {
          case 0:
            truth[id] = target;
            follower.OnChanged({{id, &target}}, now);
            break;
          case 1:
            truth.erase(id);
            follower.OnChanged({{id, nullptr}}, now);
            break;
          case 2:
            follower.OnAway();
            break;
          case 3:
            follower.OnAnswered(now);
            break;
          default:
            follower.OnListed(truth, now);
            follower.Advance(now);
        }
        for (const auto& it : truth) {
          RC_ASSERT(follower.InForce().contains(it.first));
        }
      }
      follower.OnAnswered(now);
      follower.OnListed(truth, now);
      follower.Advance(now + TargetFollower::kReturnGrace);
      RC_ASSERT(follower.InForce() == truth);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetFollowerTest);

}  // namespace

}  // namespace daisypond::catalog

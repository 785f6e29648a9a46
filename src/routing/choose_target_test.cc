#include "routing/choose_target.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "routing/target_table.h"
#include "tests/test_macros.h"

namespace daisypond::routing {

namespace {

using base::Millis;

constexpr Millis kNow{10'000};
const intents::ModelVersion kModel{"m", "1", ""};

std::map<std::string, intents::Target> MakeTargets(int n) {
  std::map<std::string, intents::Target> targets;
  for (int i = 0; i < n; ++i) {
    intents::Target target;
    target.address = fmt::format("10.0.0.{}:1", i);
    target.failure_domain = i % 2 == 0 ? "a" : "b";
    target.capacity = 4;
    target.models = {kModel};
    targets.emplace(fmt::format("t{}", i), target);
  }
  return targets;
}

RouteRequest MakeRequest(const std::string& affinity) {
  RouteRequest request;
  request.model = kModel;
  request.affinity_key = affinity;
  request.failure_domain = "a";
  return request;
}

size_t ZeroSuspectScore(const TargetId&) {
  return 0;
}

SUITE(RoutingTest) {
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(TestSameAffinityKeyGetsTheSameTarget);
  CPPUNIT_TEST(TestLoadStaysBounded);
  CPPUNIT_TEST(TestOwnFailureDomainIsPreferred);
  CPPUNIT_TEST(TestLeavingTargetGetsNoRequests);
  CPPUNIT_TEST(TestOtherModelVersionIsNotChosen);
  CPPUNIT_TEST(TestFailedTargetIsAvoidedTemporarily);
  CPPUNIT_TEST(TestSuspectGoesToLowestSuspectScore);
  CPPUNIT_TEST(TestFullTargetIsUsedAgainAfterRelease);
  CPPUNIT_TEST(TestRandomStatesKeepPlacementRules);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    table_.Configure(MakeTargets(6));
  }

  std::optional<Placement> Acquire(const RouteRequest& request,
                                   Millis now = kNow) {
    return table_.AcquireSlot(request, ZeroSuspectScore, now);
  }

  void TestSameAffinityKeyGetsTheSameTarget() {
    const auto first = Acquire(MakeRequest("p"));
    table_.ReleaseSlot(first->target);
    EXPECT(Acquire(MakeRequest("p"))->target == first->target);
  }

  void TestLoadStaysBounded() {
    std::map<std::string, int> counts;
    for (int i = 0; i < 9; ++i) {
      ++counts[Acquire(MakeRequest("p"))->target.name];
    }
    // With 9 requests on the 3 targets of the own failure domain and a load
    // factor of 1.25, no target gets more than 4.
    for (const auto& [name, n] : counts) {
      EXPECT(n <= 4);
    }
    EXPECT_EQ(size_t{3}, counts.size());
  }

  void TestOwnFailureDomainIsPreferred() {
    for (int i = 0; i < 12; ++i) {
      const auto placed = Acquire(MakeRequest(std::to_string(i)));
      const int n = placed->target.name.back() - '0';
      EXPECT_EQ(0, n % 2);
    }
    // All targets of the own failure domain are full.
    EXPECT_EQ(1, (Acquire(MakeRequest("x"))->target.name.back() - '0') % 2);
  }

  void TestLeavingTargetGetsNoRequests() {
    for (int i = 0; i < 6; ++i) {
      LoadReport report;
      report.is_leaving = i != 3;
      table_.OnLoadReport({fmt::format("t{}", i)}, report, kNow);
    }
    EXPECT_EQ(std::string("t3"), Acquire(MakeRequest("p"))->target.name);
    auto targets = MakeTargets(6);
    targets.at("t3").state = intents::TargetState::kLeaving;
    table_.Configure(targets);
    EXPECT(!Acquire(MakeRequest("p")));
  }

  void TestOtherModelVersionIsNotChosen() {
    RouteRequest request = MakeRequest("p");
    request.model.version = "2";
    EXPECT(!Acquire(request));
    EXPECT(table_.IsUnservable(request));
    EXPECT(!table_.IsUnservable(MakeRequest("p")));
  }

  void TestFailedTargetIsAvoidedTemporarily() {
    const auto first = Acquire(MakeRequest("p"));
    table_.ReleaseSlot(first->target);
    table_.OnTargetFailure(first->target, kNow);
    EXPECT(Acquire(MakeRequest("p"))->target != first->target);
    const Millis later = kNow + Millis{6000};
    EXPECT(Acquire(MakeRequest("p"), later)->target == first->target);
  }

  void TestFullTargetIsUsedAgainAfterRelease() {
    table_.Configure(MakeTargets(1));
    const TargetId id{"t0"};
    // This instance has two requests running on the target, which rejects the
    // third, because other instances use its remaining slots.
    for (int i = 0; i < 3; ++i) {
      EXPECT(Acquire(MakeRequest("p")).has_value());
    }
    table_.OnTargetFull(id, kNow);
    table_.ReleaseSlot(id);
    EXPECT(!Acquire(MakeRequest("p")));
    table_.ReleaseSlot(id);
    EXPECT(Acquire(MakeRequest("p")).has_value());
    EXPECT(!Acquire(MakeRequest("p")));
  }

  void TestSuspectGoesToLowestSuspectScore() {
    RouteRequest request = MakeRequest("p");
    request.suspect_spreading = SuspectSpreading::kFewestSuspects;
    const auto suspect_score = [](const TargetId& id) {
      return id.name == "t5" ? size_t{0} : size_t{2};
    };
    EXPECT_EQ(std::string("t5"),
              table_.AcquireSlot(request, suspect_score, kNow)->target.name);
  }

  void TestRandomStatesKeepPlacementRules() {
    EXPECT(rc::check("a choice keeps placement rules", [](uint64_t seed) {
      std::mt19937_64 random(seed);
      std::vector<TargetView> views;
      for (const auto& [name, settings] : MakeTargets(8)) {
        TargetView view;
        view.id = {name};
        view.settings = settings;
        view.settings.state = static_cast<intents::TargetState>(random() % 3);
        view.own_running = static_cast<int64_t>(random() % 6);
        view.has_report = random() % 2 == 0;
        view.reported_at = kNow - Millis{static_cast<int64_t>(random() % 6000)};
        view.report.running = static_cast<int64_t>(random() % 6);
        view.report.is_leaving = random() % 4 == 0;
        view.avoided_until = {static_cast<int64_t>(random() % 20'000)};
        view.suspect_score = random() % 3;
        views.push_back(view);
      }
      std::vector<const TargetView*> pointers;
      for (const TargetView& it : views) {
        pointers.push_back(&it);
      }
      RouteRequest request = MakeRequest(std::to_string(seed));
      request.mode = static_cast<RoutingMode>(random() % 3);
      request.suspect_spreading = static_cast<SuspectSpreading>(random() % 2);
      request.random = random();
      request.excluded.insert({"t1"});
      const auto chosen = ChooseTarget(pointers, request, kNow);
      bool is_any_acceptable = false;
      for (const TargetView& it : views) {
        is_any_acceptable = is_any_acceptable || CanAccept(it, request, kNow);
        if (chosen && it.id == *chosen) {
          RC_ASSERT(it.settings.state == intents::TargetState::kServing);
          RC_ASSERT(!it.report.is_leaving);
          RC_ASSERT(it.id.name != "t1");
          RC_ASSERT(LoadOf(it, kNow) < it.settings.capacity);
        }
      }
      RC_ASSERT(chosen.has_value() == is_any_acceptable);
    }));
  }

 private:
  base::Metrics metrics_;
  TargetTable table_{&metrics_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

}  // namespace

}  // namespace daisypond::routing

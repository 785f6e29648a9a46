#include "forward/target_path.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

constexpr Millis kStep{10};
constexpr Millis kRoundTrip{10};
constexpr Millis kConnectTimeout{300};
constexpr Millis kRequestPeriod{100};

/// What becomes of a direct connect.
enum class Reach : uint8_t { kAnswers, kRefuses, kHangs, kResets };

/// Plays connects of requests and probes to targets in virtual time. A request
/// connects to one target after the other every kRequestPeriod, as long as the
/// path of its target is not lost.
class Simulation {
 public:
  void AddTargets(const std::string& service, int n, int n_domains) {
    for (int i = 0; i < n; ++i) {
      catalog::Target target;
      target.id = fmt::format("{}{}", service, i);
      target.service = service;
      target.failure_domain = fmt::format("d{}", i % n_domains);
      targets_[target.id] = target;
    }
    path.Configure(targets_);
  }

  template <typename Predicate>
  void SetReach(Reach reach, Predicate concerns) {
    for (const auto& it : targets_) {
      if (concerns(it.second)) {
        reach_[it.first] = reach;
      }
    }
  }

  void SetReach(Reach reach) {
    SetReach(reach, [](const catalog::Target&) { return true; });
  }

  /// Plays until `end`. Stops earlier, and returns true, when the path of the
  /// service (all targets if empty) has the state `awaited`.
  bool PlayUntil(Millis end, PathState awaited, const std::string& service) {
    while (now < end) {
      Step();
      const PathState state =
          service.empty() ? path.State() : path.StateOf(service);
      if (state == awaited) {
        return true;
      }
    }
    return false;
  }

  /// Plays until `end`. Returns how often the path of `service` was lost.
  int Play(Millis end, const std::string& service = "") {
    int n_lost = 0;
    bool was_lost = false;
    while (now < end) {
      Step();
      const PathState state =
          service.empty() ? path.State() : path.StateOf(service);
      const bool is_lost = state == PathState::kLost;
      n_lost += is_lost && !was_lost ? 1 : 0;
      was_lost = is_lost;
    }
    return n_lost;
  }

  TargetPath path;
  Millis now{1000};
  bool has_requests = true;
  int n_probes = 0;
  int n_connects = 0;

 private:
  struct Connect {
    std::string target;
    Millis ends_at;
    Reach reach = Reach::kAnswers;
  };

  void Step() {
    now = now + kStep;
    const std::vector<Connect> pending = std::exchange(connects_, {});
    for (const Connect& it : pending) {
      if (it.ends_at > now) {
        connects_.push_back(it);
      } else if (it.reach == Reach::kAnswers) {
        path.OnConnected(it.target, now);
      } else if (it.reach == Reach::kResets) {
        path.OnConnectionReset(it.target, now);
      } else {
        path.OnConnectFailed(it.target, now);
      }
    }
    for (const std::string& it : path.TakeProbes(now)) {
      ++n_probes;
      Begin(it);
    }
    if (has_requests && now.count % kRequestPeriod.count == 0) {
      SendRequest();
    }
  }

  void SendRequest() {
    auto it = targets_.upper_bound(last_target_);
    it = it == targets_.end() ? targets_.begin() : it;
    last_target_ = it->first;
    if (path.StateOfTarget(it->first) != PathState::kLost) {
      ++n_connects;
      Begin(it->first);
    }
  }

  void Begin(const std::string& target) {
    const auto it = reach_.find(target);
    const Reach reach = it == reach_.end() ? Reach::kAnswers : it->second;
    connects_.push_back(
        {target, now + (reach == Reach::kHangs ? kConnectTimeout : kRoundTrip),
         reach});
  }

  catalog::Targets targets_;
  std::map<std::string, Reach> reach_;
  std::vector<Connect> connects_;
  std::string last_target_;
};

SUITE(TargetPathTest) {
  CPPUNIT_TEST_SUITE(TargetPathTest);
  CPPUNIT_TEST(TestHangingCutIsNoticedWithinASecond);
  CPPUNIT_TEST(TestRefusingCutIsNoticedAtOnce);
  CPPUNIT_TEST(TestCutThatResetsNewConnectionsIsNoticed);
  CPPUNIT_TEST(TestFullTargetsThatResetConnectionsAreNoPathLoss);
  CPPUNIT_TEST(TestCutIsNoticedBySilenceAlone);
  CPPUNIT_TEST(TestPathIsBackWithinASecondWithoutABurst);
  CPPUNIT_TEST(TestLostPathIsProbedSlowly);
  CPPUNIT_TEST(TestCrashOfADomainIsNoPathLoss);
  CPPUNIT_TEST(TestCrashOfAServiceLeavesThePathToOthers);
  CPPUNIT_TEST(TestServiceReachedByAPeerExplainsItsLosses);
  CPPUNIT_TEST(TestPeersThatReachNothingRefuteALostPath);
  CPPUNIT_TEST(TestFlappingTargetCausesNoProbeStorm);
  CPPUNIT_TEST(TestFewTargetsMustAllFail);
  CPPUNIT_TEST(TestCutFromSomeTargetsIsNoPathLoss);
  CPPUNIT_TEST(TestRemovedTargetsDoNotCount);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    simulation_ = Simulation();
    simulation_.AddTargets("a", 8, 3);
    simulation_.AddTargets("b", 4, 2);
    EXPECT_EQ(0, simulation_.Play({3000}));
    EXPECT_EQ(0, simulation_.n_probes);
  }

  void TestHangingCutIsNoticedWithinASecond() {
    simulation_.SetReach(Reach::kHangs);
    EXPECT(simulation_.PlayUntil({4000}, PathState::kLost, ""));
    EXPECT(simulation_.n_probes <= 3);
    EXPECT(simulation_.path.StateOf("a") == PathState::kLost);
    EXPECT(simulation_.path.IsLossExplained("b"));
  }

  void TestRefusingCutIsNoticedAtOnce() {
    simulation_.SetReach(Reach::kRefuses);
    EXPECT(simulation_.PlayUntil({3300}, PathState::kLost, ""));
    EXPECT(simulation_.n_probes <= 3);
  }

  void TestCutThatResetsNewConnectionsIsNoticed() {
    simulation_.SetReach(Reach::kResets);
    EXPECT(simulation_.PlayUntil({3500}, PathState::kLost, ""));
    EXPECT_EQ(1, simulation_.Play({8000}));
    simulation_.SetReach(Reach::kAnswers);
    EXPECT(simulation_.PlayUntil({9000}, PathState::kDirect, ""));
  }

  void TestFullTargetsThatResetConnectionsAreNoPathLoss() {
    simulation_.SetReach(Reach::kResets);
    while (simulation_.now < Millis{8000}) {
      // Kept connections go on.
      simulation_.path.OnBytesReceived("a1", simulation_.now);
      simulation_.path.OnBytesReceived("b1", simulation_.now);
      EXPECT_EQ(0, simulation_.Play(simulation_.now + kStep, "a"));
    }
  }

  void TestCutIsNoticedBySilenceAlone() {
    simulation_.has_requests = false;
    simulation_.SetReach(Reach::kHangs);
    EXPECT_EQ(0, simulation_.Play({5000}));
    simulation_.path.OnSuspicion("", simulation_.now);
    EXPECT(simulation_.PlayUntil({5400}, PathState::kLost, ""));
  }

  void TestPathIsBackWithinASecondWithoutABurst() {
    simulation_.SetReach(Reach::kHangs);
    EXPECT(simulation_.PlayUntil({4000}, PathState::kLost, ""));
    simulation_.Play({9000});
    EXPECT(simulation_.path.State() == PathState::kLost);
    simulation_.SetReach(Reach::kAnswers);
    simulation_.n_probes = 0;
    EXPECT(simulation_.PlayUntil({10'000}, PathState::kDirect, ""));
    EXPECT(simulation_.n_probes <= 2);
    EXPECT_EQ(0, simulation_.Play({20'000}));
    EXPECT(simulation_.n_probes <= 2);
    EXPECT(simulation_.path.StateOf("b") == PathState::kDirect);
  }

  void TestLostPathIsProbedSlowly() {
    simulation_.SetReach(Reach::kRefuses);
    EXPECT(simulation_.PlayUntil({4000}, PathState::kLost, ""));
    simulation_.n_probes = 0;
    simulation_.n_connects = 0;
    EXPECT_EQ(1, simulation_.Play({14'000}));
    EXPECT(simulation_.n_probes >= 18 && simulation_.n_probes <= 24);
    EXPECT_EQ(0, simulation_.n_connects);
  }

  void TestCrashOfADomainIsNoPathLoss() {
    for (const Reach it : {Reach::kHangs, Reach::kRefuses}) {
      simulation_.SetReach(it, [](const catalog::Target& target) {
        return target.failure_domain == "d0";
      });
      EXPECT_EQ(0, simulation_.Play(simulation_.now + Millis{5000}));
      EXPECT(!simulation_.path.IsLossExplained("a"));
    }
  }

  void TestCrashOfAServiceLeavesThePathToOthers() {
    for (const Reach it : {Reach::kHangs, Reach::kRefuses}) {
      simulation_.SetReach(it, [](const catalog::Target& target) {
        return target.service == "a";
      });
      EXPECT(simulation_.PlayUntil(simulation_.now + Millis{2000},
                                   PathState::kLost, "a"));
      EXPECT_EQ(0, simulation_.Play(simulation_.now + Millis{5000}));
      EXPECT(simulation_.path.StateOf("a") == PathState::kLost);
      EXPECT(simulation_.path.StateOf("b") == PathState::kDirect);
      EXPECT(!simulation_.path.IsLossExplained("a"));
      simulation_.SetReach(Reach::kAnswers);
      EXPECT(simulation_.PlayUntil(simulation_.now + Millis{1000},
                                   PathState::kDirect, "a"));
    }
  }

  void TestServiceReachedByAPeerExplainsItsLosses() {
    simulation_.SetReach(Reach::kHangs, [](const catalog::Target& target) {
      return target.service == "b";
    });
    EXPECT(simulation_.PlayUntil({6000}, PathState::kLost, "b"));
    EXPECT(!simulation_.path.IsLossExplained("b"));
    simulation_.path.OnReachedThroughPeer("b");
    EXPECT(simulation_.path.IsLossExplained("b"));
    EXPECT(!simulation_.path.IsLossExplained("a"));
    simulation_.SetReach(Reach::kAnswers);
    EXPECT(simulation_.PlayUntil(simulation_.now + Millis{1000},
                                 PathState::kDirect, "b"));
    EXPECT(!simulation_.path.IsLossExplained("b"));
  }

  void TestPeersThatReachNothingRefuteALostPath() {
    simulation_.SetReach(Reach::kRefuses);
    EXPECT(simulation_.PlayUntil({4000}, PathState::kLost, ""));
    simulation_.path.OnUnreachableThroughPeer("a0", simulation_.now);
    simulation_.path.OnUnreachableThroughPeer("a0", simulation_.now);
    EXPECT(simulation_.path.State() == PathState::kLost);
    simulation_.path.OnUnreachableThroughPeer("a1", simulation_.now);
    EXPECT(simulation_.path.State() == PathState::kDirect);
    EXPECT(!simulation_.path.IsLossExplained("a"));
    simulation_.has_requests = false;
    simulation_.n_probes = 0;
    EXPECT_EQ(0, simulation_.Play(simulation_.now + Millis{1900}));
    EXPECT(simulation_.n_probes >= 3 && simulation_.n_probes <= 5);
    EXPECT_EQ(1, simulation_.Play(simulation_.now + Millis{1000}));
    simulation_.path.OnReachedThroughPeer("b");
    simulation_.path.OnUnreachableThroughPeer("a0", simulation_.now);
    simulation_.path.OnUnreachableThroughPeer("a1", simulation_.now);
    EXPECT(simulation_.path.State() == PathState::kLost);
    simulation_.SetReach(Reach::kAnswers);
    EXPECT(simulation_.PlayUntil(simulation_.now + Millis{1000},
                                 PathState::kDirect, ""));
  }

  void TestFlappingTargetCausesNoProbeStorm() {
    const auto is_flapping = [](const catalog::Target& target) {
      return target.id == "a3";
    };
    for (int i = 0; i < 20; ++i) {
      simulation_.SetReach(i % 2 == 0 ? Reach::kRefuses : Reach::kAnswers,
                           is_flapping);
      EXPECT_EQ(0, simulation_.Play(simulation_.now + Millis{500}, "a"));
    }
    // A request meets the target at most once in 1.2 s.
    EXPECT(simulation_.n_probes <= 9);
    simulation_.n_probes = 0;
    for (int i = 0; i < 500; ++i) {
      simulation_.path.OnConnectFailed("a3", simulation_.now);
      EXPECT_EQ(0, simulation_.Play(simulation_.now + kStep, "a"));
    }
    EXPECT(simulation_.n_probes <= 40);
  }

  void TestFewTargetsMustAllFail() {
    Simulation few;
    few.AddTargets("a", 2, 2);
    few.SetReach(Reach::kRefuses, [](const catalog::Target& target) {
      return target.id == "a0";
    });
    EXPECT_EQ(0, few.Play({4000}));
    few.SetReach(Reach::kRefuses);
    EXPECT(few.PlayUntil({4500}, PathState::kLost, ""));
  }

  void TestCutFromSomeTargetsIsNoPathLoss() {
    for (const Reach it : {Reach::kHangs, Reach::kRefuses}) {
      simulation_.SetReach(it, [](const catalog::Target& target) {
        return (target.id.back() - '0') % 2 == 0;
      });
      EXPECT_EQ(0, simulation_.Play(simulation_.now + Millis{5000}, "a"));
      EXPECT_EQ(0, simulation_.Play(simulation_.now + Millis{5000}, "b"));
    }
  }

  void TestRemovedTargetsDoNotCount() {
    simulation_.path.Configure({});
    simulation_.path.OnConnectFailed("a0", simulation_.now);
    simulation_.path.OnSuspicion("", simulation_.now);
    simulation_.has_requests = false;
    EXPECT_EQ(0, simulation_.Play({5000}));
    EXPECT_EQ(0, simulation_.n_probes);
    EXPECT(!simulation_.path.NeedsProbes());
  }

 private:
  Simulation simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPathTest);

}  // namespace

}  // namespace daisypond::forward

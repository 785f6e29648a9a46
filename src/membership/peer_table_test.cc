#include "membership/peer_table.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "membership/copy_peers.h"
#include "tests/test_macros.h"

namespace daisypond::membership {

namespace {

using base::Millis;

PeerState MakePeer(int i) {
  PeerState state;
  state.instance = "i" + std::to_string(i);
  state.address = "10.0.0." + std::to_string(i) + ":1";
  state.failure_domain = "d" + std::to_string(i % 4);
  state.region = "r";
  state.incarnation = 1;
  return state;
}

/// Simulates instances that probe each other once a second. Instances can be
/// stopped, and the even-numbered ones can be partitioned from the odd-numbered
/// ones.
class SimulatedGroup {
 public:
  SimulatedGroup(int n, uint64_t seed) : random_(seed) {
    for (int i = 0; i < n; ++i) {
      tables_.push_back(std::make_unique<PeerTable>(
          MakePeer(i), PeerTableOptions(), seed + static_cast<uint64_t>(i)));
      tables_.back()->ApplyUpdate(MakePeer(0), now_);
      is_up_.push_back(true);
    }
  }

  void RunProbeRound() {
    now_ = now_ + Millis{1000};
    for (size_t i = 0; i < tables_.size(); ++i) {
      if (!is_up_[i]) {
        continue;
      }
      PeerTable& table = *tables_[i];
      table.ProcessTimeouts(now_);
      auto probed = table.NextProbe();
      if (!probed || random_() % 5 == 0) {
        for (const PeerState& it : table.All()) {
          probed = it.status == PeerStatus::kDead ? it : probed;
        }
      }
      if (probed) {
        ProbePeer(i, *probed);
      }
    }
  }

  bool SeesAlive(size_t a, size_t b) const {
    for (const PeerState& it : tables_[a]->All()) {
      if (it.instance == tables_[b]->Self().instance) {
        return it.status <= PeerStatus::kLeaving;
      }
    }
    return false;
  }

  bool AllSeeAlive(size_t b, bool expected) const {
    for (size_t a = 0; a < tables_.size(); ++a) {
      if (a != b && is_up_[a] && SeesAlive(a, b) != expected) {
        return false;
      }
    }
    return true;
  }

  void SetIsUp(size_t i, bool is_up) { is_up_[i] = is_up; }
  void SetPartitioned(bool is_partitioned) { is_partitioned_ = is_partitioned; }
  PeerTable& TableAt(size_t i) { return *tables_[i]; }

 private:
  void ProbePeer(size_t from, const PeerState& to) {
    const auto index = static_cast<size_t>(std::stoi(to.instance.substr(1)));
    const bool is_partitioned = is_partitioned_ && (from % 2) != (index % 2);
    PeerTable& sender = *tables_[from];
    if (!is_up_[index] || is_partitioned) {
      sender.OnProbeFailed(to.instance, now_);
      return;
    }
    PeerTable& receiver = *tables_[index];
    receiver.ApplyUpdate(sender.Self(), now_);
    receiver.ApplyUpdate(to, now_);
    for (const PeerState& it : sender.TakeChanges(24)) {
      receiver.ApplyUpdate(it, now_);
    }
    sender.ApplyUpdate(receiver.Self(), now_);
    for (const PeerState& it : receiver.TakeChanges(24)) {
      sender.ApplyUpdate(it, now_);
    }
    sender.OnProbeAnswered(to.instance, now_);
  }

  std::mt19937_64 random_;
  Millis now_{1000};
  std::vector<std::unique_ptr<PeerTable>> tables_;
  std::vector<bool> is_up_;
  bool is_partitioned_ = false;
};

SUITE(PeerTableTest) {
  CPPUNIT_TEST_SUITE(PeerTableTest);
  CPPUNIT_TEST(TestAllInstancesDiscoverEachOther);
  CPPUNIT_TEST(TestFailureAndRecoveryAreDetected);
  CPPUNIT_TEST(TestGroupRejoinsAfterPartition);
  CPPUNIT_TEST(TestSuspectedInstanceRaisesIncarnation);
  CPPUNIT_TEST(TestOutdatedUpdateIsIgnored);
  CPPUNIT_TEST(TestLostPathOutranksTheKnownState);
  CPPUNIT_TEST(TestTunnelAddressSurvivesPeersThatDoNotKnowIt);
  CPPUNIT_TEST(TestCopyPeersPreferOtherDomains);
  CPPUNIT_TEST(TestCopyLookupIsLimitedInLargeGroups);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestAllInstancesDiscoverEachOther() {
    SimulatedGroup group(60, 7);
    for (int i = 0; i < 20; ++i) {
      group.RunProbeRound();
    }
    for (size_t i = 0; i < 60; ++i) {
      EXPECT(group.AllSeeAlive(i, true));
    }
  }

  void TestFailureAndRecoveryAreDetected() {
    EXPECT(rc::check("all instances detect a failure and a recovery",
                     [](uint64_t seed) {
                       SimulatedGroup group(12, seed);
                       for (int i = 0; i < 20; ++i) {
                         group.RunProbeRound();
                       }
                       const size_t dead = seed % 12;
                       group.SetIsUp(dead, false);
                       for (int i = 0; i < 40; ++i) {
                         group.RunProbeRound();
                       }
                       RC_ASSERT(group.AllSeeAlive(dead, false));
                       group.SetIsUp(dead, true);
                       for (int i = 0; i < 60; ++i) {
                         group.RunProbeRound();
                       }
                       RC_ASSERT(group.AllSeeAlive(dead, true));
                     }));
  }

  void TestGroupRejoinsAfterPartition() {
    EXPECT(rc::check("a partitioned group joins again", [](uint64_t seed) {
      SimulatedGroup group(10, seed);
      for (int i = 0; i < 20; ++i) {
        group.RunProbeRound();
      }
      group.SetPartitioned(true);
      for (int i = 0; i < 60; ++i) {
        group.RunProbeRound();
      }
      RC_ASSERT(group.SeesAlive(0, 2));
      RC_ASSERT(!group.SeesAlive(0, 1));
      group.SetPartitioned(false);
      for (int i = 0; i < 80; ++i) {
        group.RunProbeRound();
      }
      for (size_t i = 0; i < 10; ++i) {
        RC_ASSERT(group.AllSeeAlive(i, true));
      }
    }));
  }

  void TestSuspectedInstanceRaisesIncarnation() {
    PeerTable table(MakePeer(0), {}, 1);
    PeerState update = MakePeer(0);
    update.status = PeerStatus::kSuspect;
    EXPECT(table.ApplyUpdate(update, {1}));
    EXPECT_EQ(uint64_t{2}, table.Self().incarnation);
    EXPECT(!table.ApplyUpdate(update, {2}));
  }

  void TestOutdatedUpdateIsIgnored() {
    PeerTable table(MakePeer(0), {}, 1);
    PeerState peer = MakePeer(1);
    peer.incarnation = 5;
    peer.configuration_version = 9;
    table.ApplyUpdate(peer, {1});
    PeerState old = MakePeer(1);
    old.incarnation = 4;
    old.status = PeerStatus::kDead;
    EXPECT(!table.ApplyUpdate(old, {2}));
    old.incarnation = 5;
    old.status = PeerStatus::kAlive;
    old.configuration_version = 3;
    EXPECT(!table.ApplyUpdate(old, {3}));
    EXPECT_EQ(uint64_t{9}, table.All()[1].configuration_version);
  }

  void TestCopyPeersPreferOtherDomains() {
    std::vector<PeerState> peers;
    for (int i = 1; i < 12; ++i) {
      peers.push_back(MakePeer(i));
    }
    const Location own{"d0", "r"};
    const auto ranked = RankCopyPeers("key", own, peers);
    EXPECT(ranked.front().failure_domain != "d0");
    EXPECT_EQ(std::string("d0"), ranked.back().failure_domain);
    peers.front().status = PeerStatus::kSuspect;
    EXPECT_EQ(peers.front().instance,
              RankCopyPeers("key", own, peers).back().instance);
  }

  void TestLostPathOutranksTheKnownState() {
    PeerTable instance(MakePeer(1), PeerTableOptions(), 1);
    PeerTable peer(MakePeer(2), PeerTableOptions(), 2);
    peer.ApplyUpdate(instance.Self(), Millis{1});
    for (const bool is_lost : {true, false}) {
      const PeerState before = instance.Self();
      instance.SetPathLost(is_lost);
      EXPECT(peer.ApplyUpdate(instance.Self(), Millis{2}));
      EXPECT(!peer.ApplyUpdate(before, Millis{3}));
      EXPECT_EQ(is_lost, peer.Reachable().at(0).is_path_lost);
    }
    const uint64_t incarnation = instance.Self().incarnation;
    instance.SetPathLost(false);
    EXPECT_EQ(incarnation, instance.Self().incarnation);
  }

  void TestTunnelAddressSurvivesPeersThatDoNotKnowIt() {
    PeerState state = MakePeer(1);
    state.tunnel_address = "10.0.0.1:2";
    state.is_path_lost = true;
    const PeerState relayed = MakePeer(1);
    PeerTable peer(MakePeer(2), PeerTableOptions(), 2);
    const auto has_tunnel_state = [&] {
      const PeerState known = peer.Reachable().at(0);
      return known.tunnel_address == state.tunnel_address && known.is_path_lost;
    };
    peer.ApplyUpdate(relayed, Millis{1});
    EXPECT(peer.ApplyUpdate(state, Millis{2}));
    EXPECT(has_tunnel_state());
    EXPECT(!peer.ApplyUpdate(relayed, Millis{3}));
    EXPECT(has_tunnel_state());
    PeerState suspected = relayed;
    suspected.status = PeerStatus::kSuspect;
    EXPECT(peer.ApplyUpdate(suspected, Millis{4}));
    EXPECT(has_tunnel_state());
    PeerState restarted = relayed;
    restarted.incarnation = 9;
    EXPECT(peer.ApplyUpdate(restarted, Millis{5}));
    EXPECT(!has_tunnel_state());
  }

  void TestCopyLookupIsLimitedInLargeGroups() {
    std::vector<PeerState> peers;
    for (int i = 1; i < 350; ++i) {
      peers.push_back(MakePeer(i));
    }
    const auto asked = CopyLookupAddresses("key", peers);
    EXPECT_EQ(size_t{12}, asked.size());
    // An instance sends copies to the peer that it ranks first. Whichever
    // failure domain the instance is in, that peer is asked for the copy.
    for (const char* domain : {"d0", "d1", "d2", "d3"}) {
      const auto first = RankCopyPeers("key", {domain, "r"}, peers).front();
      EXPECT(std::find(asked.begin(), asked.end(), first.address) !=
             asked.end());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTableTest);

}  // namespace

}  // namespace daisypond::membership

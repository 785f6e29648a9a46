#include "forward/tunnel_peer_selector.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

const std::vector<TunnelPeer> kPeers = {{"a1", "a", "", true},
                                        {"a2", "a", "", true},
                                        {"b1", "b", "", true},
                                        {"b2", "b", "", true}};

SUITE(TunnelPeerSelectorTest) {
  CPPUNIT_TEST_SUITE(TunnelPeerSelectorTest);
  CPPUNIT_TEST(TestSameDomainComesFirst);
  CPPUNIT_TEST(TestOtherDomainWhenOwnHasLostItsPath);
  CPPUNIT_TEST(TestPeerThatRefusedIsAvoidedForAWhile);
  CPPUNIT_TEST(TestSilentPeerIsExcludedForAWhile);
  CPPUNIT_TEST(TestTriedPeersAreExcludedAndTheirDomainAvoided);
  CPPUNIT_TEST(TestOpenTunnelsAreSpread);
  CPPUNIT_TEST(TestInstancesSpreadOverPeers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestSameDomainComesFirst() {
    TunnelPeerSelector selector(1);
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(std::string("b"),
                selector.Choose(kPeers, "b", {}, {0})->failure_domain);
    }
  }

  void TestOtherDomainWhenOwnHasLostItsPath() {
    TunnelPeerSelector selector(1);
    std::vector<TunnelPeer> peers = kPeers;
    peers[0].has_target_path = false;
    EXPECT_EQ(std::string("a2"),
              selector.Choose(peers, "a", {}, {0})->instance);
    peers[1].has_target_path = false;
    EXPECT_EQ(std::string("b"),
              selector.Choose(peers, "a", {}, {0})->failure_domain);
    peers[2].has_target_path = false;
    peers[3].has_target_path = false;
    EXPECT(!selector.Choose(peers, "a", {}, {0}));
    EXPECT(!selector.Choose({}, "a", {}, {0}));
  }

  void TestPeerThatRefusedIsAvoidedForAWhile() {
    TunnelPeerSelector selector(1);
    selector.OnRefused("a1", {0});
    EXPECT_EQ(std::string("a2"),
              selector.Choose(kPeers, "a", {}, {999})->instance);
    selector.OnRefused("a2", {0});
    EXPECT_EQ(std::string("b"),
              selector.Choose(kPeers, "a", {}, {999})->failure_domain);
    EXPECT_EQ(std::string("a"),
              selector.Choose(kPeers, "a", {}, {1000})->failure_domain);
    selector.OnRefused("b1", {2000});
    EXPECT(selector.Choose({kPeers[2]}, "a", {}, {2001}).has_value());
  }

  void TestSilentPeerIsExcludedForAWhile() {
    TunnelPeerSelector selector(1);
    selector.OnUnreachable("a1", {0});
    EXPECT(!selector.Choose({kPeers[0]}, "a", {}, {999}));
    EXPECT(selector.Choose({kPeers[0]}, "a", {}, {1000}).has_value());
  }

  void TestTriedPeersAreExcludedAndTheirDomainAvoided() {
    TunnelPeerSelector selector(1);
    EXPECT_EQ(std::string("b"),
              selector.Choose(kPeers, "a", {kPeers[0]}, {0})->failure_domain);
    EXPECT_EQ(std::string("a2"),
              selector.Choose({kPeers[0], kPeers[1]}, "a", {kPeers[0]}, {0})
                  ->instance);
    EXPECT(!selector.Choose(kPeers, "a", kPeers, {0}));
  }

  void TestOpenTunnelsAreSpread() {
    TunnelPeerSelector selector(1);
    std::vector<std::shared_ptr<const std::string>> open;
    open.reserve(20);
    for (int i = 0; i < 20; ++i) {
      open.push_back(selector.OnTunnelBegun(
          selector.Choose(kPeers, "a", {}, {0})->instance));
    }
    EXPECT_EQ(int64_t{10}, selector.OpenTunnels("a1"));
    EXPECT_EQ(int64_t{10}, selector.OpenTunnels("a2"));
    std::erase_if(open, [](const auto& it) { return *it == "a1"; });
    EXPECT_EQ(int64_t{0}, selector.OpenTunnels("a1"));
    EXPECT_EQ(std::string("a1"),
              selector.Choose(kPeers, "a", {}, {0})->instance);
  }

  void TestInstancesSpreadOverPeers() {
    std::map<std::string, int> chosen;
    for (uint64_t i = 0; i < 100; ++i) {
      TunnelPeerSelector selector(i);
      ++chosen[selector.Choose(kPeers, "a", {}, {0})->instance];
    }
    EXPECT(chosen["a1"] >= 25 && chosen["a2"] >= 25);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TunnelPeerSelectorTest);

}  // namespace

}  // namespace daisypond::forward

#include "membership/copy_peers.h"

#include <algorithm>
#include <map>

#include "routing/rendezvous.h"

namespace daisypond::membership {

namespace {

// If a group has at most kMaximumSmallGroupPeers peers, all of them are asked
// for the copy of a generation. In a larger group, only kPeersAskedPerDomain
// peers of each failure domain are asked.
constexpr size_t kMaximumSmallGroupPeers = 16;
constexpr size_t kPeersAskedPerDomain = 3;

/// Returns how suitable a peer is to store the copy of a generation. A lower
/// tier is better.
int PreferenceTier(const Location& own, const PeerState& peer) {
  if (peer.status != PeerStatus::kAlive) {
    return 3;
  }
  if (peer.region != own.region) {
    return 2;
  }
  return peer.failure_domain == own.failure_domain ? 1 : 0;
}

std::vector<PeerState> Rank(const std::string& key,
                            const std::vector<PeerState>& peers) {
  return routing::RankByKey(key, peers,
                            [](const PeerState& it) { return it.instance; });
}

}  // namespace

std::vector<PeerState> RankCopyPeers(const std::string& key,
                                     const Location& own,
                                     const std::vector<PeerState>& peers) {
  std::vector<PeerState> ranked = Rank(key, peers);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&](const PeerState& a, const PeerState& b) {
                     return PreferenceTier(own, a) < PreferenceTier(own, b);
                   });
  return ranked;
}

std::vector<std::string> CopyLookupAddresses(
    const std::string& key,
    const std::vector<PeerState>& peers) {
  std::vector<std::string> addresses;
  std::map<std::string, size_t> asked_per_domain;
  for (const PeerState& it : Rank(key, peers)) {
    const bool should_ask =
        peers.size() <= kMaximumSmallGroupPeers ||
        asked_per_domain[it.failure_domain] < kPeersAskedPerDomain;
    if (should_ask) {
      ++asked_per_domain[it.failure_domain];
      addresses.push_back(it.address);
    }
  }
  return addresses;
}

}  // namespace daisypond::membership

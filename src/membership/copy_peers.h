#ifndef DAISYPOND_MEMBERSHIP_COPY_PEERS_H_
#define DAISYPOND_MEMBERSHIP_COPY_PEERS_H_

#include <string>
#include <vector>

#include "membership/peer_state.h"

namespace daisypond::membership {

/// Where an instance stands.
struct Location {
  std::string failure_domain;
  std::string region;
};

/// Peers that may hold the copy of a generation, best first: alive ones of
/// other failure domains in the region, so that the copy outlives a rack or
/// a domain; then of the own domain; then of other regions. Within each group
/// the key decides.
std::vector<PeerState> RankCopyPeers(const std::string& key,
                                     const Location& own,
                                     const std::vector<PeerState>& peers);

/// Addresses to ask for a copy of `key`: all peers of a small group, the
/// first few in the key's ranking of every failure domain of a large one.
std::vector<std::string> CopyLookupAddresses(
    const std::string& key,
    const std::vector<PeerState>& peers);

}  // namespace daisypond::membership

#endif  // DAISYPOND_MEMBERSHIP_COPY_PEERS_H_

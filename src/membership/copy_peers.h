#ifndef DAISYPOND_MEMBERSHIP_COPY_PEERS_H_
#define DAISYPOND_MEMBERSHIP_COPY_PEERS_H_

#include <string>
#include <vector>

#include "membership/peer_state.h"

namespace daisypond::membership {

/// The location of an instance.
struct Location {
  std::string failure_domain;
  std::string region;
};

/// Ranks the peers that the copy of a generation may be sent to, best first.
/// Live peers in other failure domains of the own region come first, so that
/// the copy survives the loss of a rack or a failure domain; then live peers of
/// the own domain; then live peers of other regions; then peers that are not
/// alive. Peers of the same tier are ordered by the key's rendezvous hash.
std::vector<PeerState> RankCopyPeers(const std::string& key,
                                     const Location& own,
                                     const std::vector<PeerState>& peers);

/// Returns the addresses of the peers to ask for a copy of `key`: all peers of
/// a small group; in a large group, the first few peers of each failure domain
/// in the key's ranking.
std::vector<std::string> CopyLookupAddresses(
    const std::string& key,
    const std::vector<PeerState>& peers);

}  // namespace daisypond::membership

#endif  // DAISYPOND_MEMBERSHIP_COPY_PEERS_H_

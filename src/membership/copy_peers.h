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

/// Ranks the peers to which the copy of a generation may be sent, best first.
/// Live peers in other failure domains of the own region come first, so that
/// the copy survives the loss of a rack or a failure domain; then live peers of
/// the own failure domain; then live peers of other regions; then peers that
/// are not alive. Within each of these four tiers, the peers are ordered by
/// rendezvous hashing of `key`.
std::vector<PeerState> RankCopyPeers(const std::string& key,
                                     const Location& own,
                                     const std::vector<PeerState>& peers);

/// Returns the addresses of the peers to ask for a copy of the generation
/// `key`: all peers if there are few; otherwise, of each failure domain, the
/// few peers that rank first by rendezvous hashing of `key`.
std::vector<std::string> CopyLookupAddresses(
    const std::string& key,
    const std::vector<PeerState>& peers);

}  // namespace daisypond::membership

#endif  // DAISYPOND_MEMBERSHIP_COPY_PEERS_H_

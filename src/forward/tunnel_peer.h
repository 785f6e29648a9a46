#ifndef DAISYPOND_FORWARD_TUNNEL_PEER_H_
#define DAISYPOND_FORWARD_TUNNEL_PEER_H_

#include <string>

namespace daisypond::forward {

/// An instance through which targets can be reached; see tunnel::Open().
struct TunnelPeer {
  std::string instance;
  std::string failure_domain;
  /// "IP:PORT" at which it opens tunnels.
  std::string address;
  /// False while it cannot reach the targets directly.
  bool has_target_path = true;

  bool operator==(const TunnelPeer&) const = default;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TUNNEL_PEER_H_

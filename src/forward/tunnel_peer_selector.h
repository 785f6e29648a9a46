#ifndef DAISYPOND_FORWARD_TUNNEL_PEER_SELECTOR_H_
#define DAISYPOND_FORWARD_TUNNEL_PEER_SELECTOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "forward/tunnel_peer.h"

namespace daisypond::forward {

/// Chooses the peer through which a target is reached: one of the same failure
/// domain, as long as such a peer can reach targets, and the one with the
/// fewest open tunnels of this instance. The class reads no clock: callers pass
/// the current time.
class TunnelPeerSelector {
 public:
  /// How long a peer that opened no tunnel is chosen only if there is no
  /// alternative, or not at all if it did not answer.
  static constexpr base::Millis kAvoidance{1000};

  explicit TunnelPeerSelector(uint64_t seed) : random_(seed) {}

  /// Returns the peer through which the next tunnel should be opened, or
  /// nothing if there is none. `tried` are the peers that did not open it; one
  /// of another failure domain than theirs is preferred.
  std::optional<TunnelPeer> Choose(const std::vector<TunnelPeer>& peers,
                                   const std::string& failure_domain,
                                   const std::vector<TunnelPeer>& tried,
                                   base::Millis now);

  /// Returns the name of the peer. The tunnel counts as open as long as the
  /// returned object exists.
  std::shared_ptr<const std::string> OnTunnelBegun(const std::string& peer);

  /// The peer refused a tunnel or could not connect to the target.
  void OnRefused(const std::string& peer, base::Millis now);

  /// The peer did not answer.
  void OnUnreachable(const std::string& peer, base::Millis now);

  /// Number of open tunnels of this instance through the peer.
  int64_t OpenTunnels(const std::string& peer) const;

 private:
  /// Each open tunnel shares the name of its peer.
  std::map<std::string, std::shared_ptr<const std::string>> names_;
  std::map<std::string, base::Millis> avoided_until_;
  std::map<std::string, base::Millis> unreachable_until_;
  uint64_t random_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TUNNEL_PEER_SELECTOR_H_

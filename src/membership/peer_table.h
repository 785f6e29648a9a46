#ifndef DAISYPOND_MEMBERSHIP_PEER_TABLE_H_
#define DAISYPOND_MEMBERSHIP_PEER_TABLE_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "membership/peer_state.h"

namespace daisypond::membership {

struct PeerTableOptions {
  /// How long a suspected peer has to refute the suspicion before it counts as
  /// dead.
  base::Millis suspicion_timeout{3000};
  /// How long the entry of a dead peer is kept, so that an outdated update does
  /// not add the peer again as alive.
  base::Millis dead_peer_retention{600'000};
  /// Each change is sent with as many messages as the base-2 logarithm of the
  /// group's size, multiplied by this factor.
  int retransmit_factor = 3;
};

/// One instance's view of the group, after SWIM (Das, Gupta, Motivala 2002).
/// Each instance probes one peer per period, and the messages of a probe carry
/// membership changes. An instance suspected to be dead refutes the suspicion
/// by raising its incarnation. The cost per instance does not grow with the
/// group. Performs no I/O and reads no clock: methods get the time as an
/// argument.
class PeerTable {
 public:
  PeerTable(PeerState self, PeerTableOptions options, uint64_t seed);

  /// Merges an update from a peer. Returns true when the table changed.
  bool ApplyUpdate(const PeerState& update, base::Millis now);

  /// Returns the next peer to probe, or nothing when every known peer is dead.
  std::optional<PeerState> NextProbe();

  /// Returns up to `n` random live peers that can probe the peer
  /// `probed_instance` on behalf of this instance. That peer is not among them.
  std::vector<PeerState> IndirectProbers(const std::string& probed_instance,
                                         size_t n);

  void OnProbeAnswered(const std::string& instance, base::Millis now);
  void OnProbeFailed(const std::string& instance, base::Millis now);

  /// Marks peers as dead that did not refute a suspicion in time, and removes
  /// dead peers after the retention time.
  void ProcessTimeouts(base::Millis now);

  /// Returns up to `n` recent changes to send with the next message, those sent
  /// the fewest times first. Each change returned counts as sent once more.
  std::vector<PeerState> TakeChanges(size_t n);

  /// Returns all known peers and this instance.
  std::vector<PeerState> All() const;

  /// Returns the peers that may answer requests: all that are not dead.
  std::vector<PeerState> Reachable() const;

  const PeerState& Self() const { return self_; }
  void SetConfigurationVersion(uint64_t version);
  void SetLeaving();
  /// Raises the own incarnation, so that the change outranks the known state.
  void SetPathLost(bool is_path_lost);

  /// Returns the time since the peer answered a probe or an update changed its
  /// entry, or nothing for an unknown peer.
  std::optional<base::Millis> TimeSinceHeard(const std::string& instance,
                                             base::Millis now) const;

 private:
  struct Entry {
    PeerState state;
    base::Millis changed_at;
    base::Millis last_heard_at;
    int times_sent = 0;
  };

  /// Processes an update about this instance. Raises the own incarnation if the
  /// update reports this instance as suspect or dead, or has a higher
  /// incarnation. Returns true when the incarnation was raised.
  bool ApplyToSelf(const PeerState& update);
  int TransmissionLimit() const;
  void RefillProbeOrder();

  PeerState self_;
  PeerTableOptions options_;
  std::mt19937_64 random_;
  std::map<std::string, Entry> entries_;
  std::vector<std::string> probe_order_;
};

}  // namespace daisypond::membership

#endif  // DAISYPOND_MEMBERSHIP_PEER_TABLE_H_

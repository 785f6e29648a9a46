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
  /// How long a suspect may refute before it counts as dead.
  base::Millis suspicion_timeout{3000};
  /// How long a dead peer is remembered, so that old news cannot revive it.
  base::Millis dead_peer_retention{600'000};
  /// Each change is sent this many times the logarithm of the group's size.
  int retransmit_factor = 3;
};

/// The group as one instance sees it, after SWIM (Das, Gupta, Motivala 2002):
/// one probe a period, changes ride on the probes, a suspected instance
/// refutes by raising its incarnation. The cost for each instance does not
/// grow with the group. Pure: time comes in as an argument.
class PeerTable {
 public:
  PeerTable(PeerState self, PeerTableOptions options, uint64_t seed);

  /// Takes in news. Returns true when the table changed.
  bool Apply(const PeerState& update, base::Millis now);

  /// The next peer to probe; empty when there is none.
  std::optional<PeerState> NextProbe();

  /// Up to `n` live peers, other than `excluded`, that may probe in our place.
  std::vector<PeerState> IndirectProbers(const std::string& excluded, size_t n);

  void OnProbeAnswered(const std::string& instance, base::Millis now);
  void OnProbeFailed(const std::string& instance, base::Millis now);

  /// Turns overdue suspicions into deaths and forgets the long dead.
  void ProcessTimeouts(base::Millis now);

  /// Up to `n` recent changes to send with the next message, the least sent
  /// first. Each call counts as one sending.
  std::vector<PeerState> TakeChanges(size_t n);

  /// The whole table, this instance included.
  std::vector<PeerState> All() const;

  /// Peers that can be asked: alive, leaving or only suspected.
  std::vector<PeerState> Reachable() const;

  const PeerState& Self() const { return self_; }
  void SetConfigurationVersion(uint64_t version);
  void SetLeaving();

  /// Time since this instance last heard of the peer, directly or not.
  std::optional<base::Millis> TimeSinceHeard(const std::string& instance,
                                             base::Millis now) const;

 private:
  struct Entry {
    PeerState state;
    base::Millis changed_at;
    base::Millis last_heard_at;
    int times_sent = 0;
  };

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

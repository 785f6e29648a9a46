#ifndef DAISYPOND_FORWARD_TARGET_PATH_H_
#define DAISYPOND_FORWARD_TARGET_PATH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/name_table.h"
#include "catalog/target.h"

namespace daisypond::forward {

/// Whether this instance can open direct connections to targets.
enum class PathState : uint8_t {
  kDirect,
  /// A failure has been seen; probes are finding out whether a target or the
  /// path is lost.
  kChecking,
  kLost,
};

inline constexpr base::NameTable<PathState, 3> kPathStateNames("direct",
                                                               "checking",
                                                               "lost");

/// Decides from the outcome of direct connects whether this instance has lost
/// its path to all targets, or to all targets of a service, while it may still
/// be able to reach them through a peer. A failure starts a check: probes,
/// which only connect, go to a few other targets. The path is lost when
/// connects to several targets have failed since then and none has succeeded.
/// Data on connections that are already open does not count, because they can
/// live on while new ones are refused. While the path is lost, one target at a
/// time is probed. The class reads no clock: callers pass the current time.
class TargetPath {
 public:
  /// Time allowed for the connect of a probe.
  static constexpr base::Millis kProbeTimeout{300};
  /// Interval between two probes while the path is lost.
  static constexpr base::Millis kProbePeriod{500};
  /// Number of targets that must be unreachable before the path counts as lost;
  /// all targets, if there are fewer.
  static constexpr size_t kTargetsUntilLost = 3;

  /// Replaces the list of targets. What is known of targets that stay is kept.
  void Configure(const catalog::Targets& targets);

  /// A direct connection to the target was opened at `connected_at`, and the
  /// target has sent bytes on it or at least not reset it.
  void OnConnected(const std::string& target, base::Millis connected_at);

  /// A new direct connection to the target was reset before it carried any
  /// byte. A target that has too many connections does so as well; this counts
  /// as a failed connect only while nothing arrives on other connections.
  void OnConnectionReset(const std::string& target, base::Millis now);

  /// Bytes arrived from the target on any direct connection.
  void OnBytesReceived(const std::string& target, base::Millis now);

  /// A direct connect to the target failed or timed out.
  void OnConnectFailed(const std::string& target, base::Millis now);

  /// A direct connection to the target broke, or the target was silent. If
  /// `target` is empty, nothing is heard from any target.
  void OnSuspicion(const std::string& target, base::Millis now);

  /// A peer has reached a target of the service.
  void OnReachedThroughPeer(const std::string& service);

  /// Peers could not reach the target either. After several such targets it is
  /// assumed for a while that the targets are lost and not the path.
  void OnUnreachableThroughPeer(const std::string& target, base::Millis now);

  /// Ends checks whose time is over.
  void Update(base::Millis now);

  /// Returns the targets that are to be probed now. For each of them either
  /// OnConnected() or OnConnectFailed() must follow.
  std::vector<std::string> TakeProbes(base::Millis now);

  /// The path to all targets together.
  PathState State() const { return whole_.Effective(); }
  /// The path to the targets of one service.
  PathState StateOf(const std::string& service) const;
  /// The path to the targets of the service of one target.
  PathState StateOfTarget(const std::string& target) const;

  /// True when it is known that not the targets of the service but the path to
  /// them is lost.
  bool IsLossExplained(const std::string& service) const;

  /// True when open connections to targets of the service (all if empty) have
  /// carried bytes since the path was lost.
  bool DoConnectionsLiveOn(const std::string& service) const;

  /// True when a check or a lost path needs Update() and TakeProbes().
  bool NeedsProbes() const;

  /// When the failures began that led to the present state of the service;
  /// meaningless while the path is direct.
  base::Millis SuspectedSince(const std::string& service) const;

  /// Service of the target, or an empty string if it is not known.
  std::string ServiceOf(const std::string& target) const;

  /// Names of the services whose targets cannot be reached directly.
  std::vector<std::string> LostServices() const;

 private:
  /// The path to a group of targets: all, or those of one service.
  struct Scope {
    PathState state = PathState::kDirect;
    /// Connects that ended before this time do not count.
    base::Millis suspected_since;
    /// When the last failure without a success after it was seen.
    base::Millis last_failure_at{INT64_MIN / 2};
    /// The target whose failure began the check; empty if there is none.
    std::string suspect;
    base::Millis check_began_at;
    base::Millis check_ended_at{INT64_MIN / 2};
    base::Millis next_probe_at;
    /// Number of probes of the present check.
    size_t n_probes = 0;
    /// A peer has reached a target of the group while the path was lost.
    bool is_reached_through_peer = false;
    /// Targets that no peer has reached while the path was lost.
    std::set<std::string> unreachable_through_peers;
    /// Until this time, the targets and not the path count as lost.
    std::optional<base::Millis> refuted_until;

    PathState Effective() const {
      return refuted_until ? PathState::kDirect : state;
    }
  };

  struct TargetRecord {
    std::string service;
    std::string failure_domain;
    bool is_leaving = false;
    base::Millis connected_at{INT64_MIN / 2};
    base::Millis failed_at{INT64_MIN / 2};
    /// When a new connection was last reset.
    base::Millis reset_at{INT64_MIN / 2};
    base::Millis heard_at{INT64_MIN / 2};
    base::Millis probed_at{INT64_MIN / 2};
    bool is_probed = false;

    /// True when the last connect failed or was reset, not before `time`.
    bool HasFailedSince(base::Millis time) const {
      return (failed_at >= time && failed_at > connected_at) ||
             (reset_at >= time && reset_at > connected_at);
    }
  };

  /// Targets of a scope, and those of them that cannot be reached.
  struct Census {
    size_t n_targets = 0;
    size_t n_failed = 0;
    /// Those of them that accepted a connection and reset it.
    size_t n_reset = 0;
    size_t n_pending_probes = 0;
    size_t n_domains = 0;
    size_t n_failed_domains = 0;
    size_t n_services = 0;
    size_t n_failed_services = 0;

    bool ShowsLoss() const;
  };

  static void Suspect(Scope* scope,
                      const std::string& target,
                      base::Millis now);
  static void EndCheck(Scope* scope, PathState state, base::Millis now);
  /// Forgets the failures.
  static void Restore(Scope* scope, base::Millis now);
  /// `service` is empty for all targets.
  void UpdateScope(const std::string& service, Scope* scope, base::Millis now);
  Census Count(const std::string& service, const Scope& scope) const;
  /// True when bytes from targets of the scope have arrived since the failures
  /// began.
  bool HasHeard(const std::string& service, const Scope& scope) const;
  /// Number of probes that the check may have begun by now.
  static size_t AllowedProbes(const Scope& scope,
                              const Census& census,
                              base::Millis now);
  /// Chooses the targets that a check of `scope` probes next.
  void AddCheckProbes(const std::string& service,
                      Scope* scope,
                      base::Millis now,
                      std::vector<std::string>* probes);
  void CountUnreachable(const std::string& service,
                        const std::string& target,
                        Scope* scope,
                        base::Millis now);
  void AddLostProbe(const std::string& service,
                    Scope* scope,
                    base::Millis now,
                    std::vector<std::string>* probes);
  /// Returns the target of the scope whose probe says most: one that was
  /// reached lately, of a failure domain and of a service that have not failed.
  std::optional<std::string> ChooseProbe(const std::string& service,
                                         const Scope& scope) const;
  std::optional<std::string> LeastRecentlyProbed(
      const std::string& service) const;
  void BeginProbe(const std::string& target,
                  base::Millis now,
                  std::vector<std::string>* probes);

  std::map<std::string, TargetRecord> targets_;
  Scope whole_;
  /// By service.
  std::map<std::string, Scope> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_PATH_H_

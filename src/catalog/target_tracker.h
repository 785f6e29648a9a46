#ifndef DAISYPOND_CATALOG_TARGET_TRACKER_H_
#define DAISYPOND_CATALOG_TARGET_TRACKER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "catalog/target.h"

namespace daisypond::catalog {

/// The addition, change or removal of one target.
struct TargetChange {
  std::string id;
  /// Null when the target's entry was removed.
  const Target* target = nullptr;
};

/// Maintains the set of active targets from the lists and changes that the
/// table service returns. The entries of running targets may expire in the
/// table service while it is unavailable. Therefore no target is removed during
/// an outage. A target whose entry is found missing in the first answers after
/// an outage is removed only when the entry is still missing after
/// kRecoveryGracePeriod. An entry that is removed once these answers have been
/// read has not expired in the outage. The same holds when the table service
/// returns from a copy, which lacks what was written last. What the copy has
/// brought back does not undo that a process is leaving or has left. Reads no
/// clock; methods get the time as an argument.
class TargetTracker {
 public:
  /// How long targets without an entry in the table service stay active after
  /// an outage of the table service. The platform guarantees that running
  /// targets whose entries expired during the outage register again within two
  /// seconds after its end.
  static constexpr base::Millis kRecoveryGracePeriod{2200};
  /// How long a process that had left is ignored when a copy lists it again
  /// and its entry does not change. The entry of a process that is gone expires
  /// within this time.
  static constexpr base::Millis kRelistedPeriod{5000};

  /// Processes the complete list of targets. Returns true when the active
  /// targets changed.
  bool OnListed(const Targets& listed, base::Millis now);

  /// Processes the changes since the last call of OnListed() or OnChanged().
  /// Returns true when the active targets changed.
  bool OnChanged(const std::vector<TargetChange>& changes, base::Millis now);

  /// Replaces the active targets with those of a peer that has read from the
  /// table service more recently. Returns true when the active targets changed.
  bool ReplaceWithPeerTargets(const Targets& listed);

  bool IsTableServiceUnavailable() const { return is_unavailable_; }

  /// To be called when a call to the table service failed.
  void OnTableServiceUnavailable();

  /// To be called when a call to the table service succeeded. After failed
  /// calls, entries that are missing keep their targets for
  /// kRecoveryGracePeriod only if there `was_outage`: a table service that
  /// served other instances meanwhile had no reason to lose entries.
  void OnTableServiceAvailable(base::Millis now, bool was_outage = true);

  /// To be called when a call to the table service succeeded for the first time
  /// since it returned from a copy, before OnListed() is called with the list.
  void OnTableServiceReturnedFromCopy(base::Millis now);

  /// To be called when all changes that the table service had when it became
  /// available have been processed.
  void OnCaughtUp() { is_catching_up_ = false; }

  /// Removes targets whose entries are still missing after
  /// kRecoveryGracePeriod. Returns true when the active targets changed.
  bool RemoveExpired(base::Millis now);

  /// Adds the targets that had left and are still listed kRelistedPeriod after
  /// a return from a copy. Returns true when the active targets changed.
  bool AddRelisted(base::Millis now);

  const Targets& ActiveTargets() const { return active_; }

  /// Number of active targets without an entry in the table service.
  size_t MissingCount() const { return missing_since_.size(); }

 private:
  /// A process whose entry was removed.
  struct Departed {
    int64_t started_at = 0;
    base::Millis departed_at;
  };
  /// A target that had left and was listed again by a copy.
  struct Relisted {
    Target target;
    base::Millis listed_at;
  };

  // How long it is remembered that a process has left. Copies are some seconds
  // old.
  static constexpr base::Millis kDepartedPeriod{60'000};

  bool AddOrUpdate(const Target& target);
  /// The same for an entry of a list that was read from a copy.
  bool AddOrUpdateFromCopy(Target target, base::Millis now);
  void RememberDeparted(const Target& target, base::Millis now);
  bool RemoveOrMarkMissing(const std::string& id, base::Millis now);
  /// True when there is no outage and none has ended within
  /// kRecoveryGracePeriod before `now`.
  bool IsRecovered(base::Millis now) const;

  Targets active_;
  /// For each active target without an entry in the table service, the time at
  /// which the entry was first found missing; by target id.
  std::map<std::string, base::Millis> missing_since_;
  bool is_unavailable_ = false;
  /// True from the end of an outage until OnCaughtUp().
  bool is_catching_up_ = false;
  /// True until the first list after a return from a copy.
  bool is_copy_unread_ = false;
  /// By target id.
  std::map<std::string, Departed> departed_;
  std::map<std::string, Relisted> relisted_;
  bool has_recovered_ = false;
  base::Millis recovered_at_;
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_TARGET_TRACKER_H_

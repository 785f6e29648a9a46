#ifndef DAISYPOND_CATALOG_TARGET_TRACKER_H_
#define DAISYPOND_CATALOG_TARGET_TRACKER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "catalog/target.h"

namespace daisypond::catalog {

/// A target that was added, changed or removed.
struct TargetChange {
  std::string id;
  /// Null: the target's entry is gone.
  const Target* target = nullptr;
};

/// Decides which targets are in force, from lists and changes of the table
/// service, of which entries may lapse while the service is away. While it is
/// away nothing is dropped; what is missing after its return is dropped when
/// it is still missing after kRecoveryGracePeriod. Pure: time comes in as an
/// argument.
class TargetTracker {
 public:
  /// Entries that lapsed during an outage are back within two seconds of its
  /// end (the platform's promise).
  static constexpr base::Millis kRecoveryGracePeriod{2200};

  /// Takes in the whole list. Returns true when the targets in force changed.
  bool OnListed(const Targets& listed, base::Millis now);

  /// Takes in changes since the last list or change.
  bool OnChanged(const std::vector<TargetChange>& changes, base::Millis now);

  /// Takes over what a peer that has heard of the table service later has in
  /// force. Returns true when the targets in force changed.
  bool ReplaceWithPeerTargets(const Targets& listed);

  bool IsTableServiceUnavailable() const { return is_unavailable_; }

  /// The table service did not answer.
  void OnTableServiceUnavailable();

  /// The table service answered.
  void OnTableServiceAvailable(base::Millis now);

  /// Drops what has been missing for too long. Returns true when the targets
  /// in force changed.
  bool RemoveExpired(base::Millis now);

  const Targets& ActiveTargets() const { return active_; }

  /// Entries that are missing from the list and still in force.
  size_t MissingCount() const { return missing_since_.size(); }

 private:
  bool Put(const Target& target);
  bool Remove(const std::string& id, base::Millis now);
  bool RemovesImmediately(base::Millis now) const;

  Targets active_;
  /// By id, since when the entry is missing.
  std::map<std::string, base::Millis> missing_since_;
  bool is_unavailable_ = false;
  bool has_recovered_ = false;
  base::Millis recovered_at_;
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_TARGET_TRACKER_H_

#ifndef DAISYPOND_CATALOG_TARGET_FOLLOWER_H_
#define DAISYPOND_CATALOG_TARGET_FOLLOWER_H_

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
/// it is still missing after kReturnGrace. Pure: time comes in as an argument.
class TargetFollower {
 public:
  /// Entries that lapsed during an outage are back within two seconds of its
  /// end (the platform's promise).
  static constexpr base::Millis kReturnGrace{2200};

  /// Takes in the whole list. Returns true when the targets in force changed.
  bool OnListed(const Targets& listed, base::Millis now);

  /// Takes in changes since the last list or change.
  bool OnChanged(const std::vector<TargetChange>& changes, base::Millis now);

  /// Takes over what a peer that has heard of the table service later has in
  /// force. Returns true when the targets in force changed.
  bool OnPeerList(const Targets& listed);

  bool IsAway() const { return is_away_; }

  /// The table service did not answer.
  void OnAway();

  /// The table service answered.
  void OnAnswered(base::Millis now);

  /// Drops what has been missing for too long. Returns true when the targets
  /// in force changed.
  bool Advance(base::Millis now);

  const Targets& InForce() const { return in_force_; }

  /// Entries that are missing from the list and still in force.
  size_t Missing() const { return missing_.size(); }

 private:
  bool Put(const Target& target);
  bool Remove(const std::string& id, base::Millis now);
  bool IsDroppedAtOnce(base::Millis now) const;

  Targets in_force_;
  /// By id, since when the entry is missing.
  std::map<std::string, base::Millis> missing_;
  bool is_away_ = false;
  bool has_returned_ = false;
  base::Millis returned_at_;
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_TARGET_FOLLOWER_H_

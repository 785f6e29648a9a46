#ifndef DAISYPOND_ROLLOUT_GATE_H_
#define DAISYPOND_ROLLOUT_GATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollout/types.h"
#include "rollout/version_comparison.h"

namespace daisypond::rollout {

/// Whether `a` supersedes `b`: by era, order, number.
bool IsNewer(const Decision& a, const Decision& b);

/// What one instance sends to the new version of one service. Follows the
/// newest decision that it has heard; closed without one. Stops by itself when
/// the instance's own answers show a bad version, until it hears a later
/// decision after kStopHold.
class Gate {
 public:
  /// Follows `decision` if it supersedes the present one. Returns whether it
  /// does.
  bool Follow(const Decision& decision, base::Millis now);

  /// Whether a new request on `route` may go to the new version. `random` is
  /// equally distributed from 0 to below 1.
  bool Draw(const std::string& route, double random) const;

  /// The new targets that get requests, of `targets`: ranked by a hash of
  /// order and target, the same on each instance.
  std::vector<std::string> NewTargets(std::vector<std::string> targets) const;

  /// Counts an answer that this instance got in the current `slice`.
  void CountAnswer(const TargetOutcome& outcome);

  /// Weighs the answers of the slices before `slice`.
  void Weigh(int64_t slice, base::Millis now);

  bool IsStopped() const { return stopped_at_.has_value(); }
  const std::optional<Decision>& Current() const { return decision_; }

  /// Error rate of an instance's own test: 295 of them err less than once in
  /// a hundred roll-outs, and an error stops one instance for a while only.
  static constexpr double kAlpha = 1e-5;
  /// Time that a report and the controller's decision need.
  static constexpr base::Millis kStopHold{2000};

 private:
  std::optional<Decision> decision_;
  std::optional<base::Millis> stopped_at_;
  VersionComparison comparison_{kAlpha};
};

}  // namespace daisypond::rollout

#endif  // DAISYPOND_ROLLOUT_GATE_H_

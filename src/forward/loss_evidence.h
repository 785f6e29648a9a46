#ifndef DAISYPOND_FORWARD_LOSS_EVIDENCE_H_
#define DAISYPOND_FORWARD_LOSS_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "base/clock.h"
#include "forward/target_loss.h"

namespace daisypond::forward {

/// The losses that count against a request or a prompt part.
struct LossCount {
  /// Losses without a common cause.
  size_t isolated = 0;
  /// All losses; those with the same common cause count once.
  size_t events = 0;
};

/// Losses of different targets of a service in one failure domain within this
/// time of each other are attributed to a common cause.
inline constexpr base::Millis kCorrelatedLossWindow{500};

struct RecordedLoss {
  TargetLoss target;
  base::Millis lost_at;
  /// When the target was last found lost.
  base::Millis last_found_at;
  /// Number of other targets of the service in the failure domain that were
  /// lost at about the same time.
  int simultaneous = 0;
  /// Hash of the request that the target had.
  uint64_t request = 0;
};

/// What speaks for and against one request or one prompt part.
struct LossEvidence {
  /// Latest loss of each process of a target.
  std::map<TargetProcess, RecordedLoss> processes;
  base::Millis last_lost_at;
  /// Losses up to this time do not count.
  std::optional<base::Millis> answered_at;
  /// Recent answers, as counted by the instance that counted most.
  int answers = 0;
  /// Of a prompt part: the number of parts before it.
  int position = 0;

  /// Counts the losses of all processes except `explained`.
  LossCount Count(const std::set<TargetProcess>& explained = {}) const;

  /// Number of different requests that the lost targets had.
  size_t CountRequests() const;

  /// Drops the losses up to `at`, and those at later times stay. Returns true
  /// if losses were dropped.
  bool OnAnswered(base::Millis at);

 private:
  /// True when other targets than those that count here were lost together with
  /// this one, or more than one other target.
  bool HasCommonCause(const RecordedLoss& loss) const;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_LOSS_EVIDENCE_H_

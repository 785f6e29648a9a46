#ifndef DAISYPOND_FORWARD_SLOT_LEASE_H_
#define DAISYPOND_FORWARD_SLOT_LEASE_H_

#include <cstdint>

#include "base/clock.h"
#include "base/name_table.h"
#include "forward/target_loss.h"

namespace daisypond::forward {

/// Asks for one of the slots of a brittle target: one that fails when it has to
/// reject too many requests a second.
struct SlotRequest {
  TargetProcess target;
  /// Chosen by the instance that asks, unique in the group.
  uint64_t lease_id = 0;
  /// Rejections a second that the target tolerates from all instances together.
  double rejection_limit = 0;
  /// Number of requests that the target processes concurrently.
  int64_t slots = 0;
  /// The lease ends by itself after this time.
  base::Millis duration;
};

/// What the send for which a slot was leased came to.
enum class SlotOutcome : uint8_t {
  /// The request was not sent.
  kUnused,
  /// The target has ended the request.
  kUsed,
  /// The target rejected the request.
  kRejected,
  /// The request was broken off. The target may go on with it.
  kAbandoned,
};

inline constexpr base::NameTable<SlotOutcome, 4> kSlotOutcomeNames("unused",
                                                                   "used",
                                                                   "rejected",
                                                                   "abandoned");

/// Gives a leased slot back. A rejected request that was sent without a lease
/// is reported with a `lease_id` of zero.
struct SlotReturn {
  TargetProcess target;
  uint64_t lease_id = 0;
  /// As in SlotRequest.
  double rejection_limit = 0;
  SlotOutcome outcome = SlotOutcome::kUnused;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SLOT_LEASE_H_

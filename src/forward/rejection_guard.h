#ifndef DAISYPOND_FORWARD_REJECTION_GUARD_H_
#define DAISYPOND_FORWARD_REJECTION_GUARD_H_

#include <cstdint>
#include <deque>
#include <map>

#include "base/clock.h"
#include "forward/request_permit_pool.h"
#include "forward/slot_lease.h"

namespace daisypond::forward {

/// Leases the slots of brittle targets, so that all instances together do not
/// send such a target more requests than it has room for. For each target one
/// instance holds the slots and all instances ask it before each send.
///
/// How many requests a target has room for is learned. Requests sent without a
/// lease take slots, so each rejection lowers the number of slots that are
/// leased, and accepted requests raise it again, one by one, also beyond the
/// number of slots if the target lets requests wait. Before a number of
/// concurrent requests has proved acceptable, few more are allowed at once, as
/// all of them may be rejected. Reads no clock; all methods get the time as an
/// argument.
class RejectionGuard {
 public:
  /// Share of a target's rejection limit that is used. The rest is left for
  /// requests without a lease and for a second instance that holds the slots
  /// while the members disagree.
  static constexpr double kUsedShareOfLimit = 0.5;
  /// A send that has not been rejected within this time was accepted.
  static constexpr base::Millis kConfirmationTime{30};
  /// How long a slot stays leased after its request was broken off. Not all
  /// targets stop work when their connection closes.
  static constexpr base::Millis kAbandonedLease{100};
  /// How long to wait for a slot when all of them are leased.
  static constexpr base::Millis kSlotWait{15};
  /// A target for which nobody has asked for this long is forgotten.
  static constexpr base::Millis kRetentionPeriod{30'000};

  /// Leases a slot. Asking again for a lease replaces it.
  RequestPermit Take(const SlotRequest& request, base::Millis now);

  /// Ends a lease, unless it has ended, and takes note of a rejection.
  void Return(const SlotReturn& slot, base::Millis now);

 private:
  struct Lease {
    base::Millis granted_at;
    base::Millis expires_at;
    /// Number of leased slots, including this one, when it was leased.
    int64_t leased = 0;
    /// The lease tries whether the target accepts one more request.
    bool is_probe = false;
  };

  struct Slots {
    /// Number of slots that the target has.
    int64_t total = 0;
    /// Number of slots that may be leased without trying for one more.
    int64_t usable = 0;
    /// Number of concurrent requests that has proved acceptable since a
    /// rejection.
    int64_t proven = 0;
    std::map<uint64_t, Lease> leases;
    /// Times of the rejections of the last second.
    std::deque<base::Millis> rejections;
    /// When `usable` was last lowered.
    base::Millis lowered_at;
    base::Millis next_probe_at;
    /// How long no slot is tried beyond `total` after the next rejection there.
    base::Millis queue_retry_delay;
    base::Millis used_at;
  };

  Slots& SlotsOf(const TargetProcess& target, base::Millis now);
  /// Returns the maximum number of leased slots, and learns which leases were
  /// accepted.
  static int64_t Allowed(Slots* slots, double limit, base::Millis now);
  static void OnRejection(Slots* slots, const Lease* lease, base::Millis now);

  std::map<TargetProcess, Slots> slots_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_REJECTION_GUARD_H_

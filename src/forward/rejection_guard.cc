#include "forward/rejection_guard.h"

#include <algorithm>

namespace daisypond::forward {

namespace {

using base::Millis;

constexpr Millis kRejectionWindow{1000};
constexpr double kMillisPerSecond = 1000;
// Share of a target's rejection limit that may be spent to find out whether it
// accepts one more request.
constexpr double kProbeShareOfLimit = 0.25;
constexpr double kMinimumProbesPerSecond = 0.25;
// A rejection leaves this many of the other leased slots usable, in percent.
constexpr int64_t kUsablePercentAfterRejection = 80;
constexpr int64_t kPercentBase = 100;
// After a rejection no additional slot is tried for this long.
constexpr Millis kProbePause{1000};
// After a rejection of a request beyond the number of slots, how long no other
// one is tried, doubled with each such rejection.
constexpr Millis kInitialQueueRetryDelay{4000};
constexpr Millis kMaximumQueueRetryDelay{32'000};

Millis ProbeInterval(double rejection_limit) {
  const double rate =
      std::max(rejection_limit * kProbeShareOfLimit, kMinimumProbesPerSecond);
  return Millis{static_cast<int64_t>(kMillisPerSecond / rate)};
}

/// Returns how many rejections within kRejectionWindow are risked.
int64_t RejectionBudget(double rejection_limit) {
  return static_cast<int64_t>(rejection_limit *
                              RejectionGuard::kUsedShareOfLimit);
}

}  // namespace

RejectionGuard::Slots& RejectionGuard::SlotsOf(const TargetProcess& target,
                                               Millis now) {
  std::erase_if(slots_, [&](const auto& it) {
    return now - it.second.used_at >= kRetentionPeriod;
  });
  Slots& slots = slots_[target];
  slots.used_at = now;
  std::erase_if(slots.leases,
                [now](const auto& it) { return now >= it.second.expires_at; });
  while (!slots.rejections.empty() &&
         slots.rejections.front() + kRejectionWindow <= now) {
    slots.rejections.pop_front();
  }
  return slots;
}

int64_t RejectionGuard::Allowed(Slots* slots, double limit, Millis now) {
  int64_t accepted = 0;
  for (const auto& it : slots->leases) {
    const Lease& lease = it.second;
    if (now - lease.granted_at < kConfirmationTime) {
      continue;
    }
    ++accepted;
    if (lease.granted_at >= slots->lowered_at) {
      slots->proven = std::max(slots->proven, lease.leased);
    }
  }
  slots->proven = std::max(slots->proven, accepted);
  const int64_t budget = std::max<int64_t>(RejectionBudget(limit), 1) -
                         static_cast<int64_t>(slots->rejections.size());
  return budget <= 0 ? 0 : std::min(slots->usable, slots->proven + budget);
}

RequestPermit RejectionGuard::Take(const SlotRequest& request, Millis now) {
  Slots& slots = SlotsOf(request.target, now);
  if (slots.total == 0) {
    slots.total = std::max<int64_t>(request.slots, 1);
    slots.usable = slots.total;
    slots.queue_retry_delay = kInitialQueueRetryDelay;
  }
  slots.leases.erase(request.lease_id);
  const auto leased = static_cast<int64_t>(slots.leases.size()) + 1;
  const int64_t allowed = Allowed(&slots, request.rejection_limit, now);
  if (allowed == 0) {
    return {false, slots.rejections.front() + kRejectionWindow - now};
  }
  const int64_t maximum =
      slots.total + RejectionBudget(request.rejection_limit);
  const bool may_probe = leased == slots.usable + 1 && leased <= maximum &&
                         leased <= slots.proven + 1 &&
                         now >= slots.next_probe_at;
  const bool is_probe = leased > allowed && may_probe;
  if (leased > allowed && !is_probe) {
    return {false, kSlotWait};
  }
  if (is_probe) {
    slots.next_probe_at = now + ProbeInterval(request.rejection_limit);
  }
  slots.leases[request.lease_id] = {now, now + request.duration, leased,
                                    is_probe};
  return {true, {}};
}

void RejectionGuard::Return(const SlotReturn& slot, Millis now) {
  Slots& slots = SlotsOf(slot.target, now);
  const auto it = slots.leases.find(slot.lease_id);
  Lease* lease = it == slots.leases.end() ? nullptr : &it->second;
  if (slot.outcome == SlotOutcome::kRejected) {
    OnRejection(&slots, lease, now);
  } else if (slot.outcome == SlotOutcome::kUsed && lease != nullptr &&
             lease->granted_at >= slots.lowered_at) {
    slots.proven = std::max(slots.proven, lease->leased);
    if (lease->is_probe) {
      slots.usable = std::max(slots.usable, lease->leased);
    }
  }
  if (lease != nullptr && slot.outcome == SlotOutcome::kAbandoned) {
    lease->expires_at = std::min(lease->expires_at, now + kAbandonedLease);
  } else if (lease != nullptr) {
    slots.leases.erase(it);
  }
}

void RejectionGuard::OnRejection(Slots* slots, const Lease* lease, Millis now) {
  slots->rejections.push_back(now);
  slots->next_probe_at = std::max(slots->next_probe_at, now + kProbePause);
  // What was sent before `usable` was lowered says nothing about it.
  if (lease != nullptr && lease->granted_at < slots->lowered_at) {
    return;
  }
  if (slots->usable > slots->total ||
      (lease != nullptr && lease->leased > slots->total)) {
    slots->usable = slots->total;
    slots->proven = std::min(slots->proven, slots->total);
    slots->next_probe_at = now + slots->queue_retry_delay;
    slots->queue_retry_delay =
        std::min(slots->queue_retry_delay * 2, kMaximumQueueRetryDelay);
  } else if (lease != nullptr && !lease->is_probe) {
    slots->usable = std::max<int64_t>(
        1, (lease->leased - 1) * kUsablePercentAfterRejection / kPercentBase);
    slots->proven = 0;
  } else {
    slots->proven = 0;
  }
  slots->lowered_at = now;
}

}  // namespace daisypond::forward

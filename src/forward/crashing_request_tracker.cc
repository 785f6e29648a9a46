#include "forward/crashing_request_tracker.h"

#include <algorithm>

namespace daisypond::forward {

void CrashingRequestTracker::OnTargetLost(uint64_t content_hash,
                                          const TargetLoss& target,
                                          base::Millis now) {
  const Loss loss = FindOrAddLoss(target, now);
  RemoveExpired(now);
  if (content_hash != 0) {
    RequestLosses& losses = losses_by_content_[content_hash];
    losses.processes[target.process] = loss;
    losses.last_lost_at = now;
  }
}

const CrashingRequestTracker::Loss& CrashingRequestTracker::FindOrAddLoss(
    const TargetLoss& target,
    base::Millis now) {
  const auto it = std::find_if(
      recent_losses_.rbegin(), recent_losses_.rend(), [&](const Loss& loss) {
        return loss.target.process == target.process &&
               now - loss.last_found_at < kSameLossPeriod;
      });
  if (it != recent_losses_.rend()) {
    it->last_found_at = now;
    return *it;
  }
  recent_losses_.push_back({target, now, now});
  MarkCommonCauses(&recent_losses_.back());
  return recent_losses_.back();
}

void CrashingRequestTracker::MarkCommonCauses(Loss* loss) {
  for (Loss& it : recent_losses_) {
    if (it.target.service != loss->target.service ||
        it.target.failure_domain != loss->target.failure_domain ||
        it.target.process == loss->target.process ||
        loss->lost_at - it.lost_at >= kCorrelatedLossWindow) {
      continue;
    }
    loss->has_common_cause = true;
    if (!it.has_common_cause) {
      it.has_common_cause = true;
      MarkCommonCauseOf(it);
    }
  }
}

void CrashingRequestTracker::MarkCommonCauseOf(const Loss& loss) {
  for (auto& it : losses_by_content_) {
    const auto found = it.second.processes.find(loss.target.process);
    if (found != it.second.processes.end() &&
        found->second.lost_at == loss.lost_at) {
      found->second.has_common_cause = true;
    }
  }
}

size_t CrashingRequestTracker::RequestLosses::Counted() const {
  return static_cast<size_t>(std::count_if(
      processes.begin(), processes.end(),
      [](const auto& it) { return !it.second.has_common_cause; }));
}

bool CrashingRequestTracker::RequestLosses::HasExpired(base::Millis now) const {
  const bool is_blocked = Counted() >= kTargetLossesUntilBlocked;
  return now - last_lost_at >= (is_blocked ? kBlockPeriod : kRetentionPeriod);
}

size_t CrashingRequestTracker::CountedLosses(uint64_t content_hash) const {
  const auto it = losses_by_content_.find(content_hash);
  return it == losses_by_content_.end() ? 0 : it->second.Counted();
}

bool CrashingRequestTracker::IsBlocked(uint64_t content_hash,
                                       base::Millis now) const {
  const auto it = losses_by_content_.find(content_hash);
  return it != losses_by_content_.end() &&
         it->second.Counted() >= kTargetLossesUntilBlocked &&
         !it->second.HasExpired(now);
}

void CrashingRequestTracker::RemoveExpired(base::Millis now) {
  while (!recent_losses_.empty() &&
         (now - recent_losses_.front().lost_at >= kRetentionPeriod ||
          recent_losses_.size() > kMaximumTrackedRequests)) {
    recent_losses_.pop_front();
  }
  std::erase_if(losses_by_content_,
                [&](const auto& it) { return it.second.HasExpired(now); });
  if (losses_by_content_.size() > kMaximumTrackedRequests) {
    losses_by_content_.erase(
        std::min_element(losses_by_content_.begin(), losses_by_content_.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.last_lost_at < b.second.last_lost_at;
                         }));
  }
}

}  // namespace daisypond::forward

#include "forward/crashing_request_tracker.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

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
  FindSimultaneous(&recent_losses_.back());
  return recent_losses_.back();
}

void CrashingRequestTracker::FindSimultaneous(Loss* loss) {
  for (Loss& it : recent_losses_) {
    if (it.target.service != loss->target.service ||
        it.target.failure_domain != loss->target.failure_domain ||
        it.target.process == loss->target.process ||
        loss->lost_at - it.lost_at >= kCorrelatedLossWindow) {
      continue;
    }
    ++loss->simultaneous;
    ++it.simultaneous;
    CopySimultaneous(it);
  }
}

void CrashingRequestTracker::CopySimultaneous(const Loss& loss) {
  for (auto& it : losses_by_content_) {
    const auto found = it.second.processes.find(loss.target.process);
    if (found != it.second.processes.end() &&
        found->second.lost_at == loss.lost_at) {
      found->second.simultaneous = loss.simultaneous;
    }
  }
}

bool CrashingRequestTracker::RequestLosses::HasCommonCause(
    const Loss& loss) const {
  const auto n_own =
      std::count_if(processes.begin(), processes.end(), [&](const auto& it) {
        const Loss& other = it.second;
        return other.target.service == loss.target.service &&
               other.target.failure_domain == loss.target.failure_domain &&
               other.target.process != loss.target.process &&
               other.lost_at < loss.lost_at + kCorrelatedLossWindow &&
               loss.lost_at < other.lost_at + kCorrelatedLossWindow;
      });
  const bool is_pair = loss.simultaneous == 1 && n_own == 1;
  return loss.simultaneous > 0 && !is_pair;
}

LossCount CrashingRequestTracker::RequestLosses::Count() const {
  LossCount count;
  // Times of the losses with a common cause, by service and failure domain.
  std::map<std::pair<std::string, std::string>, std::vector<base::Millis>>
      correlated;
  for (const auto& it : processes) {
    const Loss& loss = it.second;
    if (HasCommonCause(loss)) {
      correlated[{loss.target.service, loss.target.failure_domain}].push_back(
          loss.lost_at);
    } else {
      ++count.isolated;
    }
  }
  count.events = count.isolated;
  for (auto& it : correlated) {
    std::sort(it.second.begin(), it.second.end());
    base::Millis previous{INT64_MIN / 2};
    for (const base::Millis lost_at : it.second) {
      count.events += lost_at - previous >= kCorrelatedLossWindow ? 1 : 0;
      previous = lost_at;
    }
  }
  return count;
}

bool CrashingRequestTracker::RequestLosses::IsBlocked() const {
  const LossCount count = Count();
  return count.isolated >= kTargetLossesUntilBlocked ||
         count.events >= kLossEventsUntilBlocked;
}

bool CrashingRequestTracker::RequestLosses::HasExpired(base::Millis now) const {
  return now - last_lost_at >= (IsBlocked() ? kBlockPeriod : kRetentionPeriod);
}

LossCount CrashingRequestTracker::CountLosses(uint64_t content_hash) const {
  const auto it = losses_by_content_.find(content_hash);
  return it == losses_by_content_.end() ? LossCount() : it->second.Count();
}

bool CrashingRequestTracker::IsBlocked(uint64_t content_hash,
                                       base::Millis now) const {
  const auto it = losses_by_content_.find(content_hash);
  return it != losses_by_content_.end() && it->second.IsBlocked() &&
         !it->second.HasExpired(now);
}

void CrashingRequestTracker::OnRequestAnswered(uint64_t content_hash,
                                               base::Millis now) {
  const auto it = losses_by_content_.find(content_hash);
  if (it == losses_by_content_.end()) {
    return;
  }
  if (it->second.Count().events < kLossEventsUntilShared) {
    losses_by_content_.erase(it);
    return;
  }
  // Kept, so that peers clear the losses as well.
  it->second.processes.clear();
  it->second.answered_at = now;
}

void CrashingRequestTracker::OnSuspectedByPeer(const SuspectedRequest& request,
                                               base::Millis now) {
  RequestLosses losses;
  const auto known = losses_by_content_.find(request.content_hash);
  if (known != losses_by_content_.end()) {
    losses = known->second;
  }
  if (request.answer_age) {
    losses.answered_at = std::max(losses.answered_at.value_or(base::Millis{0}),
                                  now - *request.answer_age);
  }
  for (const SuspectedRequest::Loss& it : request.losses) {
    const base::Millis lost_at = now - it.age;
    Loss& loss = losses.processes
                     .try_emplace(it.target.process,
                                  Loss{it.target, lost_at, lost_at, 0})
                     .first->second;
    loss.simultaneous = std::max(loss.simultaneous, it.simultaneous);
    losses.last_lost_at = std::max(losses.last_lost_at, lost_at);
  }
  std::erase_if(losses.processes, [&](const auto& it) {
    return losses.answered_at && it.second.lost_at <= *losses.answered_at;
  });
  if (!losses.HasExpired(now)) {
    losses_by_content_[request.content_hash] = std::move(losses);
  }
  RemoveExpired(now);
}

std::vector<SuspectedRequest> CrashingRequestTracker::SharedRequests(
    base::Millis now) const {
  std::vector<std::pair<base::Millis, uint64_t>> shared;
  for (const auto& it : losses_by_content_) {
    if (!it.second.HasExpired(now) &&
        (it.second.answered_at ||
         it.second.Count().events >= kLossEventsUntilShared)) {
      shared.emplace_back(it.second.last_lost_at, it.first);
    }
  }
  std::sort(shared.rbegin(), shared.rend());
  shared.resize(std::min(shared.size(), kMaximumSharedRequests));
  std::vector<SuspectedRequest> requests;
  for (const auto& it : shared) {
    const RequestLosses& losses = losses_by_content_.at(it.second);
    SuspectedRequest request;
    request.content_hash = it.second;
    for (const auto& loss : losses.processes) {
      request.losses.push_back({loss.second.target, now - loss.second.lost_at,
                                loss.second.simultaneous});
    }
    if (losses.answered_at) {
      request.answer_age = now - *losses.answered_at;
    }
    requests.push_back(std::move(request));
  }
  return requests;
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

#include "forward/loss_evidence.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace daisypond::forward {

bool LossEvidence::HasCommonCause(const RecordedLoss& loss) const {
  const auto n_own =
      std::count_if(processes.begin(), processes.end(), [&](const auto& it) {
        const RecordedLoss& other = it.second;
        return other.target.service == loss.target.service &&
               other.target.failure_domain == loss.target.failure_domain &&
               other.target.process != loss.target.process &&
               other.lost_at < loss.lost_at + kCorrelatedLossWindow &&
               loss.lost_at < other.lost_at + kCorrelatedLossWindow;
      });
  const bool is_pair = loss.simultaneous == 1 && n_own == 1;
  return loss.simultaneous > 0 && !is_pair;
}

LossCount LossEvidence::Count(const std::set<TargetProcess>& explained) const {
  LossCount count;
  // Times of the losses with a common cause, by service and failure domain.
  std::map<std::pair<std::string, std::string>, std::vector<base::Millis>>
      correlated;
  for (const auto& it : processes) {
    const RecordedLoss& loss = it.second;
    if (explained.contains(it.first)) {
      continue;
    }
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
    base::Millis event_began_at{INT64_MIN / 2};
    for (const base::Millis lost_at : it.second) {
      if (lost_at - event_began_at >= kCorrelatedLossWindow) {
        ++count.events;
        event_began_at = lost_at;
      }
    }
  }
  return count;
}

size_t LossEvidence::CountRequests() const {
  std::set<uint64_t> requests;
  for (const auto& it : processes) {
    requests.insert(it.second.request);
  }
  return requests.size();
}

bool LossEvidence::OnAnswered(base::Millis at) {
  answered_at = std::max(answered_at.value_or(at), at);
  return std::erase_if(processes, [&](const auto& it) {
           return it.second.lost_at <= *answered_at;
         }) > 0;
}

}  // namespace daisypond::forward

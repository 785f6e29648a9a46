#include "forward/crash_memory.h"

#include <algorithm>

namespace daisypond::forward {

void CrashMemory::OnLost(uint64_t content,
                         const std::string& target,
                         const std::string& failure_domain,
                         base::Millis now) {
  const Loss loss{target, failure_domain, now};
  all_.push_back(loss);
  if (content != 0) {
    Losses& losses = lost_[content];
    losses.targets[target] = loss;
    losses.last = now;
  }
  Forget(now);
}

bool CrashMemory::IsAlone(const Loss& loss) const {
  return std::none_of(all_.begin(), all_.end(), [&](const Loss& it) {
    return it.failure_domain == loss.failure_domain &&
           it.target != loss.target && it.at < loss.at + kTogether &&
           loss.at < it.at + kTogether;
  });
}

bool CrashMemory::IsHeld(uint64_t content, base::Millis now) const {
  const auto it = lost_.find(content);
  if (it == lost_.end()) {
    return false;
  }
  const auto n = std::count_if(it->second.targets.begin(),
                               it->second.targets.end(), [&](const auto& lost) {
                                 return now - lost.second.at < kMemory &&
                                        IsAlone(lost.second);
                               });
  return static_cast<size_t>(n) >= kLosses;
}

void CrashMemory::Forget(base::Millis now) {
  while (!all_.empty() &&
         (now - all_.front().at >= kMemory || all_.size() > kMaximumRequests)) {
    all_.pop_front();
  }
  std::erase_if(
      lost_, [&](const auto& it) { return now - it.second.last >= kMemory; });
  if (lost_.size() > kMaximumRequests) {
    lost_.erase(std::min_element(lost_.begin(), lost_.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.last < b.second.last;
                                 }));
  }
}

}  // namespace daisypond::forward

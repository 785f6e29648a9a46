#include "catalog/target_tracker.h"

#include <utility>

namespace daisypond::catalog {

bool TargetTracker::AddOrUpdate(const Target& target) {
  missing_since_.erase(target.id);
  const auto it = active_.find(target.id);
  if (it != active_.end() && it->second == target) {
    return false;
  }
  active_[target.id] = target;
  return true;
}

bool TargetTracker::AddOrUpdateFromCopy(Target target, base::Millis now) {
  const auto active = active_.find(target.id);
  if (active != active_.end() &&
      active->second.started_at == target.started_at) {
    target.is_leaving |= active->second.is_leaving;
    return AddOrUpdate(target);
  }
  const auto departed = departed_.find(target.id);
  if (departed == departed_.end() ||
      departed->second.started_at != target.started_at) {
    return AddOrUpdate(target);
  }
  relisted_[target.id] = {target, now};
  return false;
}

void TargetTracker::RememberDeparted(const Target& target, base::Millis now) {
  std::erase_if(departed_, [&](const auto& it) {
    return now - it.second.departed_at >= kDepartedPeriod;
  });
  departed_[target.id] = {target.started_at, now};
}

bool TargetTracker::IsRecovered(base::Millis now) const {
  return !is_unavailable_ &&
         (!has_recovered_ || now >= recovered_at_ + kRecoveryGracePeriod);
}

bool TargetTracker::RemoveOrMarkMissing(const std::string& id,
                                        base::Millis now) {
  const auto active = active_.find(id);
  if (active == active_.end()) {
    return false;
  }
  if (IsRecovered(now) || (!is_unavailable_ && !is_catching_up_)) {
    RememberDeparted(active->second, now);
    missing_since_.erase(id);
    active_.erase(active);
    return true;
  }
  missing_since_.try_emplace(id, now);
  return false;
}

bool TargetTracker::OnListed(const Targets& listed, base::Millis now) {
  bool has_changed = false;
  const bool is_copy = std::exchange(is_copy_unread_, false);
  std::erase_if(relisted_,
                [&](const auto& it) { return !listed.contains(it.first); });
  for (const auto& it : listed) {
    if (is_copy) {
      has_changed |= AddOrUpdateFromCopy(it.second, now);
    } else if (!relisted_.contains(it.first)) {
      has_changed |= AddOrUpdate(it.second);
    }
  }
  std::vector<std::string> absent;
  for (const auto& it : active_) {
    if (!listed.contains(it.first)) {
      absent.push_back(it.first);
    }
  }
  for (const std::string& it : absent) {
    has_changed |= RemoveOrMarkMissing(it, now);
  }
  return has_changed;
}

bool TargetTracker::OnChanged(const std::vector<TargetChange>& changes,
                              base::Millis now) {
  bool has_changed = false;
  for (const TargetChange& it : changes) {
    relisted_.erase(it.id);
    has_changed |= it.target != nullptr ? AddOrUpdate(*it.target)
                                        : RemoveOrMarkMissing(it.id, now);
  }
  return has_changed;
}

bool TargetTracker::ReplaceWithPeerTargets(const Targets& listed) {
  if (listed == active_) {
    return false;
  }
  active_ = listed;
  missing_since_.clear();
  return true;
}

void TargetTracker::OnTableServiceUnavailable() {
  is_unavailable_ = true;
}

void TargetTracker::OnTableServiceAvailable(base::Millis now, bool was_outage) {
  if (!is_unavailable_) {
    return;
  }
  is_unavailable_ = false;
  if (!was_outage) {
    return;
  }
  is_catching_up_ = true;
  has_recovered_ = true;
  recovered_at_ = now;
}

void TargetTracker::OnTableServiceReturnedFromCopy(base::Millis now) {
  is_unavailable_ = true;
  OnTableServiceAvailable(now);
  is_copy_unread_ = true;
}

bool TargetTracker::AddRelisted(base::Millis now) {
  bool has_changed = false;
  std::erase_if(relisted_, [&](const auto& it) {
    if (now - it.second.listed_at < kRelistedPeriod) {
      return false;
    }
    has_changed |= AddOrUpdate(it.second.target);
    return true;
  });
  return has_changed;
}

bool TargetTracker::RemoveExpired(base::Millis now) {
  if (!IsRecovered(now) || missing_since_.empty()) {
    return false;
  }
  for (const auto& it : missing_since_) {
    active_.erase(it.first);
  }
  missing_since_.clear();
  return true;
}

}  // namespace daisypond::catalog

#include "catalog/target_follower.h"

namespace daisypond::catalog {

bool TargetFollower::Put(const Target& target) {
  missing_.erase(target.id);
  const auto it = in_force_.find(target.id);
  if (it != in_force_.end() && it->second == target) {
    return false;
  }
  in_force_[target.id] = target;
  return true;
}

bool TargetFollower::IsDroppedAtOnce(base::Millis now) const {
  return !is_away_ && (!has_returned_ || now >= returned_at_ + kReturnGrace);
}

bool TargetFollower::Remove(const std::string& id, base::Millis now) {
  if (!in_force_.contains(id)) {
    return false;
  }
  if (IsDroppedAtOnce(now)) {
    missing_.erase(id);
    in_force_.erase(id);
    return true;
  }
  missing_.try_emplace(id, now);
  return false;
}

bool TargetFollower::OnListed(const Targets& listed, base::Millis now) {
  bool has_changed = false;
  for (const auto& it : listed) {
    has_changed |= Put(it.second);
  }
  std::vector<std::string> absent;
  for (const auto& it : in_force_) {
    if (!listed.contains(it.first)) {
      absent.push_back(it.first);
    }
  }
  for (const std::string& it : absent) {
    has_changed |= Remove(it, now);
  }
  return has_changed;
}

bool TargetFollower::OnChanged(const std::vector<TargetChange>& changes,
                               base::Millis now) {
  bool has_changed = false;
  for (const TargetChange& it : changes) {
    has_changed |= it.target != nullptr ? Put(*it.target) : Remove(it.id, now);
  }
  return has_changed;
}

bool TargetFollower::OnPeerList(const Targets& listed) {
  if (listed == in_force_) {
    return false;
  }
  in_force_ = listed;
  missing_.clear();
  return true;
}

void TargetFollower::OnAway() {
  is_away_ = true;
}

void TargetFollower::OnAnswered(base::Millis now) {
  if (!is_away_) {
    return;
  }
  is_away_ = false;
  has_returned_ = true;
  returned_at_ = now;
}

bool TargetFollower::Advance(base::Millis now) {
  if (!IsDroppedAtOnce(now) || missing_.empty()) {
    return false;
  }
  for (const auto& it : missing_) {
    in_force_.erase(it.first);
  }
  missing_.clear();
  return true;
}

}  // namespace daisypond::catalog

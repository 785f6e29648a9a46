#include "forward/loss_hold.h"

#include <algorithm>
#include <utility>

namespace daisypond::forward {

using base::Millis;

void LossHold::OnBytesReceived(const std::string& target, Millis now) {
  if (target == last_heard_.target) {
    last_heard_.at = std::max(last_heard_.at, now);
  } else if (now > last_heard_.at) {
    last_heard_other_ = std::exchange(last_heard_, {target, now});
  } else if (now > last_heard_other_.at) {
    last_heard_other_ = {target, now};
  }
}

bool LossHold::IsPathSoundAfter(const HeldLoss& loss) const {
  // New connections may fail while open ones live on.
  if (loss.kind == LossKind::kConnectFailed) {
    return false;
  }
  const Heard& heard = last_heard_.target != loss.target.process.id
                           ? last_heard_
                           : last_heard_other_;
  return heard.at >= loss.found_at + kMinimumHeardDelay;
}

SettledLosses LossHold::TakeSettled(const TargetPath& path, Millis now) {
  SettledLosses settled;
  std::vector<HeldLoss> kept;
  for (HeldLoss& it : held_) {
    const std::string& service = it.target.service;
    const bool is_checked = path.StateOf(service) != PathState::kChecking;
    if (path.IsLossExplained(service)) {
      settled.explained.push_back(std::move(it));
    } else if (is_checked || IsPathSoundAfter(it) ||
               now >= it.found_at + kMaximumHold) {
      settled.confirmed.push_back(std::move(it));
    } else {
      kept.push_back(std::move(it));
    }
  }
  held_ = std::move(kept);
  return settled;
}

}  // namespace daisypond::forward

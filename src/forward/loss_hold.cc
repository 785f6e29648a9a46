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
  if (loss.kind == LossKind::kConnectFailed || !loss.peer.empty()) {
    return false;
  }
  const Heard& heard = last_heard_.target != loss.target.process.id
                           ? last_heard_
                           : last_heard_other_;
  return heard.at >= loss.found_at + kMinimumHeardDelay;
}

bool LossHold::IsExplained(const HeldLoss& loss,
                           const TargetPath& path,
                           const std::vector<TunnelPeer>& peers) const {
  if (loss.peer.empty()) {
    return path.IsLossExplained(loss.target.service);
  }
  return std::none_of(peers.begin(), peers.end(), [&](const TunnelPeer& it) {
    return it.instance == loss.peer && it.has_target_path;
  });
}

SettledLosses LossHold::TakeSettled(const TargetPath& path,
                                    const std::vector<TunnelPeer>& peers,
                                    Millis now) {
  SettledLosses settled;
  std::vector<HeldLoss> kept;
  for (HeldLoss& it : held_) {
    // While a service is lost, a peer may yet reach it.
    const bool is_path_sound =
        it.peer.empty() && path.State() == PathState::kDirect &&
        path.StateOf(it.target.service) == PathState::kDirect;
    if (IsExplained(it, path, peers)) {
      settled.explained.push_back(std::move(it));
    } else if (is_path_sound || IsPathSoundAfter(it) ||
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

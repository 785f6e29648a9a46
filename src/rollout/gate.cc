#include "rollout/gate.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace daisypond::rollout {

bool IsNewer(const Decision& a, const Decision& b) {
  return std::tie(a.era, a.order_id, a.number) >
         std::tie(b.era, b.order_id, b.number);
}

bool Gate::Follow(const Decision& decision, base::Millis now) {
  if (decision_ && !IsNewer(decision, *decision_)) {
    return false;
  }
  const bool is_other_order = !decision_ || decision_->era != decision.era ||
                              decision_->order_id != decision.order_id;
  // Rolled back is final. Completed, though, says that the earlier targets are
  // gone.
  if (!is_other_order && decision_->state == State::kRolledBack &&
      decision.state == State::kRunning) {
    return false;
  }
  if (is_other_order || (stopped_at_ && now - *stopped_at_ >= kStopHold)) {
    stopped_at_.reset();
    comparison_ = VersionComparison(kAlpha);
  }
  decision_ = decision;
  comparison_.SetNewTargets(decision.target_count);
  return true;
}

bool Gate::Draw(const std::string& route, double random) const {
  if (!decision_ || decision_->state == State::kRolledBack) {
    return false;
  }
  if (decision_->state == State::kCompleted) {
    return true;
  }
  if (stopped_at_) {
    return false;
  }
  const auto it = decision_->route_shares.find(route);
  return random <
         (it == decision_->route_shares.end() ? decision_->share : it->second);
}

std::vector<std::string> Gate::NewTargets(
    std::vector<std::string> targets) const {
  if (!decision_ || decision_->state == State::kRolledBack) {
    return {};
  }
  if (decision_->state == State::kCompleted) {
    return targets;
  }
  std::sort(targets.begin(), targets.end(),
            [&](const std::string& a, const std::string& b) {
              return std::pair(base::Hash(a, decision_->order_id), a) <
                     std::pair(base::Hash(b, decision_->order_id), b);
            });
  const auto count = std::max<int64_t>(0, decision_->target_count);
  if (!targets.empty()) {
    std::rotate(targets.begin(),
                targets.begin() + decision_->first_target %
                                      static_cast<int64_t>(targets.size()),
                targets.end());
  }
  targets.resize(std::min(targets.size(), static_cast<size_t>(count)));
  return targets;
}

void Gate::CountAnswer(const TargetOutcome& outcome) {
  comparison_.Add(outcome);
}

void Gate::Weigh(int64_t slice, base::Millis now) {
  comparison_.CloseBefore(slice);
  if (!stopped_at_ && comparison_.Finding() != Cause::kNone) {
    stopped_at_ = now;
  }
}

}  // namespace daisypond::rollout

#include "rollout/controller.h"

#include <algorithm>
#include <utility>

namespace daisypond::rollout {

namespace {

using base::Millis;

constexpr Millis kSecond{1000};
// Seconds of which rates are averaged.
constexpr int64_t kRateSeconds = 3;
// A report is newest knowledge for this time; instances send two a second.
constexpr Millis kReportFresh{1500};
// An unanswered write is begun again after this time.
constexpr Millis kWriteRetry{1000};
// Limits rows and messages of a running trial.
constexpr Millis kChangeInterval{1000};
constexpr double kRaiseFactor = 1.1;
constexpr double kLowerFactor = 0.9;
// The answers of a step are weighed for this time before the next.

constexpr Millis kStepTime{1500};

// Fewer targets at a time are exchanged for others after a while.
constexpr int64_t kTargetsCompared = 3;
constexpr Millis kMoveInterval{1000};

uint64_t NextBlock(uint64_t number) {
  return (number / kNumbersPerRow + 1) * kNumbersPerRow;
}

bool IsOf(const Decision& decision, const Order& order) {
  return decision.order_id == order.id && decision.era == order.era;
}

double ShareOf(const Decision& decision, const std::string& route) {
  const auto it = decision.route_shares.find(route);
  return it == decision.route_shares.end() ? decision.share : it->second;
}

// Whether a share of `a` is above `factor` times that of `b`.
bool ExceedsBy(double factor, const Decision& a, const Decision& b) {
  bool exceeds = a.share > factor * b.share;
  for (const auto& [route, share] : a.route_shares) {
    exceeds = exceeds || share > factor * ShareOf(b, route);
  }
  for (const auto& [route, share] : b.route_shares) {
    exceeds = exceeds || ShareOf(a, route) > factor * share;
  }
  return exceeds;
}

// The lower of the shares of both.
Decision Lower(Decision decision, const Decision& limit) {
  for (const auto& [route, share] : limit.route_shares) {
    decision.route_shares[route] = ShareOf(decision, route);
  }
  for (auto& [route, share] : decision.route_shares) {
    share = std::min(share, ShareOf(limit, route));
  }
  decision.share = std::min(decision.share, limit.share);
  return decision;
}

Decision WithPlan(Decision decision, const ExposurePlan& plan) {
  decision.share = plan.share;
  decision.route_shares = plan.route_shares;
  decision.target_count = plan.target_count;
  return decision;
}

}  // namespace

Controller::Controller(std::string self,
                       Limits limits,
                       const std::optional<Row>& row,
                       Millis now)
    : self_(std::move(self)), limits_(limits), row_(row) {
  if (row_) {
    counting_until_ = now + kCountAgain;
    highest_number_ = row_->decision.number;
  }
}

bool Controller::IsEnded() const {
  return stage_ == Stage::kCompleted || stage_ == Stage::kRolledBack;
}

void Controller::Begin(const Order& order, Millis start) {
  order_ = order;
  start_ = start;
  pending_.reset();
  instances_.clear();
  is_taken_over_ = false;
  has_own_row_ = false;
  arrivals_.clear();
  comparison_ = VersionComparison(kAlpha);
  raised_at_.reset();
  lowered_at_.reset();
  if (row_ && IsOf(row_->decision, order)) {
    stage_ = row_->stage;
    decision_ = row_->decision;
    is_status_due_ = IsEnded();
    is_decision_due_ = IsEnded();
    is_taken_over_ = true;
    return;
  }
  stage_ = Stage::kWaiting;
  decision_ = {};
  decision_.service = order.service;
  decision_.to = order.to;
  decision_.order_id = order.id;
  decision_.era = order.era;
  decision_.cause = Cause::kOrdered;
  // Closes the gates that follow an earlier order, without a row.
  is_decision_due_ = true;
  counting_until_ = start;
  Propose(Stage::kWaiting, decision_);
}

void Controller::SetOrder(const std::optional<Order>& order,
                          Millis age,
                          Millis now) {
  if (!order) {
    if (order_ && !IsEnded()) {
      RollBack(Cause::kOrderWithdrawn);
    } else if (!order_ && row_ && row_->stage != Stage::kCompleted &&
               row_->stage != Stage::kRolledBack) {
      order_ = Order{};
      order_->id = row_->decision.order_id;
      order_->era = row_->decision.era;
      decision_ = row_->decision;
      stage_ = row_->stage;
      RollBack(Cause::kOrderWithdrawn);
    }
    return;
  }
  if (!order_ || order_->id != order->id || order_->era != order->era) {
    Begin(*order, now - age);
  }
}

void Controller::SetTargets(int64_t old_targets, int64_t new_targets) {
  old_targets_ = old_targets;
  new_targets_ = new_targets;
}

void Controller::SetMembers(std::set<std::string> members, bool has_older) {
  members_ = std::move(members);
  has_older_ = has_older;
}

void Controller::Add(const std::string& instance,
                     const Report& report,
                     Millis now) {
  if (!order_ || report.order_id != order_->id || report.era != order_->era) {
    return;
  }
  const int64_t slice = (now - start_).count / kSlice.count;
  const auto it = instances_.find(instance);
  // A controller that takes over cannot tell when the first totals arose.
  if (it != instances_.end() || !is_taken_over_) {
    for (const auto& [route, total] : report.requests) {
      int64_t before = 0;
      if (it != instances_.end()) {
        const auto known = it->second.newest.requests.find(route);
        before = known == it->second.newest.requests.end() ? 0 : known->second;
      }
      arrivals_[slice][route] += std::max<int64_t>(0, total - before);
    }
  }
  arrivals_.erase(arrivals_.begin(),
                  arrivals_.lower_bound(slice - kRateSeconds));
  for (TargetOutcome outcome : report.outcomes) {
    outcome.stratum.slice = slice;
    comparison_.Add(outcome);
  }
  Instance& entry = instances_[instance];
  entry = {report, now};
  entry.newest.outcomes.clear();
  // Another controller has rolled back and was lost before it wrote so.
  const bool may_roll_back =
      stage_ != Stage::kRolledBack &&
      (stage_ != Stage::kCompleted || (is_taken_over_ && IsCounting(now)));
  if (report.is_rolled_back && may_roll_back) {
    RollBack(Cause::kFailures);
  }
}

int64_t Controller::Exposed() const {
  int64_t n = 0;
  for (const auto& [name, instance] : instances_) {
    n += instance.newest.exposed;
  }
  const bool has_row = row_ && order_ && IsOf(row_->decision, *order_);
  return std::max(n, has_row ? row_->exposed : 0);
}

std::map<std::string, double> Controller::Rates(Millis now) const {
  const int64_t current = (now - start_).count / kSlice.count;
  std::map<std::string, double> rates;
  int64_t seconds = 0;
  for (const auto& [slice, routes] : arrivals_) {
    if (slice >= current || slice < current - kRateSeconds) {
      continue;
    }
    ++seconds;
    for (const auto& [route, n] : routes) {
      rates[route] += static_cast<double>(n);
    }
  }
  for (auto& [route, rate] : rates) {
    rate /= static_cast<double>(seconds);
  }
  return rates;
}

ExposureInputs Controller::Inputs(Millis now) const {
  ExposureInputs inputs;
  inputs.limits = limits_;
  inputs.duration = order_->duration;
  inputs.elapsed = now - start_;
  inputs.exposed = Exposed();
  inputs.old_targets = old_targets_;
  inputs.new_targets = new_targets_;
  int64_t ended = 0;
  int64_t ended_short = 0;
  for (const auto& [name, instance] : instances_) {
    for (const auto& [route, n] : instance.newest.requests) {
      inputs.routes[route].requests += n;
    }
    ended += instance.newest.ended;
    ended_short += instance.newest.ended_short;
  }
  for (const auto& [route, rate] : Rates(now)) {
    inputs.routes[route].rate = rate;
  }
  for (auto& [name, route] : inputs.routes) {
    route.new_answers = comparison_.NewAnswers(name);
  }
  inputs.short_share =
      ended > 0 ? static_cast<double>(ended_short) / static_cast<double>(ended)
                : 0;
  return inputs;
}

ExposurePlan Controller::Plan(Millis now) const {
  ExposurePlan plan = PlanExposure(Inputs(now));
  if (now - start_ >= order_->duration) {
    // A version that could not be tried in time is tried afterwards.
    plan.share = new_targets_ > 0 ? limits_.exposed_share : 0;
    plan.route_shares.clear();
    plan.target_count = TargetsForShare(plan.share, old_targets_, new_targets_);
  }
  return plan;
}

// Whether all members send all new requests to the new version and no request
// is left at an earlier target.
bool Controller::HasSwitched(Millis now) const {
  return !members_.empty() &&
         std::all_of(members_.begin(), members_.end(),
                     [&](const std::string& member) {
                       const auto it = instances_.find(member);
                       return it != instances_.end() &&
                              now - it->second.heard_at < kReportFresh &&
                              it->second.newest.followed == decision_.number &&
                              it->second.newest.open_old == 0;
                     });
}

void Controller::Propose(Stage stage, Decision decision) {
  highest_number_ = NextBlock(std::max(highest_number_, decision_.number));
  decision.number = highest_number_;
  decision.state = stage == Stage::kCompleted    ? State::kCompleted
                   : stage == Stage::kRolledBack ? State::kRolledBack
                                                 : State::kRunning;
  pending_ = Row{self_, stage, std::move(decision), {}, Exposed()};
  for (const auto& [name, instance] : instances_) {
    for (const auto& [route, n] : instance.newest.requests) {
      pending_->requests[route] += n;
    }
  }
  write_started_.reset();
  is_lowered_since_ = false;
}

void Controller::ProposeShare(Stage stage, double share) {
  Decision decision = decision_;
  decision.share = share;
  decision.route_shares.clear();
  decision.target_count = TargetsForShare(share, old_targets_, new_targets_);
  Propose(stage, std::move(decision));
}

void Controller::RollBack(Cause cause) {
  const uint64_t number = std::max(highest_number_, decision_.number) /
                              kNumbersPerRow * kNumbersPerRow +
                          kNumbersPerRow - 1;
  stage_ = Stage::kRolledBack;
  decision_.state = State::kRolledBack;
  decision_.cause = cause;
  decision_.share = 0;
  decision_.route_shares.clear();
  decision_.target_count = 0;
  decision_.number = number;
  is_decision_due_ = true;
  Propose(Stage::kRolledBack, decision_);
}

void Controller::FollowPlan(const ExposurePlan& plan, Millis now) {
  const Decision wanted = WithPlan(decision_, plan);
  const bool may_lower = wanted.share == 0 || !lowered_at_ ||
                         now - *lowered_at_ >= kChangeInterval;
  if (ExceedsBy(1 / kLowerFactor, decision_, wanted) && may_lower &&
      decision_.number % kNumbersPerRow < kNumbersPerRow - 2) {
    const uint64_t number = decision_.number + 1;
    decision_ = Lower(decision_, wanted);
    decision_.number = number;
    lowered_at_ = now;
    is_lowered_since_ = true;
    is_decision_due_ = true;
  }
  const bool is_widened = wanted.target_count > decision_.target_count;
  if (!pending_ && (ExceedsBy(kRaiseFactor, wanted, decision_) || is_widened) &&
      (!raised_at_ || now - *raised_at_ >= kChangeInterval)) {
    raised_at_ = now;
    Propose(Stage::kTrial, wanted);
  }
}

void Controller::AdvanceWaiting(const ExposurePlan& plan, Millis now) {
  const bool is_late = now - start_ >= order_->duration;
  if (new_targets_ > 0 && old_targets_ == 0) {
    decision_.cause = Cause::kServed;
    ProposeShare(Stage::kCompleted, 1);
  } else if (new_targets_ == 0 && is_late) {
    RollBack(Cause::kNoTargets);
  } else if (has_older_ && is_late) {
    RollBack(Cause::kOlderMember);
  } else if (new_targets_ > 0 && plan.share > 0) {
    raised_at_ = now;
    Propose(Stage::kTrial, WithPlan(decision_, plan));
  }
}

void Controller::AdvanceTrial(const ExposurePlan& plan, Millis now) {
  const Millis elapsed = now - start_;
  const bool is_late = elapsed >= order_->duration;
  if (is_late && (new_targets_ == 0 || has_older_)) {
    RollBack(new_targets_ == 0 ? Cause::kNoTargets : Cause::kOlderMember);
  } else if (elapsed >= order_->duration * 2 && !plan.is_covered) {
    RollBack(Cause::kTooFewAnswers);
  } else if (plan.may_switch && plan.is_covered && !has_older_ &&
             new_targets_ > 0) {
    ProposeShare(Stage::kSwitch,
                 plan.allowed_share >= 1 && !is_late ? 1 : kFirstStep);
  } else {
    FollowPlan(plan, now);
    MoveToNextTargets(now);
  }
}

void Controller::AdvanceSwitch(const ExposurePlan& plan, Millis now) {
  if (decision_.share < 1) {
    const double next = std::min(1.0, 2 * decision_.share);
    if (plan.allowed_share >= next && raised_at_ &&
        now - *raised_at_ >= kStepTime) {
      ProposeShare(Stage::kSwitch, next);
    }
  } else if (HasSwitched(now)) {
    decision_.cause = Cause::kNone;
    ProposeShare(Stage::kCompleted, 1);
  }
}

void Controller::MoveToNextTargets(Millis now) {
  if (decision_.target_count == 0 ||
      decision_.target_count >= std::min(kTargetsCompared, new_targets_) ||
      decision_.number % kNumbersPerRow >= kNumbersPerRow - 2) {
    return;
  }
  if (!moved_at_) {
    moved_at_ = now;
  }
  if (now - *moved_at_ >= kMoveInterval) {
    moved_at_ = now;
    ++decision_.number;
    decision_.first_target += decision_.target_count;
    is_decision_due_ = true;
  }
}

void Controller::Advance(Millis now) {
  comparison_.SetNewTargets(new_targets_);
  comparison_.CloseBefore((now - start_).count / kSlice.count);
  const Cause finding = comparison_.Finding();
  if (finding != Cause::kNone) {
    RollBack(finding);
    return;
  }
  const ExposurePlan plan = Plan(now);
  if (is_taken_over_ && !has_own_row_) {
    // Instances may follow numbers after the row's that the earlier controller
    // did not write.
    if (!pending_) {
      Propose(stage_, stage_ == Stage::kTrial
                          ? Lower(decision_, WithPlan(decision_, plan))
                          : decision_);
    }
    return;
  }
  if (pending_) {
    // A raise under way does not hold back a lower share.
    if (stage_ == Stage::kTrial && pending_->stage == Stage::kTrial) {
      FollowPlan(plan, now);
    }
    return;
  }
  switch (stage_) {
    case Stage::kWaiting:
      AdvanceWaiting(plan, now);
      break;
    case Stage::kTrial:
      AdvanceTrial(plan, now);
      break;
    case Stage::kSwitch:
      AdvanceSwitch(plan, now);
      break;
    case Stage::kCompleted:
    case Stage::kRolledBack:
      break;
  }
}

void Controller::TakeWrite(Millis now, ControllerOutput* output) {
  if (pending_ && (!write_started_ || now - *write_started_ >= kWriteRetry)) {
    write_started_ = now;
    output->row = pending_;
  }
}

ControllerOutput Controller::Step(Millis now) {
  ControllerOutput output;
  if (is_deposed_ || !order_) {
    return output;
  }
  if (!IsEnded() && !IsCounting(now)) {
    Advance(now);
  }
  TakeWrite(now, &output);
  // A completed order that was taken over may have been rolled back since.
  const bool is_held =
      is_taken_over_ && stage_ == Stage::kCompleted && IsCounting(now);
  if (is_decision_due_ && !is_held) {
    output.decision = decision_;
    output.is_pushed = decision_.state != told_.state || decision_.share >= 1 ||
                       ExceedsBy(1, told_, decision_);
    told_ = decision_;
    is_decision_due_ = false;
  }
  if (is_status_due_ && !is_held) {
    output.status = Status{decision_.state, decision_.to, decision_.cause};
    is_status_due_ = false;
  }
  return output;
}

void Controller::Acknowledge(uint64_t number, Millis now) {
  if (!pending_ || pending_->decision.number != number) {
    return;
  }
  const bool is_new_state = !row_ || !IsOf(row_->decision, *order_) ||
                            row_->decision.state != pending_->decision.state;
  row_ = std::move(pending_);
  has_own_row_ = true;
  pending_.reset();
  stage_ = row_->stage;
  decision_ =
      is_lowered_since_ ? Lower(row_->decision, decision_) : row_->decision;
  raised_at_ = now;
  is_decision_due_ = true;
  is_status_due_ = is_status_due_ || is_new_state;
}

void Controller::Conflict(const std::optional<Row>& present) {
  if (present && present->writer != self_ &&
      present->decision.number > (row_ ? row_->decision.number : 0)) {
    is_deposed_ = true;
    return;
  }
  // The row is an earlier one (the table service returned from a copy) or an
  // own one whose answer was lost.
  write_started_.reset();
  if (!pending_ && order_) {
    Propose(stage_, decision_);
  }
}

}  // namespace daisypond::rollout

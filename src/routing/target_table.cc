#include "routing/target_table.h"

#include <algorithm>

namespace daisypond::routing {

namespace {

constexpr base::Millis kFirstAvoidance{500};
constexpr base::Millis kLongestAvoidance{5000};
constexpr int kMaximumDoublings = 4;

}  // namespace

void TargetTable::Configure(
    const std::map<std::string, intents::Target>& targets) {
  const std::lock_guard lock(mutex_);
  std::map<TargetId, TargetView> next;
  for (const auto& [name, settings] : targets) {
    const TargetId id{name};
    const auto known = targets_.find(id);
    TargetView view = known == targets_.end() ? TargetView{} : known->second;
    // A target at another address is another process.
    if (view.settings.address != settings.address) {
      view = TargetView{};
    }
    view.id = id;
    view.settings = settings;
    next.emplace(id, std::move(view));
  }
  targets_ = std::move(next);
}

std::optional<Placement> TargetTable::Acquire(
    const RouteRequest& request,
    const std::function<size_t(const TargetId&)>& crowding_of,
    base::Millis now) {
  const std::lock_guard lock(mutex_);
  std::vector<const TargetView*> views;
  views.reserve(targets_.size());
  for (auto& [id, view] : targets_) {
    if (request.spreading == Spreading::kFewestSuspects) {
      view.crowding = crowding_of(id);
    }
    views.push_back(&view);
  }
  const auto chosen = ChooseTarget(views, request, now);
  if (!chosen) {
    return std::nullopt;
  }
  TargetView& target = targets_.at(*chosen);
  const bool is_staying =
      target.settings.state == intents::TargetState::kServing &&
      !target.report.is_leaving;
  if (!metrics_->CheckInvariant(base::Invariant::kLeavingTargetGetsNoWork,
                                is_staying)) {
    return std::nullopt;
  }
  ++target.own_running;
  return Placement{*chosen, target.settings.address};
}

void TargetTable::Release(const TargetId& id) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it != targets_.end()) {
    it->second.own_running = std::max<int64_t>(0, it->second.own_running - 1);
  }
}

void TargetTable::OnReport(const TargetId& id,
                           const LoadReport& report,
                           base::Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return;
  }
  it->second.report = report;
  it->second.own_at_report = it->second.own_running;
  it->second.reported_at = now;
  it->second.has_report = true;
}

void TargetTable::OnFailure(const TargetId& id, base::Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return;
  }
  TargetView& target = it->second;
  const int doublings = std::min(target.failures_in_row, kMaximumDoublings);
  ++target.failures_in_row;
  target.avoided_until =
      now +
      std::min(kFirstAvoidance * (int64_t{1} << doublings), kLongestAvoidance);
}

void TargetTable::OnFull(const TargetId& id, base::Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return;
  }
  // Its own places that become free show up as a difference to this.
  TargetView& target = it->second;
  target.report.running = target.settings.capacity;
  target.report.queued = 0;
  // The request that was refused is still counted here.
  target.own_at_report = target.own_running - 1;
  target.reported_at = now;
  target.has_report = true;
}

void TargetTable::OnSuccess(const TargetId& id) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it != targets_.end()) {
    it->second.failures_in_row = 0;
    it->second.avoided_until = {};
  }
}

bool TargetTable::IsServedByNone(const RouteRequest& request) const {
  const std::lock_guard lock(mutex_);
  return std::none_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const intents::Target& target = it.second.settings;
    return target.kind == request.kind &&
           (request.kind == intents::TargetKind::kEngine
                ? target.Serves(request.model)
                : target.service == request.service);
  });
}

int64_t TargetTable::FreePlaces(const RouteRequest& request,
                                base::Millis now) const {
  const std::lock_guard lock(mutex_);
  int64_t n = 0;
  for (const auto& [id, view] : targets_) {
    if (MayTake(view, request, now)) {
      n += view.settings.capacity - LoadOf(view, now);
    }
  }
  return n;
}

std::vector<TargetView> TargetTable::All() const {
  const std::lock_guard lock(mutex_);
  std::vector<TargetView> all;
  for (const auto& [id, view] : targets_) {
    all.push_back(view);
  }
  return all;
}

std::optional<TargetView> TargetTable::Find(const TargetId& id) const {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return std::nullopt;
  }
  return it->second;
}

}  // namespace daisypond::routing

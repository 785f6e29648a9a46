#include "routing/target_table.h"

#include <algorithm>

namespace daisypond::routing {

namespace {

// How long a target gets no new requests after a failure. The time doubles with
// each consecutive failure, up to kMaximumAvoidance.
constexpr base::Millis kInitialAvoidance{500};
constexpr base::Millis kMaximumAvoidance{5000};
constexpr int kMaximumAvoidanceDoublings = 4;

}  // namespace

void TargetTable::Configure(
    const std::map<std::string, intents::Target>& targets) {
  const std::lock_guard lock(mutex_);
  std::map<TargetId, TargetView> next;
  for (const auto& [name, settings] : targets) {
    const TargetId id{name};
    const auto known = targets_.find(id);
    TargetView view = known == targets_.end() ? TargetView{} : known->second;
    // A target with a new address is a different process, so the known load and
    // failures no longer apply.
    if (view.settings.address != settings.address) {
      view = TargetView{};
    }
    view.id = id;
    view.settings = settings;
    next.emplace(id, std::move(view));
  }
  targets_ = std::move(next);
}

std::optional<Placement> TargetTable::AcquireSlot(
    const RouteRequest& request,
    const std::function<size_t(const TargetId&)>& suspect_score_of,
    base::Millis now) {
  const std::lock_guard lock(mutex_);
  std::vector<const TargetView*> views;
  views.reserve(targets_.size());
  for (auto& [id, view] : targets_) {
    if (request.suspect_spreading == SuspectSpreading::kFewestSuspects) {
      view.suspect_score = suspect_score_of(id);
    }
    views.push_back(&view);
  }
  const auto chosen = ChooseTarget(views, request, now);
  if (!chosen) {
    return std::nullopt;
  }
  TargetView& target = targets_.at(*chosen);
  const bool is_in_service =
      target.settings.state == intents::TargetState::kServing &&
      !target.report.is_leaving;
  if (!metrics_->CheckInvariant(base::Invariant::kLeavingTargetGetsNoWork,
                                is_in_service)) {
    return std::nullopt;
  }
  ++target.own_running;
  return Placement{*chosen, target.settings.address};
}

void TargetTable::ReleaseSlot(const TargetId& id) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it != targets_.end()) {
    it->second.own_running = std::max<int64_t>(0, it->second.own_running - 1);
  }
}

void TargetTable::OnLoadReport(const TargetId& id,
                               const LoadReport& report,
                               base::Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return;
  }
  it->second.report = report;
  it->second.own_running_at_report = it->second.own_running;
  it->second.reported_at = now;
  it->second.has_report = true;
}

void TargetTable::OnTargetFailure(const TargetId& id, base::Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return;
  }
  TargetView& target = it->second;
  const int doublings =
      std::min(target.consecutive_failures, kMaximumAvoidanceDoublings);
  ++target.consecutive_failures;
  target.avoided_until =
      now + std::min(kInitialAvoidance * (int64_t{1} << doublings),
                     kMaximumAvoidance);
}

void TargetTable::OnTargetFull(const TargetId& id, base::Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return;
  }
  // Treat the rejection as a load report of a full target. Requests of this
  // instance that end later lower the estimated load (see LoadOf).
  TargetView& target = it->second;
  target.report.running = target.settings.capacity;
  target.report.queued = 0;
  // `own_running` still includes the rejected request.
  target.own_running_at_report = target.own_running - 1;
  target.reported_at = now;
  target.has_report = true;
}

void TargetTable::OnTargetSuccess(const TargetId& id) {
  const std::lock_guard lock(mutex_);
  const auto it = targets_.find(id);
  if (it != targets_.end()) {
    it->second.consecutive_failures = 0;
    it->second.avoided_until = {};
  }
}

bool TargetTable::IsUnservable(const RouteRequest& request) const {
  const std::lock_guard lock(mutex_);
  return std::none_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    const intents::Target& target = it.second.settings;
    return target.kind == request.kind &&
           (request.kind == intents::TargetKind::kEngine
                ? target.Serves(request.model)
                : target.service == request.service);
  });
}

int64_t TargetTable::FreeSlots(const RouteRequest& request,
                               base::Millis now) const {
  const std::lock_guard lock(mutex_);
  int64_t n = 0;
  for (const auto& [id, view] : targets_) {
    if (CanAccept(view, request, now)) {
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

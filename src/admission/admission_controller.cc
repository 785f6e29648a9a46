#include "admission/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace daisypond::admission {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr double kStartIntervalSmoothingFactor = 0.05;
constexpr base::Millis kShortestRetryAfter{250};
constexpr base::Millis kLongestRetryAfter{30'000};

base::Millis ClampRetryAfter(base::Millis span) {
  return std::clamp(span, kShortestRetryAfter, kLongestRetryAfter);
}

}  // namespace

void AdmissionController::Configure(
    const intents::Configuration& configuration) {
  limits_ = configuration.limits;
  workspace_settings_ = configuration.workspaces;
}

bool AdmissionController::TakeRateToken(const intents::Workspace& settings,
                                        WorkspaceState* state,
                                        base::Millis now) {
  // Allows bursts of as many requests as one second's rate, but at least one.
  const double burst = std::max(1.0, settings.requests_per_second);
  if (state->refilled_at.count == 0) {
    state->rate_tokens = burst;
  } else {
    const auto span = static_cast<double>((now - state->refilled_at).count);
    state->rate_tokens = std::min(
        burst, state->rate_tokens + span * settings.requests_per_second /
                                        kMillisecondsPerSecond);
  }
  state->refilled_at = now;
  if (state->rate_tokens < 1) {
    return false;
  }
  state->rate_tokens -= 1;
  return true;
}

base::Millis AdmissionController::ExpectedWait() const {
  return {
      static_cast<int64_t>(start_interval_ms_ * static_cast<double>(queued_))};
}

ArrivalResult AdmissionController::OnArrival(const AdmissionRequest& request,
                                             base::Millis now) {
  ArrivalResult result;
  const auto settings = workspace_settings_.find(request.workspace);
  if (settings == workspace_settings_.end()) {
    result.reason = base::Reason::kUnknownWorkspace;
    return result;
  }
  WorkspaceState& state = workspaces_[request.workspace];
  if (state.running + state.queued >= settings->second.concurrent_requests) {
    result.reason = base::Reason::kWorkspaceLimit;
    result.retry_after = ClampRetryAfter(ExpectedWait());
    return result;
  }
  // Each workspace may always use an equal share of the queue, so that a
  // workspace with many requests cannot block the others.
  const int64_t queue_share = std::max<int64_t>(
      1, limits_.queued_requests /
             std::max<int64_t>(2, static_cast<int64_t>(workspaces_.size())));
  const bool is_full = queued_ >= limits_.queued_requests;
  const bool is_over_share = state.queued >= queue_share;
  const bool would_miss_start_by =
      queued_ > 0 && now + ExpectedWait() > request.start_by;
  if (is_over_share && (is_full || would_miss_start_by)) {
    result.reason = base::Reason::kQueueFull;
    result.retry_after = ClampRetryAfter(ExpectedWait());
    return result;
  }
  // For workspaces within their share the queue may exceed queued_requests, but
  // never this limit.
  if (queued_ >= 2 * limits_.queued_requests + 1) {
    result.reason = base::Reason::kQueueFull;
    result.retry_after = ClampRetryAfter(ExpectedWait());
    return result;
  }
  if (!TakeRateToken(settings->second, &state, now)) {
    result.reason = base::Reason::kWorkspaceLimit;
    result.retry_after = ClampRetryAfter({static_cast<int64_t>(
        kMillisecondsPerSecond / settings->second.requests_per_second)});
    return result;
  }
  result.outcome = ArrivalOutcome::kQueued;
  result.ticket = {++last_ticket_id_};
  Ticket ticket{request, false, std::max(virtual_time_, state.finish_tag)};
  state.finish_tag =
      ticket.start_tag + 1.0 / static_cast<double>(settings->second.weight);
  tickets_.emplace(result.ticket, std::move(ticket));
  queues_[static_cast<size_t>(request.priority)][request.workspace].push_back(
      result.ticket);
  ++state.queued;
  ++queued_;
  return result;
}

std::vector<AdmissionController::Queue::iterator>
AdmissionController::QueuesInFairOrder(Queue& queue) {
  std::vector<Queue::iterator> order;
  for (auto it = queue.begin(); it != queue.end(); ++it) {
    order.push_back(it);
  }
  const auto tag_of = [this](const Queue::iterator& it) {
    return tickets_.at(it->second.front()).start_tag;
  };
  std::stable_sort(
      order.begin(), order.end(),
      [&](const auto& a, const auto& b) { return tag_of(a) < tag_of(b); });
  return order;
}

void AdmissionController::RecordStart(TicketId id, base::Millis now) {
  Ticket& ticket = tickets_.at(id);
  ticket.is_running = true;
  virtual_time_ = std::max(virtual_time_, ticket.start_tag);
  WorkspaceState& state = workspaces_[ticket.request.workspace];
  ++state.running;
  --state.queued;
  ++running_;
  --queued_;
  // Only intervals during which requests were queued measure how fast the queue
  // drains; other intervals also depend on the arrival rate.
  if (has_backlog_) {
    const auto interval = static_cast<double>((now - last_start_).count);
    start_interval_ms_ +=
        kStartIntervalSmoothingFactor * (interval - start_interval_ms_);
  }
  last_start_ = now;
  has_backlog_ = queued_ > 0;
}

void AdmissionController::RemoveFromQueue(TicketId id) {
  const Ticket& ticket = tickets_.at(id);
  Queue& queue = queues_[static_cast<size_t>(ticket.request.priority)];
  const auto it = queue.find(ticket.request.workspace);
  if (it == queue.end()) {
    return;
  }
  std::erase(it->second, id);
  if (it->second.empty()) {
    queue.erase(it);
  }
}

std::vector<ExpiredTicket> AdmissionController::RemoveExpired(
    base::Millis now) {
  std::vector<ExpiredTicket> expired;
  for (const auto& [id, ticket] : tickets_) {
    if (!ticket.is_running && now >= ticket.request.start_by) {
      expired.push_back({id, ClampRetryAfter(ExpectedWait())});
    }
  }
  for (const ExpiredTicket& it : expired) {
    RemoveTicket(it.ticket);
  }
  return expired;
}

void AdmissionController::RemoveTicket(TicketId id) {
  const auto it = tickets_.find(id);
  if (it == tickets_.end()) {
    return;
  }
  WorkspaceState& state = workspaces_[it->second.request.workspace];
  if (it->second.is_running) {
    --state.running;
    --running_;
  } else {
    RemoveFromQueue(id);
    --state.queued;
    --queued_;
  }
  tickets_.erase(it);
}

}  // namespace daisypond::admission

#include "admission/admission_gate.h"

#include <algorithm>

namespace daisypond::admission {

namespace {

constexpr base::Millis kStopRetryAfter{1000};
constexpr base::Millis kCallerCheckInterval{200};

}  // namespace

void AdmissionGate::Configure(const intents::Configuration& configuration) {
  const std::lock_guard lock(mutex_);
  controller_.Configure(configuration);
  AdmitWaitingLocked();
}

void AdmissionGate::AdmitWaitingLocked() {
  const base::Millis now = base::Clock::Now();
  for (const ExpiredTicket& it : controller_.RemoveExpired(now)) {
    const auto waiter = waiters_.find(it.ticket);
    if (waiter != waiters_.end()) {
      waiter->second->state = WaiterState::kExpired;
      waiter->second->retry_after = it.retry_after;
      waiter->second->changed.notify_one();
    }
  }
  if (controller_.QueuedCount() == 0) {
    return;
  }
  // The free slots of each pool are queried once per call and then counted
  // down.
  std::map<std::string, int64_t> free_slots;
  const auto has_free_slot = [&](const std::string& pool) {
    const auto [it, is_new] = free_slots.try_emplace(pool, 0);
    if (is_new) {
      it->second = free_slots_(pool);
    }
    return it->second-- > 0;
  };
  for (const TicketId it :
       controller_.StartQueuedRequests(has_free_slot, now)) {
    const auto waiter = waiters_.find(it);
    if (waiter != waiters_.end()) {
      waiter->second->state = WaiterState::kStarted;
      waiter->second->changed.notify_one();
    }
  }
}

base::Result<TicketId> AdmissionGate::WaitForAdmission(
    const AdmissionRequest& request,
    const ShouldKeepWaiting& should_keep_waiting) {
  std::unique_lock lock(mutex_);
  if (is_stopping_) {
    return base::NotRunError(base::Reason::kStopping,
                             "the instance is stopping", kStopRetryAfter);
  }
  const ArrivalResult arrival =
      controller_.OnArrival(request, base::Clock::Now());
  if (arrival.outcome == ArrivalOutcome::kRefused) {
    return base::NotRunError(arrival.reason, "the request was not admitted",
                             arrival.retry_after);
  }
  Waiter waiter;
  waiters_.emplace(arrival.ticket, &waiter);
  AdmitWaitingLocked();
  bool is_caller_waiting = true;
  while (waiter.state == WaiterState::kWaiting && !is_stopping_ &&
         is_caller_waiting) {
    const base::Millis left = request.start_by - base::Clock::Now();
    waiter.changed.wait_for(
        lock,
        std::clamp(left, base::Millis{1}, kCallerCheckInterval).ToChrono());
    if (waiter.state == WaiterState::kWaiting) {
      // Unlocks, since the callback may write to a socket.
      lock.unlock();
      is_caller_waiting = should_keep_waiting();
      lock.lock();
      AdmitWaitingLocked();
    }
  }
  waiters_.erase(arrival.ticket);
  if (waiter.state == WaiterState::kStarted) {
    return arrival.ticket;
  }
  controller_.RemoveTicket(arrival.ticket);
  if (!is_caller_waiting) {
    return base::NotRunError(base::Reason::kCallerGone, "the caller has gone");
  }
  if (waiter.state == WaiterState::kExpired) {
    return base::NotRunError(base::Reason::kDeadlineExceeded,
                             "no place became free in time",
                             waiter.retry_after);
  }
  return base::NotRunError(base::Reason::kStopping, "the instance is stopping",
                           kStopRetryAfter);
}

void AdmissionGate::ReleaseTicket(TicketId ticket) {
  const std::lock_guard lock(mutex_);
  controller_.RemoveTicket(ticket);
  AdmitWaitingLocked();
}

void AdmissionGate::Stop() {
  const std::lock_guard lock(mutex_);
  is_stopping_ = true;
  for (const auto& [id, waiter] : waiters_) {
    waiter->changed.notify_one();
  }
}

void AdmissionGate::AdmitWaiting() {
  const std::lock_guard lock(mutex_);
  AdmitWaitingLocked();
}

int64_t AdmissionGate::RunningCount() const {
  const std::lock_guard lock(mutex_);
  return controller_.RunningCount();
}

int64_t AdmissionGate::QueuedCount() const {
  const std::lock_guard lock(mutex_);
  return controller_.QueuedCount();
}

}  // namespace daisypond::admission

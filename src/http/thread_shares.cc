#include "http/thread_shares.h"

#include <algorithm>
#include <utility>

namespace daisypond::http {

bool ThreadShares::BeginBody(CallerId id,
                             std::optional<size_t> announced,
                             base::Millis now) {
  const bool is_small = announced && *announced <= options_.small_body_bytes;
  if (!is_small && n_large_ >= LargeBodyThreads()) {
    ++n_refused_;
    return false;
  }
  n_large_ += is_small ? 0 : 1;
  Caller& caller = callers_[id];
  caller = {};
  caller.stage = is_small ? Stage::kSmallBody : Stage::kLargeBody;
  caller.began_at = now;
  caller.progress_at = now;
  return true;
}

void ThreadShares::OnBytes(CallerId id, size_t n, base::Millis now) {
  const auto it = callers_.find(id);
  if (it == callers_.end()) {
    return;
  }
  Caller& caller = it->second;
  caller.progress += n;
  if (caller.progress >= options_.progress_bytes) {
    caller.progress = 0;
    caller.progress_at = now;
  }
}

void ThreadShares::OnRoom(CallerId id, base::Millis now) {
  const auto it = callers_.find(id);
  if (it != callers_.end()) {
    it->second.progress_at = now;
  }
}

void ThreadShares::EndBody(CallerId id) {
  const auto it = callers_.find(id);
  if (it == callers_.end()) {
    return;
  }
  n_large_ -= it->second.stage == Stage::kLargeBody ? 1 : 0;
  it->second.stage = Stage::kHandled;
}

void ThreadShares::BeginWrite(CallerId id, base::Millis now) {
  Caller& caller = callers_[id];
  caller.stage = Stage::kWriting;
  caller.progress_at = now;
}

void ThreadShares::EndWrite(CallerId id) {
  const auto it = callers_.find(id);
  if (it != callers_.end()) {
    it->second.stage = Stage::kHandled;
  }
}

void ThreadShares::OnAnswered(CallerId id, base::Millis now) {
  EndBody(id);
  Caller& caller = callers_[id];
  caller = {};
  caller.stage = Stage::kAnswered;
  caller.began_at = now;
}

void ThreadShares::Remove(CallerId id) {
  EndBody(id);
  callers_.erase(id);
}

std::vector<ThreadShares::CallerId> ThreadShares::TakeOverdue(
    size_t n_waiting,
    base::Millis now) {
  std::vector<CallerId> overdue;
  std::vector<std::pair<base::Millis, CallerId>> stalled;
  for (const auto& [id, caller] : callers_) {
    if (caller.is_ended) {
      continue;
    }
    if (IsOverdue(caller, now)) {
      overdue.push_back(id);
    } else if (IsStalled(caller, now)) {
      stalled.emplace_back(caller.progress_at, id);
    }
  }
  std::ranges::sort(stalled);
  size_t n_refused = std::exchange(n_refused_, 0);
  for (const auto& [progress_at, id] : stalled) {
    const bool is_in_the_way =
        n_refused > 0 && callers_.at(id).stage == Stage::kLargeBody;
    if (overdue.size() < n_waiting || is_in_the_way) {
      overdue.push_back(id);
      n_refused -= is_in_the_way ? 1 : 0;
    }
  }
  for (const CallerId it : overdue) {
    callers_.at(it).is_ended = true;
  }
  return overdue;
}

bool ThreadShares::End(CallerId id) {
  const auto it = callers_.find(id);
  if (it == callers_.end() || it->second.is_ended ||
      !IsReading(it->second.stage)) {
    return false;
  }
  it->second.is_ended = true;
  return true;
}

bool ThreadShares::IsEnded(CallerId id) const {
  const auto it = callers_.find(id);
  return it != callers_.end() && it->second.is_ended;
}

bool ThreadShares::IsReadingBody(CallerId id) const {
  const auto it = callers_.find(id);
  return it != callers_.end() && IsReading(it->second.stage);
}

size_t ThreadShares::LargeBodyThreads() const {
  constexpr size_t kKeptPart = 4;
  return std::max<size_t>(
      1, options_.threads - (options_.threads + kKeptPart - 1) / kKeptPart);
}

bool ThreadShares::IsReading(Stage stage) {
  return stage == Stage::kSmallBody || stage == Stage::kLargeBody;
}

bool ThreadShares::IsOverdue(const Caller& caller, base::Millis now) const {
  if (caller.stage == Stage::kAnswered) {
    return now - caller.began_at >= options_.close_time;
  }
  return IsReading(caller.stage) &&
         (now - caller.progress_at >= options_.stall_time ||
          now - caller.began_at >= options_.body_time);
}

bool ThreadShares::IsStalled(const Caller& caller, base::Millis now) const {
  return (IsReading(caller.stage) || caller.stage == Stage::kWriting) &&
         now - caller.progress_at >= options_.busy_stall_time;
}

}  // namespace daisypond::http

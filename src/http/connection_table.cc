#include "http/connection_table.h"

#include <algorithm>

namespace daisypond::http {

void ConnectionTable::Add(ConnectionId id, base::Millis now) {
  connections_[id] = {.accepted_at = now};
}

void ConnectionTable::BeginRequest(ConnectionId id, RequestKind kind) {
  const auto it = connections_.find(id);
  if (it != connections_.end()) {
    it->second.has_request = true;
    it->second.kind = kind;
  }
}

void ConnectionTable::Remove(ConnectionId id, base::Millis now) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return;
  }
  if (connections_.size() >= threads_) {
    last_full_at_ = now;
  }
  if (it->second.has_request && it->second.kind == RequestKind::kWork) {
    last_work_at_ = now;
  }
  connections_.erase(it);
}

int64_t ConnectionTable::OpenRequests() const {
  return std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& entry) { return entry.second.has_request; });
}

bool ConnectionTable::IsIdle(base::Millis now) const {
  if (connections_.size() >= threads_ || now < last_full_at_ + kQuietPeriod) {
    return false;
  }
  return std::none_of(connections_.begin(), connections_.end(),
                      [now](const auto& entry) {
                        return entry.second.has_request ||
                               now < entry.second.accepted_at + kHeaderWait;
                      });
}

bool ConnectionTable::MayClose(base::Millis began_at, base::Millis now) const {
  const base::Millis quiet_since = std::max(began_at, last_work_at_);
  const bool is_quiet = now >= quiet_since + kQuietPeriod;
  return IsIdle(now) && (is_quiet || now >= began_at + kQuietTimeout);
}

}  // namespace daisypond::http

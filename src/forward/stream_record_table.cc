#include "forward/stream_record_table.h"

#include <algorithm>

namespace daisypond::forward {

void StreamRecordTable::Add(const std::string& id,
                            StreamRecord record,
                            base::Millis now) {
  base::Millis expires_at =
      std::max(record.resumable_until, now + minimum_retention_);
  const auto known = entries_.find(id);
  if (known != entries_.end()) {
    expiries_.erase({known->second.expires_at, id});
    expires_at = std::max(expires_at, known->second.expires_at);
    record.resumable_until =
        std::max(record.resumable_until, known->second.record.resumable_until);
  }
  entries_[id] = {std::move(record), expires_at};
  expiries_.emplace(expires_at, id);
  RemoveExpired(now);
}

std::optional<StreamRecord> StreamRecordTable::Find(const std::string& id,
                                                    base::Millis now) const {
  const auto it = entries_.find(id);
  if (it == entries_.end() || now >= it->second.expires_at) {
    return std::nullopt;
  }
  return it->second.record;
}

void StreamRecordTable::RemoveExpired(base::Millis now) {
  while (!expiries_.empty() && (now >= expiries_.begin()->first ||
                                entries_.size() > kMaximumRecords)) {
    entries_.erase(expiries_.begin()->second);
    expiries_.erase(expiries_.begin());
  }
}

}  // namespace daisypond::forward

#include "forward/stream_record_table.h"

namespace daisypond::forward {

void StreamRecordTable::Add(const std::string& id,
                            StreamRecord record,
                            base::Millis now) {
  entries_[id] = {std::move(record), now};
  order_.emplace_back(now, id);
  RemoveExpired(now);
}

std::optional<StreamRecord> StreamRecordTable::Find(const std::string& id,
                                                    base::Millis now) const {
  const auto it = entries_.find(id);
  if (it == entries_.end() || now - it->second.added_at >= kRetentionPeriod) {
    return std::nullopt;
  }
  return it->second.record;
}

void StreamRecordTable::RemoveExpired(base::Millis now) {
  while (!order_.empty() && (now - order_.front().first >= kRetentionPeriod ||
                             order_.size() > kMaximumRecords)) {
    const auto it = entries_.find(order_.front().second);
    if (it != entries_.end() && it->second.added_at == order_.front().first) {
      entries_.erase(it);
    }
    order_.pop_front();
  }
}

}  // namespace daisypond::forward

#include "gateway/stream_record_queue.h"

#include <algorithm>

#include "base/json.h"

namespace daisypond::gateway {

namespace {

constexpr const char* kServiceField = "service";
constexpr const char* kVersionField = "version";
// Earlier builds write here when a row was stored, and remove it
// kMinimumRetention later. A row that is kept for longer states a later time.
constexpr const char* kStoredAtField = "stored_at_ms";
// Callers' deadlines are known up to the time that messages take, and clocks of
// instances differ.
constexpr base::Millis kExpirySlack{10'000};

}  // namespace

catalog::Row EncodeStreamRecord(const std::string& id,
                                const forward::StreamRecord& record,
                                base::Millis expires_at) {
  const base::Millis stored_at =
      expires_at - StreamRecordQueue::kMinimumRetention;
  catalog::Row row;
  row.key = id;
  row.value = base::WriteJson(base::Json{{kServiceField, record.service},
                                         {kVersionField, record.version},
                                         {kStoredAtField, stored_at.count}});
  return row;
}

std::optional<StoredStreamRecord> DecodeStreamRecord(const catalog::Row& row) {
  const base::Json json = base::ParseJson(row.value);
  if (row.is_removed || !json.is_object() || !json.contains(kVersionField) ||
      !json[kVersionField].is_string()) {
    return std::nullopt;
  }
  StoredStreamRecord stored;
  stored.record.service = base::StringField(json, kServiceField);
  stored.record.version = base::StringField(json, kVersionField);
  const base::Millis stored_at{base::IntegerField(json, kStoredAtField)};
  if (stored.record.service.empty() || stored_at.count <= 0) {
    return std::nullopt;
  }
  stored.expires_at = stored_at + StreamRecordQueue::kMinimumRetention;
  return stored;
}

void StreamRecordQueue::Add(const std::string& id,
                            const forward::StreamRecord& record) {
  waiting_.emplace_back(id, record);
  if (waiting_.size() > kMaximumWaiting) {
    waiting_.pop_front();
  }
}

bool StreamRecordQueue::Remove(const std::string& id) {
  return std::erase_if(waiting_,
                       [&](const auto& it) { return it.first == id; }) > 0;
}

void StreamRecordQueue::AddStored(const std::string& key,
                                  base::Millis expires_at) {
  base::Millis& latest = expires_at_.try_emplace(key, expires_at).first->second;
  expiries_.erase({latest, key});
  latest = std::max(latest, expires_at);
  expiries_.emplace(latest, key);
}

bool StreamRecordQueue::AreRemovalsDue(base::Millis now) const {
  if (expiries_.empty() || now < expiries_.begin()->first) {
    return false;
  }
  constexpr size_t kLast = catalog::kMaximumRowsPerWrite - 1;
  return now >= expiries_.begin()->first + kRemovalDelay ||
         (expiries_.size() > kLast &&
          now >= std::next(expiries_.begin(), kLast)->first);
}

std::vector<catalog::Row> StreamRecordQueue::TakeBatch(base::Millis now,
                                                       base::Millis unix_now) {
  // Leaves room for as many removals, so that the table does not grow.
  constexpr size_t kMaximumRecords = catalog::kMaximumRowsPerWrite / 2;
  std::vector<catalog::Row> batch;
  if (waiting_.empty() && !AreRemovalsDue(now)) {
    return batch;
  }
  while (!waiting_.empty() && batch.size() < kMaximumRecords) {
    const auto& [id, record] = waiting_.front();
    AddStored(id, std::max(record.resumable_until + kExpirySlack,
                           now + kMinimumRetention));
    batch.push_back(
        EncodeStreamRecord(id, record, unix_now + (expires_at_[id] - now)));
    waiting_.pop_front();
  }
  while (!expiries_.empty() && batch.size() < catalog::kMaximumRowsPerWrite &&
         now >= expiries_.begin()->first) {
    batch.push_back({expiries_.begin()->second, "", true});
    expires_at_.erase(expiries_.begin()->second);
    expiries_.erase(expiries_.begin());
  }
  return batch;
}

void StreamRecordQueue::PutBack(const std::vector<catalog::Row>& batch,
                                base::Millis now) {
  for (const catalog::Row& it : batch) {
    const auto stored = DecodeStreamRecord(it);
    if (!stored) {
      AddStored(it.key, now);
      continue;
    }
    forward::StreamRecord record = stored->record;
    record.resumable_until = expires_at_[it.key] - kExpirySlack;
    Add(it.key, record);
  }
}

}  // namespace daisypond::gateway

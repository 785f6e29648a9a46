#ifndef DAISYPOND_GATEWAY_STREAM_RECORD_QUEUE_H_
#define DAISYPOND_GATEWAY_STREAM_RECORD_QUEUE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "catalog/row.h"
#include "forward/stream_record.h"

namespace daisypond::gateway {

/// Returns the row that stores a record under the attempt `id` until
/// `expires_at`, a Unix time.
catalog::Row EncodeStreamRecord(const std::string& id,
                                const forward::StreamRecord& record,
                                base::Millis expires_at);

struct StoredStreamRecord {
  forward::StreamRecord record;
  /// Unix time.
  base::Millis expires_at;
};

/// Returns nothing if the row is not one that EncodeStreamRecord() made.
std::optional<StoredStreamRecord> DecodeStreamRecord(const catalog::Row& row);

/// Decides which records of streams are written to the table service next, and
/// which rows are removed because no caller can return to their streams any
/// more. Reads no clock; methods get the time as an argument.
class StreamRecordQueue {
 public:
  /// A row is kept as long as its stream is resumable, but not shorter than
  /// this.
  static constexpr base::Millis kMinimumRetention{60'000};
  /// Maximum number of records that wait; the oldest are dropped first.
  static constexpr size_t kMaximumWaiting = 5000;

  void Add(const std::string& id, const forward::StreamRecord& record);

  /// Adds a record that is written before all others.
  void AddUrgent(const std::string& id, const forward::StreamRecord& record) {
    waiting_.emplace_front(id, record);
  }

  /// Removes a record that waits. Returns false if none does.
  bool Remove(const std::string& id);

  /// Adds a row of the table that an instance wrote, so that it is removed at
  /// `expires_at`.
  void AddStored(const std::string& key, base::Millis expires_at);

  /// Returns the rows of the next transaction: records that wait, then rows
  /// whose retention period has passed. Empty if nothing needs to be written.
  /// Rows are removed along with new records, or when they fill a transaction
  /// of their own, or after kRemovalDelay.
  std::vector<catalog::Row> TakeBatch(base::Millis now, base::Millis unix_now);

  /// Puts the rows of a transaction that may not have been carried out back, to
  /// be written again.
  void PutBack(const std::vector<catalog::Row>& batch, base::Millis now);

  size_t WaitingCount() const { return waiting_.size(); }
  size_t StoredCount() const { return expires_at_.size(); }

 private:
  static constexpr base::Millis kRemovalDelay{10'000};

  bool AreRemovalsDue(base::Millis now) const;

  std::deque<std::pair<std::string, forward::StreamRecord>> waiting_;
  /// By key of a row.
  std::map<std::string, base::Millis> expires_at_;
  /// Keys of the rows by the time at which they expire.
  std::set<std::pair<base::Millis, std::string>> expiries_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_STREAM_RECORD_QUEUE_H_

#ifndef DAISYPOND_FORWARD_STREAM_RECORD_TABLE_H_
#define DAISYPOND_FORWARD_STREAM_RECORD_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "forward/stream_record.h"

namespace daisypond::forward {

/// Remembers by which software each recent stream was begun. Reads no clock;
/// all methods get the time as an argument.
class StreamRecordTable {
 public:
  /// A record is kept as long as its stream is resumable, but not shorter than
  /// this.
  static constexpr base::Millis kMinimumRetention{60'000};
  /// Maximum number of records; those that expire first are dropped first.
  static constexpr size_t kMaximumRecords = 10'000;

  explicit StreamRecordTable(base::Millis minimum_retention = kMinimumRetention)
      : minimum_retention_(minimum_retention) {}

  /// Adds the record of the stream whose first event the attempt `id` got, or
  /// keeps a known record for longer.
  void Add(const std::string& id, StreamRecord record, base::Millis now);

  std::optional<StreamRecord> Find(const std::string& id,
                                   base::Millis now) const;

  /// Calls `visit(id, record)` for all records that have not expired.
  template <typename Visitor>
  void ForEach(base::Millis now, Visitor visit) const {
    for (const auto& it : entries_) {
      if (now < it.second.expires_at) {
        visit(it.first, it.second.record);
      }
    }
  }

 private:
  struct Entry {
    StreamRecord record;
    base::Millis expires_at;
  };

  void RemoveExpired(base::Millis now);

  base::Millis minimum_retention_;
  std::map<std::string, Entry> entries_;
  /// Ids by the time at which they expire.
  std::set<std::pair<base::Millis, std::string>> expiries_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_STREAM_RECORD_TABLE_H_

#ifndef DAISYPOND_FORWARD_STREAM_RECORD_TABLE_H_
#define DAISYPOND_FORWARD_STREAM_RECORD_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "forward/stream_record.h"

namespace daisypond::forward {

/// Remembers by which software each recent stream was begun. Reads no clock;
/// all methods get the time as an argument.
class StreamRecordTable {
 public:
  /// Callers take streams up again within their deadline.
  static constexpr base::Millis kRetentionPeriod{60'000};
  /// Maximum number of records; the oldest are dropped first.
  static constexpr size_t kMaximumRecords = 10'000;

  /// Adds the record of the stream whose first event the attempt `id` got, or
  /// keeps a known record for longer.
  void Add(const std::string& id, StreamRecord record, base::Millis now);

  std::optional<StreamRecord> Find(const std::string& id,
                                   base::Millis now) const;

 private:
  struct Entry {
    StreamRecord record;
    base::Millis added_at;
  };

  void RemoveExpired(base::Millis now);

  std::map<std::string, Entry> entries_;
  /// Ids in the order in which they were added. An id that was added again
  /// stands here several times.
  std::deque<std::pair<base::Millis, std::string>> order_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_STREAM_RECORD_TABLE_H_

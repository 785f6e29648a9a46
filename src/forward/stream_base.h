#ifndef DAISYPOND_FORWARD_STREAM_BASE_H_
#define DAISYPOND_FORWARD_STREAM_BASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/name_table.h"

namespace daisypond::forward {

/// Which streams of a service may begin before the table service has a record
/// of them.
struct StreamBase {
  /// False if no stream needs a record before it begins.
  bool is_record_required = true;
  /// Streams of this version need none.
  std::optional<std::string> version;
  /// While the table service stores no records, streams begin at this version.
  std::optional<std::string> fallback;
  /// False if the table service may name a base that no target has: then no
  /// other stream may begin without a record.
  bool may_begin_unrecorded = true;

  bool MustRecordFirst(const std::string& stream_version) const {
    return is_record_required && version != stream_version;
  }

  bool operator==(const StreamBase&) const = default;
};

/// By service.
using StreamBases = std::map<std::string, StreamBase>;

/// What is known of the record of a stream that has not begun.
enum class RecordOutcome : uint8_t {
  /// The table service has the record.
  kStored,
  /// It will never have the record.
  kNotStored,
  /// It may have the record, now or later.
  kUnknown,
};

inline constexpr base::NameTable<RecordOutcome, 3>
    kRecordOutcomeNames("stored", "not_stored", "unknown");

/// Whether the record of a stream that begins is in the table service already.
enum class RecordState : uint8_t { kNotStored, kStored };

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_STREAM_BASE_H_

#ifndef DAISYPOND_FORWARD_STREAM_RECORD_H_
#define DAISYPOND_FORWARD_STREAM_RECORD_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/name_table.h"

namespace daisypond::forward {

/// The software that began a stream.
struct StreamRecord {
  std::string service;
  std::string version;
  /// Until when a caller may take the stream up, on this instance's clock. Zero
  /// if that is not known.
  base::Millis resumable_until{0};

  bool operator==(const StreamRecord&) const = default;
};

/// How an instance knows which version began a stream.
enum class VersionSource : uint8_t {
  /// Not known.
  kUnknown,
  /// The instance that served the stream has recorded it.
  kRecord,
  /// An instance that is gone has stored it in the table service.
  kStoredRecord,
  /// An instance has seen no other version of the service for as long as a
  /// stream can last.
  kOnlyVersion,
  /// The table service has no record of the stream and names the version that
  /// began all such streams.
  kBaseVersion,
};

inline constexpr base::NameTable<VersionSource, 5> kVersionSourceNames(
    "unknown",
    "record",
    "stored_record",
    "only_version",
    "base_version");

/// The answer to the question which version began a stream.
struct StreamOrigin {
  VersionSource source = VersionSource::kUnknown;
  /// Valid unless `source` is kUnknown.
  StreamRecord record;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_STREAM_RECORD_H_

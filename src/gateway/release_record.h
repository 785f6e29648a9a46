#ifndef DAISYPOND_GATEWAY_RELEASE_RECORD_H_
#define DAISYPOND_GATEWAY_RELEASE_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"

namespace daisypond::gateway {

/// States that all streams of a service of which the table service has no
/// record were begun by one version.
struct BaseVersion {
  std::string version;
  /// The era of the table service in which this holds: records may be missing
  /// after its return from a copy.
  uint64_t era = 0;

  bool operator==(const BaseVersion&) const = default;
};

/// What the table service keeps of a service's software versions.
struct ReleaseRecord {
  /// The versions that could have begun a stream; empty if the record is of an
  /// early build, which does not name them.
  std::set<std::string> versions;
  std::optional<BaseVersion> base;

  bool operator==(const ReleaseRecord&) const = default;
};

/// By service.
using ReleaseRecordMap = std::map<std::string, ReleaseRecord>;

/// Encodes a record. One without a base is readable by builds that know no
/// bases; one with a base is not, so that they trust no single version before
/// they have observed it. The earliest builds read only the number at the
/// beginning: the Unix time at which several versions were last listed.
std::string EncodeReleaseRecord(const ReleaseRecord& record,
                                base::Millis unix_now);

/// Returns nothing if the record can't be decoded.
std::optional<ReleaseRecord> DecodeReleaseRecord(const std::string& text);

/// Returns the version that began all streams without a record of their own,
/// if `record` states one that holds in `era`.
std::optional<std::string> BaseInEra(const std::optional<ReleaseRecord>& record,
                                     uint64_t era);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_RELEASE_RECORD_H_

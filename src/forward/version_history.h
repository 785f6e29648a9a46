#ifndef DAISYPOND_FORWARD_VERSION_HISTORY_H_
#define DAISYPOND_FORWARD_VERSION_HISTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/name_table.h"
#include "catalog/target.h"
#include "forward/stream_lifetimes.h"

namespace daisypond::forward {

/// How many software versions of a service have been listed recently.
enum class VersionCount : uint8_t {
  /// Not observed for long enough.
  kUnknown,
  kOne,
  kSeveral,
};

inline constexpr base::NameTable<VersionCount, 3> kVersionCountNames("unknown",
                                                                     "one",
                                                                     "several");

/// Software versions by service.
using ServiceVersions = std::map<std::string, std::set<std::string>>;

/// Remembers which software versions of each service were listed in the
/// catalog. Reads no clock; all methods get the time as an argument.
class VersionHistory {
 public:
  void OnTargets(const catalog::Targets& targets, base::Millis now);

  /// Adds the versions that earlier instances have recorded, see
  /// RecentVersions(). When they were last listed is not known, so they count
  /// as listed until `now`.
  void OnRecordsRead(const ServiceVersions& recorded, base::Millis now);

  /// Returns how many versions could have begun a stream of the service. A
  /// single version is certain only if this instance has observed the service
  /// for as long as a stream lasts or an earlier instance has recorded the
  /// version: a service without a record may have had any other version before.
  VersionCount Count(const std::string& service, base::Millis now) const;

  /// Returns how long this instance has observed the service.
  base::Millis ObservedFor(const std::string& service, base::Millis now) const;

  /// True if this instance has observed the service for as long as a stream
  /// lasts.
  bool HasObserved(const std::string& service, base::Millis now) const;

  /// Returns the versions of each service that could have begun a stream.
  ServiceVersions RecentVersions(base::Millis now) const;

  /// Returns the version that was listed last, if any; with several, any of
  /// them.
  std::optional<std::string> LatestVersion(const std::string& service) const;

  StreamLifetimes& Lifetimes() { return lifetimes_; }
  const StreamLifetimes& Lifetimes() const { return lifetimes_; }

 private:
  struct Listed {
    base::Millis last_listed_at;
    bool is_listed = false;
  };
  struct ServiceHistory {
    base::Millis observed_since;
    bool is_recorded = false;
    std::map<std::string, Listed> versions;
  };

  /// True if a stream that the version has begun may be taken up.
  bool IsRecent(const std::string& service,
                const Listed& version,
                base::Millis now) const;

  StreamLifetimes lifetimes_;
  std::map<std::string, ServiceHistory> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_VERSION_HISTORY_H_

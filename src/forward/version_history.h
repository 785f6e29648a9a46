#ifndef DAISYPOND_FORWARD_VERSION_HISTORY_H_
#define DAISYPOND_FORWARD_VERSION_HISTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/name_table.h"
#include "catalog/target.h"

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

/// Remembers which software versions of each service were listed in the
/// catalog. Reads no clock; all methods get the time as an argument.
class VersionHistory {
 public:
  /// A stream that is taken up again began within this time.
  static constexpr base::Millis kLongestStream{30'000};

  void OnTargets(const catalog::Targets& targets, base::Millis now);

  /// Returns how many versions could have begun a stream of the service.
  /// `unix_now` is compared with the start times of the targets: if most were
  /// started before any stream that may be taken up, no release has replaced
  /// them since, so that a process which has just started knows as well.
  VersionCount Count(const std::string& service,
                     base::Millis now,
                     base::Millis unix_now) const;

  /// Returns the version that was listed last; with several, any of them.
  std::string LatestVersion(const std::string& service) const;

 private:
  struct Listed {
    base::Millis last_listed_at;
    bool is_listed = false;
  };
  struct ServiceHistory {
    base::Millis observed_since;
    std::map<std::string, Listed> versions;
    /// Start times of the listed targets, in Unix milliseconds.
    std::map<std::string, int64_t> started_at;
  };

  std::map<std::string, ServiceHistory> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_VERSION_HISTORY_H_

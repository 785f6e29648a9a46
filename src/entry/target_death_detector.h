#ifndef DAISYPOND_ENTRY_TARGET_DEATH_DETECTOR_H_
#define DAISYPOND_ENTRY_TARGET_DEATH_DETECTOR_H_

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "entry/instance.h"
#include "routing/target_view.h"

namespace daisypond::entry {

/// Determines, after a stream from a target has broken off, whether the target
/// has died. Reports each death, with the requests that ran on the target, to
/// the suspect trackers of this instance and of all peers.
class TargetDeathDetector {
 public:
  explicit TargetDeathDetector(Instance* instance) : instance_(instance) {}

  /// Returns true if the target of a broken stream has died or restarted.
  /// Requests the load report of the target and blocks until it arrives or a
  /// timeout of a fraction of a second has passed. Streams that break at about
  /// the same time share one check.
  bool DetectDeath(const routing::Placement& placement);

 private:
  /// A check whether one target has died. Streams of the target that break
  /// within kCheckReuseTime after `started_at` share the result of the check.
  struct DeathCheck {
    base::Millis started_at;
    std::shared_future<bool> is_dead;
  };

  /// Requests the load report of the target. Returns true if the target does
  /// not answer or if its process has changed since the previous report.
  bool IsProcessGone(const routing::Placement& placement);
  /// Reports the death to the suspect trackers of this instance and its peers.
  void ReportDeath(const std::string& target);

  Instance* instance_;
  std::mutex mutex_;
  std::map<std::string, DeathCheck> checks_;
};

/// Requests the load report of a target; blocks until it arrives. Empty if the
/// target does not answer within `timeout`.
std::optional<routing::LoadReport> FetchLoadReport(http::Client* client,
                                                   const std::string& address,
                                                   base::Millis timeout);

/// Parses a load report: a JSON object with the keys "running", "queued",
/// "leaving", "state" and "process". Missing keys get default values.
routing::LoadReport LoadReportFromJson(std::string_view text);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TARGET_DEATH_DETECTOR_H_

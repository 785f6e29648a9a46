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

/// Finds out whether a broken stream means that its target has died, and
/// tells the suspect trackers of all instances which requests it ran.
class TargetDeathDetector {
 public:
  explicit TargetDeathDetector(Instance* instance) : instance_(instance) {}

  /// Blocks until it is known, for a fraction of a second at most. Streams
  /// that break together ask the target once.
  bool DetectDeath(const routing::Placement& placement);

 private:
  struct DeathCheck {
    base::Millis started_at;
    std::shared_future<bool> is_dead;
  };

  bool IsProcessGone(const routing::Placement& placement);
  void ReportDeath(const std::string& target);

  Instance* instance_;
  std::mutex mutex_;
  std::map<std::string, DeathCheck> checks_;
};

/// Asks a target for its load. Empty when it does not answer in time.
std::optional<routing::LoadReport> FetchLoadReport(http::Client* client,
                                                   const std::string& address,
                                                   base::Millis timeout);

/// Reads the JSON object {"running","queued","leaving","process"}.
routing::LoadReport LoadReportFromJson(std::string_view text);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TARGET_DEATH_DETECTOR_H_

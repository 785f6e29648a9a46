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
class DeathWatch {
 public:
  explicit DeathWatch(Instance* instance) : instance_(instance) {}

  /// Blocks until it is known, for a fraction of a second at most. Streams
  /// that break together ask the target once.
  bool OnBroken(const routing::Placement& placement);

 private:
  struct Inquiry {
    base::Millis at;
    std::shared_future<bool> is_dead;
  };

  bool IsDead(const routing::Placement& placement);
  void Report(const std::string& target);

  Instance* instance_;
  std::mutex mutex_;
  std::map<std::string, Inquiry> inquiries_;
};

/// Asks a target for its load. Empty when it does not answer in time.
std::optional<routing::LoadReport> AskLoad(http::Client* client,
                                           const std::string& address,
                                           base::Millis timeout);

/// Reads the JSON object {"running","queued","leaving","process"}.
routing::LoadReport LoadReportFromJson(std::string_view text);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TARGET_DEATH_DETECTOR_H_

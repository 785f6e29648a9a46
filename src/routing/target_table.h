#ifndef DAISYPOND_ROUTING_TARGET_TABLE_H_
#define DAISYPOND_ROUTING_TARGET_TABLE_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "routing/choose_target.h"
#include "routing/target_view.h"

namespace daisypond::routing {

/// A slot that a request holds at a target.
struct Placement {
  TargetId target;
  std::string address;
};

/// Holds the targets of the current configuration with the reported load and
/// the recent failures of each target. Thread-safe.
class TargetTable {
 public:
  explicit TargetTable(base::Metrics* metrics) : metrics_(metrics) {}

  /// Replaces the targets by those of a configuration. Known load and failures
  /// of a target are kept as long as its address stays the same.
  void Configure(const std::map<std::string, intents::Target>& targets);

  /// Chooses a target and reserves a slot there. `suspect_score_of` is called
  /// for requests with SuspectSpreading::kFewestSuspects.
  std::optional<Placement> AcquireSlot(
      const RouteRequest& request,
      const std::function<size_t(const TargetId&)>& suspect_score_of,
      base::Millis now);

  /// Releases a slot that AcquireSlot() reserved on the target `id`.
  void ReleaseSlot(const TargetId& id);

  void OnLoadReport(const TargetId& id,
                    const LoadReport& report,
                    base::Millis now);
  void OnTargetFailure(const TargetId& id, base::Millis now);

  /// To be called when the target rejected a request because all its slots are
  /// taken: other instances then use more slots than its last report showed.
  void OnTargetFull(const TargetId& id, base::Millis now);
  void OnTargetSuccess(const TargetId& id);

  /// True when no configured target serves the model or service of the request,
  /// whatever the load.
  bool IsUnservable(const RouteRequest& request) const;

  /// Returns the total number of free slots for `request` on all targets.
  int64_t FreeSlots(const RouteRequest& request, base::Millis now) const;

  std::vector<TargetView> All() const;
  std::optional<TargetView> Find(const TargetId& id) const;

 private:
  base::Metrics* metrics_;
  mutable std::mutex mutex_;
  std::map<TargetId, TargetView> targets_;
};

}  // namespace daisypond::routing

#endif  // DAISYPOND_ROUTING_TARGET_TABLE_H_

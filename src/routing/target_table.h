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

/// A place that a request holds at a target.
struct Placement {
  TargetId target;
  std::string address;
};

/// The targets of the configuration in force with what is known of each.
/// Thread-safe.
class TargetTable {
 public:
  explicit TargetTable(base::Metrics* metrics) : metrics_(metrics) {}

  /// Takes over the targets of a configuration; knowledge of those that stay
  /// is kept.
  void Configure(const std::map<std::string, intents::Target>& targets);

  /// Chooses a target and takes a place there.
  std::optional<Placement> AcquireSlot(
      const RouteRequest& request,
      const std::function<size_t(const TargetId&)>& suspect_score_of,
      base::Millis now);

  /// Gives a place back.
  void ReleaseSlot(const TargetId& id);

  void OnReport(const TargetId& id, const LoadReport& report, base::Millis now);
  void OnFailure(const TargetId& id, base::Millis now);

  /// The target has refused work for want of a place: others have taken more
  /// than the last report told.
  void OnTargetFull(const TargetId& id, base::Millis now);
  void OnSuccess(const TargetId& id);

  /// True when no target could take this request even if all were idle.
  bool IsUnservable(const RouteRequest& request) const;

  /// Free places for requests such as this one, over all targets.
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

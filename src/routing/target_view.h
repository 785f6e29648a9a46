#ifndef DAISYPOND_ROUTING_TARGET_VIEW_H_
#define DAISYPOND_ROUTING_TARGET_VIEW_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/name_table.h"
#include "intents/configuration.h"

namespace daisypond::routing {

/// Names a target, as in the intents.
struct TargetId {
  std::string name;
  auto operator<=>(const TargetId&) const = default;
};

/// What a target last said of itself.
struct LoadReport {
  int64_t running = 0;
  int64_t queued = 0;
  bool is_leaving = false;
  /// Chosen anew by each process of the target: tells a restart.
  uint64_t process = 0;
  /// The state that it was last ordered to.
  std::string state;
};

/// One target as the router sees it.
struct TargetView {
  TargetId id;
  intents::Target settings;
  /// Requests of this instance that run there.
  int64_t own_running = 0;
  LoadReport report;
  base::Millis reported_at;
  /// Requests of this instance that ran there when the report was taken.
  int64_t own_running_at_report = 0;
  bool has_report = false;
  /// No new work before this time, after a failure.
  base::Millis avoided_until;
  int consecutive_failures = 0;
  /// How much a suspect would be hidden by others there.
  size_t suspect_score = 0;
};

enum class RoutingMode : uint8_t { kPrefixAffinity, kLeastLoaded, kRandom };

inline constexpr base::NameTable<RoutingMode, 3>
    kRoutingModeNames("prefix_affinity", "least_loaded", "random");

}  // namespace daisypond::routing

#endif  // DAISYPOND_ROUTING_TARGET_VIEW_H_

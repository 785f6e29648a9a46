#ifndef DAISYPOND_ROUTING_TARGET_VIEW_H_
#define DAISYPOND_ROUTING_TARGET_VIEW_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/name_table.h"
#include "intents/configuration.h"

namespace daisypond::routing {

/// A target's name, as in the intents.
struct TargetId {
  std::string name;
  auto operator<=>(const TargetId&) const = default;
};

/// The load and state that a target reported.
struct LoadReport {
  int64_t running = 0;
  int64_t queued = 0;
  bool is_leaving = false;
  /// Hash of the text that identifies the target's process. A new value means
  /// that the target has restarted.
  uint64_t process_hash = 0;
  /// The state that the target was last ordered to enter, as the target itself
  /// reports it.
  std::string state;
};

/// The settings, load and failures of one target, by which ChooseTarget()
/// decides whether the target gets a request.
struct TargetView {
  TargetId id;
  intents::Target settings;
  /// Number of this instance's requests that are running on the target.
  int64_t own_running = 0;
  LoadReport report;
  base::Millis reported_at;
  /// The value of `own_running` when the last report arrived.
  int64_t own_running_at_report = 0;
  bool has_report = false;
  /// After a failure, the target gets no new requests before this time.
  base::Millis avoided_until;
  int consecutive_failures = 0;
  /// A weighted count of the suspects (requests that may crash their target)
  /// already on the target. The more suspects run on a target, the harder it is
  /// to tell which of them crashed the target.
  size_t suspect_score = 0;
};

enum class RoutingMode : uint8_t { kPrefixAffinity, kLeastLoaded, kRandom };

inline constexpr base::NameTable<RoutingMode, 3>
    kRoutingModeNames("prefix_affinity", "least_loaded", "random");

}  // namespace daisypond::routing

#endif  // DAISYPOND_ROUTING_TARGET_VIEW_H_

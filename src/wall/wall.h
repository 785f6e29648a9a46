#ifndef DAISYPOND_WALL_WALL_H_
#define DAISYPOND_WALL_WALL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "membership/peer_state.h"
#include "routing/target_view.h"
#include "suspects/suspect_tracker.h"

namespace daisypond::wall {

/// A peer and how long ago this instance heard of it.
struct PeerView {
  membership::PeerState state;
  base::Millis age;
};

/// What one instance knows at one time. Everything that the wall shows is
/// taken from here.
struct Snapshot {
  std::string instance;
  std::string failure_domain;
  base::Millis taken_at_unix;
  uint64_t configuration_version = 0;
  /// Highest version that the instance has heard of anywhere.
  uint64_t newest_version = 0;
  bool is_platform_reached = false;
  base::Millis platform_age;
  bool is_stopping = false;
  std::vector<PeerView> peers;
  std::vector<routing::TargetView> targets;
  base::Millis now;
  std::vector<suspects::SuspectTracker::CondemnedRequest> condemned;
  int64_t running = 0;
  int64_t queued = 0;
  size_t copies = 0;
  size_t copy_bytes = 0;
  base::Millis control_processor_time;
  base::Millis up_time;
};

/// The JSON document of GET /v1/wall.
std::string ToJson(const Snapshot& snapshot, const base::Metrics& metrics);

/// The page of GET /wall; it reads /v1/wall once a second.
const std::string& PageHtml();

}  // namespace daisypond::wall

#endif  // DAISYPOND_WALL_WALL_H_

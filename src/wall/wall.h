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

/// The state of a peer as the status page shows it.
struct PeerView {
  membership::PeerState state;
  /// Time since this instance last received news of the peer, from the peer
  /// itself or through another peer.
  base::Millis age;
};

/// The state of the whole system as known to one instance at one time. The wall
/// (status page) shows only this data and the metrics of the instance.
struct Snapshot {
  std::string instance;
  std::string failure_domain;
  /// The time of the snapshot as Unix time, for display.
  base::Millis taken_at_unix;
  uint64_t configuration_version = 0;
  /// Highest configuration version that this instance has learned of from the
  /// platform or from peers.
  uint64_t newest_version = 0;
  /// True when the platform answered the latest poll.
  bool is_platform_reached = false;
  /// Time since the platform last answered a poll.
  base::Millis platform_age;
  bool is_stopping = false;
  std::vector<PeerView> peers;
  std::vector<routing::TargetView> targets;
  /// The time of the snapshot on the monotonic clock, for computing ages.
  base::Millis taken_at_monotonic;
  /// The requests that this instance refuses because they crash the targets
  /// that run them.
  std::vector<suspects::SuspectTracker::CondemnedRequest> condemned;
  /// The number of requests that this instance is running, and the number of
  /// requests that wait for admission.
  int64_t running = 0;
  int64_t queued = 0;
  /// The number of copies of generations that this instance holds, and their
  /// total size.
  size_t copies = 0;
  size_t copy_bytes = 0;
  /// CPU time that the control thread has used.
  base::Millis control_cpu_time;
  base::Millis up_time;
};

/// The JSON body of the response to GET /v1/wall.
std::string ToJson(const Snapshot& snapshot, const base::Metrics& metrics);

/// The HTML page of GET /wall. Its script fetches /v1/wall once a second.
const std::string& PageHtml();

}  // namespace daisypond::wall

#endif  // DAISYPOND_WALL_WALL_H_

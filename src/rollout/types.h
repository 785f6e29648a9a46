#ifndef DAISYPOND_ROLLOUT_TYPES_H_
#define DAISYPOND_ROLLOUT_TYPES_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/name_table.h"

namespace daisypond::rollout {

/// An operator's order to move the traffic of a service to the targets of one
/// software version.
struct Order {
  std::string service;
  /// Version that is to serve the whole service.
  std::string to;
  /// Time within which the roll-out is to be completed.
  base::Millis duration;
  /// Identifies the order: version of its row in the table service. A later
  /// order for the same service has a higher id within one era.
  uint64_t id = 0;
  uint64_t era = 0;
  /// When the table service had the order first, by the table service's clock.
  base::Millis ordered_at;

  bool operator==(const Order&) const = default;
};

enum class State : uint8_t {
  kRunning,
  /// All requests go to the new version; its earlier targets may stop.
  kCompleted,
  /// No request goes to the new version any more.
  kRolledBack,
};

inline constexpr base::NameTable<State, 3> kStateNames("running",
                                                       "completed",
                                                       "rolled_back");

/// Why a roll-out is in its state.
enum class Cause : uint8_t {
  kNone,
  kOrdered,
  kFailures,
  kSlowness,
  kNoTargets,
  kTooFewAnswers,
  kOrderWithdrawn,
  kSuperseded,
  kOlderMember,
  kServed,
};

inline constexpr base::NameTable<Cause, 10> kCauseNames("none",
                                                        "ordered",
                                                        "failures",
                                                        "slowness",
                                                        "no_targets",
                                                        "too_few_answers",
                                                        "order_withdrawn",
                                                        "superseded",
                                                        "older_member",
                                                        "served");

/// What all instances follow for one service. Decisions on one order are
/// ordered by `number`; an instance never follows one with a lower number.
struct Decision {
  std::string service;
  std::string to;
  uint64_t order_id = 0;
  uint64_t era = 0;
  uint64_t number = 0;
  State state = State::kRunning;
  Cause cause = Cause::kNone;
  /// Share of the new requests that go to the new version, from 0 to 1, for
  /// routes without an entry in `route_shares`.
  double share = 0;
  /// By name of a route.
  std::map<std::string, double> route_shares;
  /// Number of targets of the new version that get requests. Few targets with
  /// few requests are as full as those of the earlier version.
  int64_t target_count = 0;
  /// The targets that get requests are taken from this place of their ranking
  /// on, around its end. Moves on so that several targets are compared even if
  /// the share fills one only.
  int64_t first_target = 0;

  bool operator==(const Decision&) const = default;
};

/// Which side of a comparison a target is on.
enum class Side : uint8_t { kOld, kNew };

/// Times to the first byte of an answer, counted by powers of the square root
/// of two, from 1 ms on.
struct LatencyCounts {
  static constexpr size_t kBuckets = 32;
  std::array<int64_t, kBuckets> counts{};

  bool operator==(const LatencyCounts&) const = default;
};

/// Returns the bucket of LatencyCounts in which `latency` falls.
size_t LatencyBucket(base::Millis latency);

/// What one target answered on one route within one slice of time.
struct OutcomeCounts {
  int64_t answered = 0;
  /// Of these, the answers that state a failure of the target.
  int64_t failed = 0;
  LatencyCounts latencies;

  OutcomeCounts& operator+=(const OutcomeCounts& other);
};

/// Identifies the answers that are compared with each other: those on one route
/// from one failure domain within one slice of time.
struct Stratum {
  std::string route;
  std::string failure_domain;
  /// Number of the slice since the decision on the order, see kSlice.
  int64_t slice = 0;

  auto operator<=>(const Stratum&) const = default;
};

/// Answers are compared with those that arrived at the same time.
inline constexpr base::Millis kSlice{1000};

/// The answers of one target in one stratum.
struct TargetOutcome {
  Stratum stratum;
  std::string target;
  Side side = Side::kOld;
  OutcomeCounts counts;
};

/// What one instance has counted for an order. The totals are those since the
/// order, so that a controller that takes over misses nothing of them; the
/// outcomes are those since the last report.
struct Report {
  std::string service;
  uint64_t order_id = 0;
  uint64_t era = 0;
  /// Number of the decision that the instance follows; 0 without one.
  uint64_t followed = 0;
  /// The instance knows a decision that the order is rolled back.
  bool is_rolled_back = false;
  /// Total of new requests for the service, by route.
  std::map<std::string, int64_t> requests;
  /// Total of sends that reached targets of the new version.
  int64_t exposed = 0;
  /// Total of ended requests, and of those that took less than kShortRequest.
  int64_t ended = 0;
  int64_t ended_short = 0;
  /// Requests that are open at targets of the earlier versions now.
  int64_t open_old = 0;
  /// Requests that are open at targets of the new version now.
  int64_t open_new = 0;
  /// The receiver sets the slices: the answers of one report belong together.
  std::vector<TargetOutcome> outcomes;
};

/// Requests that take less are short.
inline constexpr base::Millis kShortRequest{500};

/// Bounds on roll-outs, stated in the settings of a deployment.
struct Limits {
  /// Share of the requests of a service that a bad version may get until the
  /// deadline, and the requests that it may get in addition.
  double exposed_share = 0.1;
  double exposed_slack = 50;
  /// Time after the 50th bad answer of a version in which it is left.
  base::Millis rollback_bound{5000};
};

}  // namespace daisypond::rollout

#endif  // DAISYPOND_ROLLOUT_TYPES_H_

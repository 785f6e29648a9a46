#ifndef DAISYPOND_ROUTING_CHOOSE_TARGET_H_
#define DAISYPOND_ROUTING_CHOOSE_TARGET_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/target_view.h"

namespace daisypond::routing {

/// How a suspect (a request that may crash its target) is placed.
/// kFewestSuspects: on a target with the lowest suspect score, in any failure
/// domain.
enum class SuspectSpreading : uint8_t { kNone, kFewestSuspects };

/// The criteria by which a target is chosen for a request.
struct RouteRequest {
  intents::TargetKind kind = intents::TargetKind::kEngine;
  /// For engines: the model version that the target must serve.
  intents::ModelVersion model;
  /// For services: the name of the service.
  std::string service;
  /// Derived from the start of the prompt. Requests with equal keys go to the
  /// same engine where possible, to share its prefix cache.
  std::string affinity_key;
  /// Targets in this failure domain take precedence.
  std::string failure_domain;
  /// Targets that must not be chosen.
  std::set<TargetId> excluded;
  SuspectSpreading suspect_spreading = SuspectSpreading::kNone;
  RoutingMode mode = RoutingMode::kPrefixAffinity;
  /// For RoutingMode::kRandom: a random number that selects the target.
  uint64_t random = 0;
};

/// True when the target is in service, serves the model or service of the
/// request, is neither avoided after a failure nor excluded by the request, and
/// has a free slot.
bool CanAccept(const TargetView& target,
               const RouteRequest& request,
               base::Millis now);

/// Chooses a target with a free slot. Returns nothing if there is none. Targets
/// in the request's failure domain take precedence.
/// RoutingMode::kPrefixAffinity ranks the targets by rendezvous hashing of the
/// affinity key and chooses the first target whose load is not far above the
/// mean.
std::optional<TargetId> ChooseTarget(
    const std::vector<const TargetView*>& targets,
    const RouteRequest& request,
    base::Millis now);

/// Estimates the target's number of running and queued requests: the number in
/// the target's last report, plus the change in the number of this instance's
/// own requests there since that report. The estimate is at least the number of
/// this instance's own requests; without a recent report, it is that number.
int64_t LoadOf(const TargetView& target, base::Millis now);

}  // namespace daisypond::routing

#endif  // DAISYPOND_ROUTING_CHOOSE_TARGET_H_

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

struct RouteRequest {
  intents::TargetKind kind = intents::TargetKind::kEngine;
  /// For engines: the target must serve exactly this version.
  intents::ModelVersion model;
  /// For services: the name of the service.
  std::string service;
  /// Derived from the start of the prompt. Requests with equal keys go to the
  /// same engine where possible, to share its prefix cache.
  std::string affinity_key;
  std::string failure_domain;
  std::set<TargetId> excluded;
  SuspectSpreading suspect_spreading = SuspectSpreading::kNone;
  RoutingMode mode = RoutingMode::kPrefixAffinity;
  /// For RoutingMode::kRandom: a random number that selects the target.
  uint64_t random = 0;
};

/// True when the target is in service, serves what the request needs, is
/// neither avoided nor excluded and has a free slot.
bool CanAccept(const TargetView& target,
               const RouteRequest& request,
               base::Millis now);

/// Chooses a target with a free slot, or nothing. Targets in the request's
/// failure domain take precedence. With RoutingMode::kPrefixAffinity it is the
/// target that the affinity key ranks highest among those whose load is below a
/// limit that keeps the loads even.
std::optional<TargetId> ChooseTarget(
    const std::vector<const TargetView*>& targets,
    const RouteRequest& request,
    base::Millis now);

/// Estimates the target's number of running and queued requests: the last
/// report plus the change in this instance's own requests since then, but at
/// least the number of these. Without a recent report, only this instance's
/// requests are counted.
int64_t LoadOf(const TargetView& target, base::Millis now);

}  // namespace daisypond::routing

#endif  // DAISYPOND_ROUTING_CHOOSE_TARGET_H_

#ifndef DAISYPOND_ROUTING_CHOOSE_TARGET_H_
#define DAISYPOND_ROUTING_CHOOSE_TARGET_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/target_view.h"

namespace daisypond::routing {

/// How a request that may crash its target is placed.
enum class SuspectSpreading : uint8_t { kNone, kFewestSuspects };

struct RouteRequest {
  intents::TargetKind kind = intents::TargetKind::kEngine;
  /// For engines: must be served exactly.
  intents::ModelVersion model;
  /// For services.
  std::string service;
  /// The start of the prompt; equal keys share an engine's prefix cache.
  std::string affinity_key;
  std::string failure_domain;
  std::set<TargetId> excluded;
  SuspectSpreading suspect_spreading = SuspectSpreading::kNone;
  RoutingMode mode = RoutingMode::kPrefixAffinity;
  /// For RoutingMode::kRandom.
  uint64_t random = 0;
};

/// True when the target may take new work of this request at all.
bool CanAccept(const TargetView& target,
               const RouteRequest& request,
               base::Millis now);

/// Chooses a target with a free place, or none. Targets of the own failure
/// domain go first; among them the one that the affinity key ranks highest,
/// unless its load is above the bound that keeps loads even.
std::optional<TargetId> ChooseTarget(
    const std::vector<const TargetView*>& targets,
    const RouteRequest& request,
    base::Millis now);

/// The load that a choice is based on: the report, corrected by what this
/// instance itself has sent since.
int64_t LoadOf(const TargetView& target, base::Millis now);

}  // namespace daisypond::routing

#endif  // DAISYPOND_ROUTING_CHOOSE_TARGET_H_

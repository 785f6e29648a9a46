#include "routing/choose_target.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "routing/rendezvous.h"

namespace daisypond::routing {

namespace {

// A target may carry up to this many times the mean load of all targets,
// relative to its capacity. Above that, the next target in the ranking is
// chosen (consistent hashing with bounded loads, Mirrokni et al.).
constexpr double kLoadFactor = 1.25;
// Load reports older than this are ignored.
constexpr base::Millis kReportLifetime{3000};

bool IsSuitable(const TargetView& target, const RouteRequest& request) {
  if (target.settings.kind != request.kind) {
    return false;
  }
  return request.kind == intents::TargetKind::kEngine
             ? target.settings.Serves(request.model)
             : target.settings.service == request.service;
}

using Candidates = std::vector<const TargetView*>;

const std::string& NameOf(const TargetView* target) {
  return target->id.name;
}

const TargetView& LeastLoaded(const Candidates& targets, base::Millis now) {
  const auto is_less = [now](const TargetView* a, const TargetView* b) {
    return LoadOf(*a, now) * b->settings.capacity <
           LoadOf(*b, now) * a->settings.capacity;
  };
  return **std::min_element(targets.begin(), targets.end(), is_less);
}

/// Keeps only the targets with the lowest suspect score.
void KeepFewestSuspects(Candidates* targets) {
  size_t fewest = SIZE_MAX;
  for (const TargetView* it : *targets) {
    fewest = std::min(fewest, it->suspect_score);
  }
  std::erase_if(*targets, [fewest](const TargetView* it) {
    return it->suspect_score > fewest;
  });
}

TargetId ChooseAmong(Candidates targets,
                     const RouteRequest& request,
                     base::Millis now) {
  if (request.suspect_spreading == SuspectSpreading::kFewestSuspects) {
    KeepFewestSuspects(&targets);
  }
  if (request.mode == RoutingMode::kRandom) {
    return targets[request.random % targets.size()]->id;
  }
  if (request.mode == RoutingMode::kLeastLoaded ||
      request.affinity_key.empty()) {
    return LeastLoaded(targets, now).id;
  }
  int64_t load = 1;
  int64_t capacity = 0;
  for (const TargetView* it : targets) {
    load += LoadOf(*it, now);
    capacity += it->settings.capacity;
  }
  const double load_per_capacity =
      kLoadFactor * static_cast<double>(load) / static_cast<double>(capacity);
  for (const TargetView* it :
       RankByKey(request.affinity_key, targets, NameOf)) {
    const double load_limit = std::ceil(
        load_per_capacity * static_cast<double>(it->settings.capacity));
    if (static_cast<double>(LoadOf(*it, now)) < load_limit) {
      return it->id;
    }
  }
  return LeastLoaded(targets, now).id;
}

}  // namespace

int64_t LoadOf(const TargetView& target, base::Millis now) {
  const bool is_fresh =
      target.has_report && now - target.reported_at <= kReportLifetime;
  if (!is_fresh) {
    return target.own_running;
  }
  const int64_t own_since = target.own_running - target.own_running_at_report;
  const int64_t reported = target.report.running + target.report.queued;
  return std::max(reported + own_since, target.own_running);
}

bool CanAccept(const TargetView& target,
               const RouteRequest& request,
               base::Millis now) {
  const bool is_in_service =
      target.settings.state == intents::TargetState::kServing &&
      !target.report.is_leaving;
  return is_in_service && IsSuitable(target, request) &&
         now >= target.avoided_until && !request.excluded.contains(target.id) &&
         LoadOf(target, now) < target.settings.capacity;
}

std::optional<TargetId> ChooseTarget(
    const std::vector<const TargetView*>& targets,
    const RouteRequest& request,
    base::Millis now) {
  Candidates own;
  Candidates others;
  for (const TargetView* it : targets) {
    if (!CanAccept(*it, request, now)) {
      continue;
    }
    const bool is_own = it->settings.failure_domain == request.failure_domain;
    (is_own ? own : others).push_back(it);
  }
  // Spreading suspects over the targets matters more than staying in the own
  // failure domain.
  if (request.suspect_spreading == SuspectSpreading::kFewestSuspects) {
    own.insert(own.end(), others.begin(), others.end());
  }
  if (!own.empty()) {
    return ChooseAmong(std::move(own), request, now);
  }
  if (!others.empty()) {
    return ChooseAmong(std::move(others), request, now);
  }
  return std::nullopt;
}

}  // namespace daisypond::routing

#include "forward/target_path.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace daisypond::forward {

namespace {

using base::Millis;

constexpr size_t kMaximumCheckProbes = 3;
// The first probe of a check is alone for this long, because it usually
// succeeds and ends the check. Longer than a round trip.
constexpr Millis kFirstProbeHeadStart{50};
// Failures that begin further checks within this time of the last check do not
// cause more probes.
constexpr Millis kCheckPause{150};
// After this time without a failure, earlier failures do not count.
constexpr Millis kEvidenceLifetime{2000};
constexpr Millis kMaximumCheckTime{450};
// How long bytes from other targets are awaited when connections were reset.
constexpr Millis kResetPatience{200};
// Bytes that arrive within this time of the first failure may have been sent
// before the path was lost.
constexpr Millis kFlightTime{50};
// When peers could not reach so many targets either, the targets are lost.
constexpr size_t kTargetsUntilRefuted = 2;
constexpr Millis kRefutationPeriod{2000};

bool IsInScope(const std::string& target_service, const std::string& service) {
  return service.empty() || target_service == service;
}

}  // namespace

bool TargetPath::Census::ShowsLoss() const {
  return n_targets > 0 && n_failed >= std::min(kTargetsUntilLost, n_targets) &&
         n_failed_domains >= std::min<size_t>(2, n_domains) &&
         n_failed_services >= std::min<size_t>(2, n_services);
}

void TargetPath::Configure(const catalog::Targets& targets) {
  std::erase_if(targets_,
                [&](const auto& it) { return !targets.contains(it.first); });
  for (const auto& it : targets) {
    TargetRecord& record = targets_[it.first];
    record.service = it.second.service;
    record.failure_domain = it.second.failure_domain;
    record.is_leaving = it.second.is_leaving;
  }
}

void TargetPath::OnConnected(const std::string& target, Millis connected_at) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return;
  }
  it->second.connected_at = std::max(it->second.connected_at, connected_at);
  it->second.is_probed = false;
  const bool is_recent = connected_at >= whole_.suspected_since;
  if (whole_.state == PathState::kLost && is_recent) {
    for (auto& service : services_) {
      Restore(&service.second, connected_at);
    }
  }
  if (is_recent) {
    Restore(&whole_, connected_at);
  }
  Scope& service = services_[it->second.service];
  if (connected_at >= service.suspected_since) {
    Restore(&service, connected_at);
  }
}

void TargetPath::OnConnectionReset(const std::string& target, Millis now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return;
  }
  it->second.reset_at = now;
  it->second.is_probed = false;
  OnSuspicion(target, now);
}

void TargetPath::OnBytesReceived(const std::string& target, Millis now) {
  const auto it = targets_.find(target);
  if (it != targets_.end()) {
    it->second.heard_at = std::max(it->second.heard_at, now);
  }
}

bool TargetPath::HasHeard(const std::string& service,
                          const Scope& scope) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& it) {
    return IsInScope(it.second.service, service) &&
           it.second.heard_at >= scope.suspected_since + kFlightTime;
  });
}

void TargetPath::OnConnectFailed(const std::string& target, Millis now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return;
  }
  it->second.failed_at = now;
  it->second.is_probed = false;
  OnSuspicion(target, now);
}

void TargetPath::OnSuspicion(const std::string& target, Millis now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    Suspect(&whole_, target, now);
    return;
  }
  Scope& service = services_[it->second.service];
  // A service that is lost already says nothing about the other ones.
  if (service.state != PathState::kLost) {
    Suspect(&whole_, target, now);
  }
  if (whole_.state != PathState::kLost) {
    Suspect(&service, target, now);
  }
}

void TargetPath::OnReachedThroughPeer(const std::string& service) {
  for (Scope* it : {&whole_, &services_[service]}) {
    if (it->state == PathState::kLost) {
      it->is_reached_through_peer = true;
      it->refuted_until.reset();
    }
  }
}

void TargetPath::OnUnreachableThroughPeer(const std::string& target,
                                          Millis now) {
  const std::string service = ServiceOf(target);
  CountUnreachable("", target, &whole_, now);
  CountUnreachable(service, target, &services_[service], now);
}

void TargetPath::CountUnreachable(const std::string& service,
                                  const std::string& target,
                                  Scope* scope,
                                  Millis now) {
  if (scope->state != PathState::kLost || scope->is_reached_through_peer) {
    return;
  }
  std::set<std::string>& unreachable = scope->unreachable_through_peers;
  unreachable.insert(target);
  if (unreachable.size() >=
      std::min(kTargetsUntilRefuted, Count(service, *scope).n_targets)) {
    scope->refuted_until = now + kRefutationPeriod;
    unreachable.clear();
  }
}

void TargetPath::Suspect(Scope* scope, const std::string& target, Millis now) {
  if (scope->last_failure_at + kEvidenceLifetime < now) {
    scope->suspected_since = now;
  }
  scope->last_failure_at = now;
  if (scope->state != PathState::kDirect) {
    return;
  }
  scope->state = PathState::kChecking;
  scope->suspect = target;
  scope->check_began_at = std::max(now, scope->check_ended_at + kCheckPause);
  scope->n_probes = 0;
}

void TargetPath::EndCheck(Scope* scope, PathState state, Millis now) {
  scope->state = state;
  scope->check_ended_at = now;
  scope->next_probe_at = now + kProbePeriod;
}

void TargetPath::Restore(Scope* scope, Millis now) {
  if (scope->state != PathState::kDirect) {
    EndCheck(scope, PathState::kDirect, now);
  }
  scope->last_failure_at = {INT64_MIN / 2};
  scope->is_reached_through_peer = false;
  scope->unreachable_through_peers.clear();
  scope->refuted_until.reset();
}

void TargetPath::Update(Millis now) {
  UpdateScope("", &whole_, now);
  for (auto& it : services_) {
    if (whole_.state == PathState::kLost) {
      Restore(&it.second, now);
    } else {
      UpdateScope(it.first, &it.second, now);
    }
  }
}

void TargetPath::UpdateScope(const std::string& service,
                             Scope* scope,
                             Millis now) {
  if (scope->refuted_until && now >= *scope->refuted_until) {
    scope->refuted_until.reset();
  }
  if (scope->state != PathState::kChecking) {
    return;
  }
  const Census census = Count(service, *scope);
  const bool has_proof =
      census.ShowsLoss() && census.n_pending_probes == 0 &&
      (census.n_reset == 0 || now >= scope->suspected_since + kResetPatience);
  const bool is_waiting =
      now < scope->check_began_at + kMaximumCheckTime &&
      (census.ShowsLoss() || census.n_pending_probes > 0 ||
       now < scope->check_began_at ||
       (scope->n_probes < kMaximumCheckProbes && ChooseProbe(service, *scope)));
  if (has_proof) {
    EndCheck(scope, PathState::kLost, now);
  } else if (!is_waiting) {
    EndCheck(scope, PathState::kDirect, now);
  }
}

TargetPath::Census TargetPath::Count(const std::string& service,
                                     const Scope& scope) const {
  Census census;
  const bool has_heard = HasHeard(service, scope);
  std::set<std::string> domains;
  std::set<std::string> failed_domains;
  std::set<std::string> services;
  std::set<std::string> failed_services;
  for (const auto& it : targets_) {
    const TargetRecord& record = it.second;
    if (!IsInScope(record.service, service)) {
      continue;
    }
    census.n_pending_probes += record.is_probed ? 1 : 0;
    if (record.is_leaving) {
      continue;
    }
    ++census.n_targets;
    domains.insert(record.failure_domain);
    services.insert(record.service);
    const bool is_reset_only = record.failed_at < scope.suspected_since;
    if (record.HasFailedSince(scope.suspected_since) &&
        !(is_reset_only && has_heard)) {
      ++census.n_failed;
      census.n_reset += is_reset_only ? 1 : 0;
      failed_domains.insert(record.failure_domain);
      failed_services.insert(record.service);
    }
  }
  census.n_domains = domains.size();
  census.n_failed_domains = failed_domains.size();
  census.n_services = services.size();
  census.n_failed_services = failed_services.size();
  return census;
}

std::vector<std::string> TargetPath::TakeProbes(Millis now) {
  Update(now);
  std::vector<std::string> probes;
  AddCheckProbes("", &whole_, now, &probes);
  AddLostProbe("", &whole_, now, &probes);
  if (whole_.state == PathState::kDirect) {
    for (auto& it : services_) {
      AddCheckProbes(it.first, &it.second, now, &probes);
      AddLostProbe(it.first, &it.second, now, &probes);
    }
  }
  return probes;
}

size_t TargetPath::AllowedProbes(const Scope& scope,
                                 const Census& census,
                                 Millis now) {
  if (now < scope.check_began_at) {
    return 0;
  }
  const bool has_first_failed =
      scope.n_probes > 0 && census.n_pending_probes == 0;
  return has_first_failed || now >= scope.check_began_at + kFirstProbeHeadStart
             ? kMaximumCheckProbes
             : 1;
}

void TargetPath::AddCheckProbes(const std::string& service,
                                Scope* scope,
                                Millis now,
                                std::vector<std::string>* probes) {
  if (scope->state != PathState::kChecking) {
    return;
  }
  const size_t n = AllowedProbes(*scope, Count(service, *scope), now);
  while (scope->n_probes < n) {
    const std::optional<std::string> target = ChooseProbe(service, *scope);
    if (!target) {
      return;
    }
    BeginProbe(*target, now, probes);
  }
}

void TargetPath::AddLostProbe(const std::string& service,
                              Scope* scope,
                              Millis now,
                              std::vector<std::string>* probes) {
  if (scope->state != PathState::kLost || now < scope->next_probe_at) {
    return;
  }
  if (const std::optional<std::string> target = LeastRecentlyProbed(service)) {
    BeginProbe(*target, now, probes);
  }
  scope->next_probe_at = now + kProbePeriod;
}

std::optional<std::string> TargetPath::ChooseProbe(const std::string& service,
                                                   const Scope& scope) const {
  // Domains and services in which a target has failed or is being probed.
  std::set<std::string> domains;
  std::set<std::string> services;
  const auto suspect = targets_.find(scope.suspect);
  if (suspect != targets_.end()) {
    domains.insert(suspect->second.failure_domain);
  }
  for (const auto& it : targets_) {
    const TargetRecord& record = it.second;
    if (record.is_probed || record.HasFailedSince(scope.suspected_since)) {
      domains.insert(record.failure_domain);
      services.insert(record.service);
    }
  }
  // The first probe goes to the service of the suspect: if it succeeds, both
  // the path to all targets and that to the service are sound.
  const bool is_first = scope.n_probes == 0 && suspect != targets_.end();
  using Rank = std::tuple<bool, bool, bool, bool, int64_t>;
  std::optional<Rank> best_rank;
  std::optional<std::string> best;
  for (const auto& it : targets_) {
    const TargetRecord& record = it.second;
    if (!IsInScope(record.service, service) || record.is_leaving ||
        record.is_probed || record.HasFailedSince(scope.suspected_since)) {
      continue;
    }
    const bool is_service_wanted =
        is_first ? record.service == suspect->second.service
                 : !services.contains(record.service);
    const Rank rank{it.first == scope.suspect, !is_service_wanted,
                    record.failed_at > record.connected_at,
                    domains.contains(record.failure_domain),
                    -record.connected_at.count};
    if (!best_rank || rank < *best_rank) {
      best_rank = rank;
      best = it.first;
    }
  }
  return best;
}

std::optional<std::string> TargetPath::LeastRecentlyProbed(
    const std::string& service) const {
  std::optional<std::string> best;
  Millis best_probed_at;
  for (const auto& it : targets_) {
    const TargetRecord& record = it.second;
    if (!IsInScope(record.service, service) || record.is_leaving ||
        record.is_probed) {
      continue;
    }
    if (!best || record.probed_at < best_probed_at) {
      best = it.first;
      best_probed_at = record.probed_at;
    }
  }
  return best;
}

void TargetPath::BeginProbe(const std::string& target,
                            Millis now,
                            std::vector<std::string>* probes) {
  TargetRecord& record = targets_[target];
  record.is_probed = true;
  record.probed_at = now;
  ++whole_.n_probes;
  ++services_[record.service].n_probes;
  probes->push_back(target);
}

PathState TargetPath::StateOf(const std::string& service) const {
  if (State() == PathState::kLost) {
    return PathState::kLost;
  }
  const auto it = services_.find(service);
  const PathState state =
      it == services_.end() ? PathState::kDirect : it->second.Effective();
  return state == PathState::kDirect ? State() : state;
}

PathState TargetPath::StateOfTarget(const std::string& target) const {
  return StateOf(ServiceOf(target));
}

bool TargetPath::IsLossExplained(const std::string& service) const {
  if (State() == PathState::kLost) {
    return true;
  }
  const auto it = services_.find(service);
  return it != services_.end() && it->second.Effective() == PathState::kLost &&
         it->second.is_reached_through_peer;
}

bool TargetPath::DoConnectionsLiveOn(const std::string& service) const {
  const auto it = services_.find(service);
  return HasHeard(service, it == services_.end() ? whole_ : it->second);
}

bool TargetPath::NeedsProbes() const {
  return whole_.state != PathState::kDirect ||
         std::any_of(services_.begin(), services_.end(), [](const auto& it) {
           return it.second.state != PathState::kDirect;
         });
}

Millis TargetPath::SuspectedSince(const std::string& service) const {
  const auto it = services_.find(service);
  return whole_.state != PathState::kDirect || it == services_.end()
             ? whole_.suspected_since
             : it->second.suspected_since;
}

std::string TargetPath::ServiceOf(const std::string& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? "" : it->second.service;
}

std::vector<std::string> TargetPath::LostServices() const {
  std::vector<std::string> lost;
  for (const auto& it : services_) {
    if (it.second.Effective() == PathState::kLost) {
      lost.push_back(it.first);
    }
  }
  return lost;
}

}  // namespace daisypond::forward

#include "forward/target_selector.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace daisypond::forward {

namespace {

using base::Millis;

// How long a target is avoided after a failure, doubled with each consecutive
// failure. A crashed target needs about a second to restart.
constexpr Millis kInitialAvoidance{500};
// Maximum number of times that kInitialAvoidance is doubled.
constexpr int kMaximumAvoidanceDoublings = 3;
// How long no request is sent to a target after a connection to it could not be
// opened. Each attempt to connect to an unreachable target takes the full
// connect timeout, so few requests should test whether it is reachable again.
constexpr Millis kUnreachableRetryDelay{400};
// How long a target is avoided after it refused a request because it had no
// free slot. A plain service completes several requests in this time.
constexpr Millis kNoFreeSlotAvoidance{150};
// Failures of targets of one failure domain within this time are attributed to
// a common cause.
constexpr Millis kDomainFailureWindow{1500};
// How long a target that a peer reported as failed is ranked lower.
constexpr Millis kSuspicionPeriod{1500};
constexpr double kSuspectedWeight = 4;
// The weight of a load report falls from one to zero over this time, which is
// the duration of a long generation.
constexpr Millis kLoadReportLifetime{6000};
// How long an engine's answer to a poll is used. The counts change quickly: a
// prompt of the usual length is prefilled within this time.
constexpr Millis kEngineReportLifetime{1000};
// Maximum age of the counts in an engine's report when the report arrives.
constexpr Millis kEngineReportLag{250};
// Weights of the terms of a target's score, in units of one running request at
// the target. The target with the lowest score is chosen.
constexpr double kOtherDomainWeight = 2.5;
constexpr double kAffinityWeight = 1.2;
constexpr double kCopyWeight = 0.35;
constexpr double kFailureWeight = 8;
// Weight of each prompt that is queued ahead of a new request. Such a prompt
// delays the first event of the new request about as much as several running
// requests. Prefilling the prompt also delays every event of the running
// requests.
constexpr double kQueuedPromptWeight = 5;
// Weight of an engine whose KV cache has no room for the request. Such an
// engine evicts the KV cache of runs, which must then be prefilled again.
constexpr double kKvCacheFullWeight = 50;
// Weight of a target that is avoided after a failure or a refusal. It is larger
// than any other weight, so that such a target is chosen only if there is no
// alternative.
constexpr double kAvoidedTargetWeight = 1000;
constexpr double kFailingDomainWeight = 300;
constexpr double kAvoidedDomainWeight = 100;
// A software version that fewer targets have than this is chosen less for new
// runs, if another version is more common.
constexpr size_t kCommonVersionTargets = 3;
constexpr double kScarceVersionWeight = 8;
// Weight of a brittle target that has no free slot left.
constexpr double kFullBrittleWeight = 20;
constexpr double kServiceLoadScale = 6;
constexpr double kNoiseWeight = 0.05;
// Weight of the newest outcome in the moving average of the failure rate.
constexpr double kNewestOutcomeWeight = 0.15;

/// Maps a hash to a number from 0 to 1.
double ToFraction(uint64_t hash) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(hash) / kRange;
}

void UpdateFailureRate(TargetState* state, bool has_failed) {
  state->failure_rate +=
      kNewestOutcomeWeight * ((has_failed ? 1.0 : 0.0) - state->failure_rate);
}

bool HasRecentEngineReport(const TargetState& state, Millis now) {
  return state.engine_report &&
         now - state.engine_reported_at < kEngineReportLifetime;
}

/// Estimates the delay caused by the queue ahead of a new request at an engine
/// that was polled recently, in the unit of the score.
double EstimateQueue(const TargetState& state,
                     const PlacementRequest& request) {
  const EngineReport& report = *state.engine_report;
  const int64_t prompts =
      report.prefilling + report.waiting + state.own_sends_since_poll;
  double queue = kQueuedPromptWeight * static_cast<double>(prompts);
  const int64_t needed = request.kv_cache_tokens * (prompts + 1);
  if (report.kv_tokens_total > 0 &&
      report.kv_tokens_used + needed > report.kv_tokens_total) {
    queue += kKvCacheFullWeight;
  }
  return queue;
}

}  // namespace

double TargetSelector::Random() {
  random_ = base::Hash("", random_);
  return ToFraction(random_);
}

void TargetSelector::Configure(const catalog::Targets& targets) {
  std::erase_if(states_, [&](const auto& it) {
    const auto found = targets.find(it.first);
    return found == targets.end() ||
           found->second.started_at != it.second.target.started_at;
  });
  for (const auto& it : targets) {
    TargetState& state = states_[it.first];
    state.is_replaced = state.is_replaced && state.target == it.second;
    state.target = it.second;
    state.has_stated_leaving =
        leaving_.contains({it.first, it.second.started_at});
  }
  std::erase_if(leaving_, [&](const TargetProcess& it) {
    // Another process without a stated start may follow under the same id.
    return it.started_at == 0 && !targets.contains(it.id);
  });
  MarkSuperseded();
}

void TargetSelector::MarkSuperseded() {
  std::map<std::string, int64_t> last_start;
  for (const auto& it : states_) {
    int64_t& last = last_start[it.second.target.address];
    last = std::max(last, it.second.target.started_at);
  }
  for (auto& it : states_) {
    TargetState& state = it.second;
    state.is_superseded =
        state.target.started_at != 0 &&
        state.target.started_at < last_start[state.target.address];
  }
}

TargetState* TargetSelector::StateOf(const std::string& id) {
  const auto it = states_.find(id);
  return it == states_.end() ? nullptr : &it->second;
}

double TargetSelector::EstimateLoad(const TargetState& state,
                                    Millis now) const {
  if (HasRecentEngineReport(state, now)) {
    return static_cast<double>(state.engine_report->running +
                               state.engine_report->waiting +
                               state.own_sends_since_poll);
  }
  double load = static_cast<double>(state.own_running);
  if (!state.load_report) {
    return load;
  }
  const int64_t others = std::max<int64_t>(0, state.load_report->running +
                                                  state.load_report->waiting -
                                                  state.own_running_at_report);
  const double age = static_cast<double>((now - state.load_reported_at).count) /
                     static_cast<double>(kLoadReportLifetime.count);
  load += static_cast<double>(others) * std::max(0.0, 1.0 - age);
  return load;
}

bool TargetSelector::IsEligible(const TargetState& state,
                                const PlacementRequest& request) const {
  return state.target.service == request.service && !IsLeaving(state) &&
         !state.is_replaced && !state.is_superseded &&
         !request.excluded.contains(state.target.id) &&
         (!request.version || *request.version == state.target.version) &&
         (request.allowed.empty() || request.allowed.contains(state.target.id));
}

double TargetSelector::ComputeScore(const TargetState& state,
                                    const PlacementRequest& request,
                                    Millis now) const {
  const double slots =
      static_cast<double>(std::max<int64_t>(state.target.slots, 1));
  double score = EstimateLoad(state, now);
  if (request.is_engine) {
    score += kAffinityWeight *
             ToFraction(base::Hash(state.target.id, request.affinity_key));
    score += kCopyWeight * static_cast<double>(state.own_copies);
    if (HasRecentEngineReport(state, now)) {
      score += EstimateQueue(state, request);
    }
  } else {
    score = score / slots * kServiceLoadScale;
  }
  if (state.target.failure_domain != request.failure_domain) {
    score += kOtherDomainWeight;
  }
  score += kFailureWeight * state.failure_rate * state.failure_rate;
  if (now < state.avoided_until) {
    score += kAvoidedTargetWeight +
             static_cast<double>((state.avoided_until - now).count);
  }
  if (state.suspected_at > state.last_heard_at &&
      state.suspected_at + kSuspicionPeriod > now) {
    score += kSuspectedWeight;
  }
  if (EstimateLoad(state, now) >= slots && RejectionLimitOf(state)) {
    score += kFullBrittleWeight;
  }
  if (!request.avoided_domain.empty() &&
      state.target.failure_domain == request.avoided_domain) {
    score += kAvoidedDomainWeight;
  }
  return score;
}

Placement TargetSelector::MakePlacement(const TargetState& state,
                                        double score,
                                        Millis now) const {
  Placement placement;
  placement.id = state.target.id;
  placement.address = state.target.address;
  placement.failure_domain = state.target.failure_domain;
  placement.version = state.target.version;
  placement.started_at = state.target.started_at;
  placement.score = score;
  placement.load = EstimateLoad(state, now);
  if (state.load_report) {
    placement.report_age = now - state.load_reported_at;
  }
  return placement;
}

std::optional<Placement> TargetSelector::Choose(const PlacementRequest& request,
                                                Millis now) {
  const std::vector<Placement> ranked = Rank(request, 1, now);
  return ranked.empty() ? std::nullopt : std::optional(ranked.front());
}

std::vector<Placement> TargetSelector::Rank(const PlacementRequest& request,
                                            size_t n,
                                            Millis now) {
  const std::set<std::string> scarce_versions =
      request.prefers_common_version ? ScarceVersions(request.service)
                                     : std::set<std::string>();
  std::map<std::string, bool> is_domain_failing;
  std::vector<std::pair<double, const TargetState*>> scored;
  for (const auto& it : states_) {
    const TargetState& state = it.second;
    if (!IsEligible(state, request) || now < state.unreachable_until ||
        now < state.no_permit_until) {
      continue;
    }
    const std::string& domain = state.target.failure_domain;
    const auto known = is_domain_failing.find(domain);
    const bool is_failing =
        known != is_domain_failing.end()
            ? known->second
            : is_domain_failing
                  .emplace(domain,
                           IsDomainFailing(request.service, domain, now))
                  .first->second;
    double score = ComputeScore(state, request, now) + kNoiseWeight * Random();
    if (is_failing && state.last_heard_at + kDomainFailureWindow < now) {
      score += kFailingDomainWeight;
    }
    if (scarce_versions.contains(state.target.version)) {
      score += kScarceVersionWeight;
    }
    scored.emplace_back(score, &state);
  }
  n = std::min(n, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<long>(n),
                    scored.end());
  std::vector<Placement> ranked;
  for (size_t i = 0; i < n; ++i) {
    ranked.push_back(MakePlacement(*scored[i].second, scored[i].first, now));
  }
  return ranked;
}

std::optional<Placement> TargetSelector::ChooseCopyHolder(
    const PlacementRequest& request,
    Millis now) {
  std::optional<Placement> chosen = Choose(request, now);
  if (!chosen || chosen->failure_domain == request.avoided_domain ||
      chosen->score >= kAvoidedTargetWeight) {
    return std::nullopt;
  }
  return chosen;
}

std::optional<Placement> TargetSelector::Find(const std::string& id,
                                              Millis now) const {
  const auto it = states_.find(id);
  if (it == states_.end() || IsLeaving(it->second) || it->second.is_replaced ||
      it->second.is_superseded || now < it->second.avoided_until ||
      now < it->second.no_permit_until) {
    return std::nullopt;
  }
  return MakePlacement(it->second, 0, now);
}

std::optional<Placement> TargetSelector::FindSameProcess(
    const Placement& placement,
    Millis now) const {
  std::optional<Placement> found = Find(placement.id, now);
  if (found && found->started_at != placement.started_at) {
    return std::nullopt;
  }
  return found;
}

void TargetSelector::OnSend(const std::string& id) {
  if (TargetState* state = StateOf(id)) {
    ++state->own_running;
    ++state->own_sends_since_poll;
  }
}

void TargetSelector::OnSendEnded(const std::string& id) {
  TargetState* state = StateOf(id);
  if (state != nullptr && state->own_running > 0) {
    --state->own_running;
    state->own_running_at_report =
        std::min(state->own_running_at_report, state->own_running);
  }
}

void TargetSelector::OnCopyBegun(const std::string& id) {
  if (TargetState* state = StateOf(id)) {
    ++state->own_copies;
  }
}

void TargetSelector::OnCopyEnded(const std::string& id) {
  TargetState* state = StateOf(id);
  if (state != nullptr && state->own_copies > 0) {
    --state->own_copies;
  }
}

void TargetSelector::OnLoadReport(const std::string& id,
                                  const LoadReport& report,
                                  Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->load_report = report;
    state->load_reported_at = now;
    state->own_running_at_report = state->own_running;
  }
}

void TargetSelector::OnEngineReport(const std::string& id,
                                    const EngineReport& report,
                                    Millis now) {
  TargetState* state = StateOf(id);
  if (state == nullptr) {
    return;
  }
  if (report.started_at != 0 && state->target.started_at != 0 &&
      report.started_at != state->target.started_at) {
    state->is_replaced = true;
    return;
  }
  // The counts in a report may be up to kEngineReportLag old. When the previous
  // report arrived less than this time ago, the new counts may not include the
  // sends made since the previous report. These sends then stay in
  // `own_sends_since_poll`, which is added to the counts.
  const bool is_within_report_lag =
      HasRecentEngineReport(*state, now) &&
      now - state->engine_reported_at < kEngineReportLag;
  state->own_sends_since_poll =
      is_within_report_lag ? state->own_sends_since_poll : 0;
  state->engine_report = report;
  state->engine_reported_at = now;
}

void TargetSelector::OnBytesReceived(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->last_heard_at = now;
  }
}

void TargetSelector::OnSuccess(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->last_heard_at = now;
    state->failures_in_row = 0;
    state->avoided_until = {0};
    UpdateFailureRate(state, false);
  }
}

void TargetSelector::OnFailure(const std::string& id, Millis now) {
  TargetState* state = StateOf(id);
  if (state == nullptr) {
    return;
  }
  const int doublings =
      std::min(state->failures_in_row, kMaximumAvoidanceDoublings);
  ++state->failures_in_row;
  state->failed_at = now;
  state->avoided_until = now + kInitialAvoidance * (int64_t{1} << doublings);
  UpdateFailureRate(state, true);
}

void TargetSelector::OnUnreachable(const std::string& id, Millis now) {
  OnFailure(id, now);
  if (TargetState* state = StateOf(id)) {
    state->unreachable_until = now + kUnreachableRetryDelay;
  }
}

void TargetSelector::ForgetFailuresSince(const std::string& service,
                                         Millis since) {
  for (auto& it : states_) {
    TargetState& state = it.second;
    if (state.failed_at < since ||
        (!service.empty() && state.target.service != service)) {
      continue;
    }
    state.failed_at = {INT64_MIN / 2};
    state.failures_in_row = 0;
    state.avoided_until = {0};
    state.unreachable_until = {0};
    state.failure_rate = 0;
  }
}

void TargetSelector::OnPeerReportedFailure(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->suspected_at = now;
  }
}

bool TargetSelector::IsSuspected(const std::string& id, Millis now) const {
  const auto it = states_.find(id);
  return it != states_.end() &&
         it->second.suspected_at > it->second.last_heard_at &&
         it->second.suspected_at + kSuspicionPeriod > now;
}

void TargetSelector::OnErrorAnswer(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->last_heard_at = now;
    UpdateFailureRate(state, true);
  }
}

void TargetSelector::OnReplaced(const std::string& id) {
  if (TargetState* state = StateOf(id)) {
    state->is_replaced = true;
  }
}

bool TargetSelector::OnLeaving(const TargetProcess& process) {
  if (leaving_.size() >= kMaximumLeaving) {
    std::erase_if(leaving_, [&](const TargetProcess& it) {
      return !states_.contains(it.id);
    });
  }
  TargetState* state = StateOf(process.id);
  if (state != nullptr && state->target.started_at == process.started_at) {
    state->has_stated_leaving = true;
  }
  return leaving_.insert(process).second;
}

bool TargetSelector::IsLeaving(const std::string& id) const {
  const auto it = states_.find(id);
  return it != states_.end() && IsLeaving(it->second);
}

void TargetSelector::OnFull(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->last_heard_at = now;
    state->avoided_until =
        std::max(state->avoided_until, now + kNoFreeSlotAvoidance);
    UpdateFailureRate(state, true);
  }
}

bool TargetSelector::OnRequestLimit(const std::string& id,
                                    std::optional<double> limit) {
  TargetState* state = StateOf(id);
  if (state == nullptr || state->request_limit == limit) {
    return false;
  }
  state->request_limit = limit;
  if (!limit) {
    state->no_permit_until = {0};
  }
  return true;
}

std::optional<double> TargetSelector::RequestLimit(
    const std::string& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? std::nullopt : it->second.request_limit;
}

bool TargetSelector::OnRejectionLimit(const std::string& id,
                                      std::optional<double> limit,
                                      Millis now) {
  TargetState* state = StateOf(id);
  if (state == nullptr) {
    return false;
  }
  ServiceState& service = services_[state->target.service];
  if (limit && !service.rejection_limit) {
    service.brittle_since = now;
  }
  service.rejection_limit = limit;
  state->rejection_limit_stated_at = now;
  if (state->rejection_limit == limit) {
    return false;
  }
  if (!limit && !state->request_limit) {
    state->no_permit_until = {0};
  }
  state->rejection_limit = limit;
  return true;
}

std::optional<double> TargetSelector::RejectionLimit(
    const std::string& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? std::nullopt : RejectionLimitOf(it->second);
}

std::optional<double> TargetSelector::RejectionLimitOf(
    const TargetState& state) const {
  const auto it = services_.find(state.target.service);
  const bool is_own_newer =
      state.rejection_limit || it == services_.end() ||
      state.rejection_limit_stated_at >= it->second.brittle_since;
  return is_own_newer ? state.rejection_limit : it->second.rejection_limit;
}

int64_t TargetSelector::SlotsOf(const std::string& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? 0 : it->second.target.slots;
}

void TargetSelector::OnPermitRefused(const std::string& id, Millis until) {
  if (TargetState* state = StateOf(id)) {
    state->no_permit_until = until;
  }
}

std::optional<Millis> TargetSelector::NextPermitAt(
    const PlacementRequest& request,
    Millis now) const {
  std::optional<Millis> next;
  for (const auto& it : states_) {
    const TargetState& state = it.second;
    if (IsEligible(state, request) && now >= state.unreachable_until &&
        now < state.no_permit_until) {
      next =
          std::min(next.value_or(state.no_permit_until), state.no_permit_until);
    }
  }
  return next;
}

bool TargetSelector::IsSuperseded(const std::string& id) const {
  const auto it = states_.find(id);
  return it == states_.end() || it->second.is_superseded;
}

bool TargetSelector::IsSameProcess(const Placement& placement) const {
  const auto it = states_.find(placement.id);
  return it != states_.end() && !it->second.is_superseded &&
         !it->second.is_replaced &&
         it->second.target.started_at == placement.started_at &&
         it->second.target.version == placement.version;
}

bool TargetSelector::HasVersion(const std::string& service,
                                const std::string& version) const {
  PlacementRequest request;
  request.service = service;
  request.version = version;
  return std::any_of(states_.begin(), states_.end(), [&](const auto& it) {
    return IsEligible(it.second, request);
  });
}

std::set<std::string> TargetSelector::ScarceVersions(
    const std::string& service) const {
  PlacementRequest request;
  request.service = service;
  std::map<std::string, size_t> n_targets;
  for (const auto& it : states_) {
    n_targets[it.second.target.version] +=
        IsEligible(it.second, request) ? 1 : 0;
  }
  std::set<std::string> scarce;
  bool has_common = false;
  for (const auto& it : n_targets) {
    has_common = has_common || it.second >= kCommonVersionTargets;
    if (it.second < kCommonVersionTargets) {
      scarce.insert(it.first);
    }
  }
  return has_common ? scarce : std::set<std::string>();
}

Millis TargetSelector::LastHeardAt(const std::string& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? Millis{INT64_MIN / 2} : it->second.last_heard_at;
}

bool TargetSelector::IsDomainFailing(const std::string& service,
                                     const std::string& failure_domain,
                                     Millis now) const {
  int n_failed = 0;
  int n_used = 0;
  for (const auto& it : states_) {
    const TargetState& state = it.second;
    if (state.target.service != service ||
        state.target.failure_domain != failure_domain) {
      continue;
    }
    const bool has_failed = state.failed_at + kDomainFailureWindow > now &&
                            state.last_heard_at <= state.failed_at;
    n_failed += has_failed ? 1 : 0;
    n_used +=
        has_failed || state.last_heard_at + kDomainFailureWindow > now ? 1 : 0;
  }
  return n_failed >= 2 && n_failed * 2 >= n_used;
}

}  // namespace daisypond::forward

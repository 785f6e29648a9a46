#include "forward/target_board.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace daisypond::forward {

namespace {

using base::Millis;

// A target that failed is left alone this long, doubled with each failure in
// a row. A crashed target needs about a second to come back.
constexpr Millis kFirstAvoidance{500};
constexpr int kMaximumDoublings = 3;
// A cut target costs a connection's time limit for each try; one request in
// this time finds out whether it is back.
constexpr Millis kUnreachableRest{400};
// A target that refused for want of a place; several answers of a plain
// service take this long.
constexpr Millis kFullAvoidance{150};
// Failures this close together have one cause.
constexpr Millis kDomainWindow{1500};
// What a peer has lost is avoided this long if others are as good.
constexpr Millis kSuspicion{1500};
constexpr double kSuspectedWeight = 4;
// Reports of others' load count in full when new and nothing after this time:
// the length of a long generation.
constexpr Millis kReportLife{6000};
// An engine's answer of itself counts this long; a prompt of the usual length
// is read in that time.
constexpr Millis kAskedLife{1000};
// Engines count themselves some hundred milliseconds before they answer.
constexpr Millis kReportLag{250};
// Weights of a score, in requests at a target.
constexpr double kOtherDomain = 2.5;
constexpr double kPreferenceWeight = 1.2;
constexpr double kCopyWeight = 0.35;
constexpr double kFailureWeight = 8;
// A prompt that is read before delays the first event by as much as many
// running requests do, and each event of those that run.
constexpr double kPromptWeight = 5;
// Runs lose their memory and read anew when an engine has no room.
constexpr double kNoRoomWeight = 50;
constexpr double kAvoidedWeight = 1000;
constexpr double kFailingDomainWeight = 300;
constexpr double kAvoidedDomainWeight = 100;
constexpr double kPlainLoadScale = 6;
constexpr double kNoise = 0.05;
// Weight of the newest outcome in a failure rate.
constexpr double kOutcomeWeight = 0.15;

/// Maps a hash to 0 to 1.
double ToFraction(uint64_t hash) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(hash) / kRange;
}

void AddOutcome(TargetState* state, bool has_failed) {
  state->failure_rate +=
      kOutcomeWeight * ((has_failed ? 1.0 : 0.0) - state->failure_rate);
}

bool IsAskedLately(const TargetState& state, Millis now) {
  return state.asked && now - state.asked_at < kAskedLife;
}

/// What stands between a new request and its first event at an engine that was
/// asked lately.
double QueueOf(const TargetState& state, const PlacementRequest& request) {
  const EngineReport& report = *state.asked;
  const int64_t prompts =
      report.prefilling + report.waiting + state.own_since_asked;
  double queue = kPromptWeight * static_cast<double>(prompts);
  const int64_t needed = request.tokens * (prompts + 1);
  if (report.kv_tokens_total > 0 &&
      report.kv_tokens_used + needed > report.kv_tokens_total) {
    queue += kNoRoomWeight;
  }
  return queue;
}

}  // namespace

double TargetBoard::Random() {
  random_ = base::Hash("", random_);
  return ToFraction(random_);
}

void TargetBoard::Configure(const catalog::Targets& targets) {
  std::erase_if(states_, [&](const auto& it) {
    const auto found = targets.find(it.first);
    return found == targets.end() ||
           found->second.started_at != it.second.target.started_at;
  });
  for (const auto& it : targets) {
    TargetState& state = states_[it.first];
    state.is_replaced = state.is_replaced && state.target == it.second;
    state.target = it.second;
  }
  MarkSuperseded();
}

void TargetBoard::MarkSuperseded() {
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

TargetState* TargetBoard::StateOf(const std::string& id) {
  const auto it = states_.find(id);
  return it == states_.end() ? nullptr : &it->second;
}

double TargetBoard::LoadOf(const TargetState& state, Millis now) const {
  if (IsAskedLately(state, now)) {
    return static_cast<double>(state.asked->running + state.asked->waiting +
                               state.own_since_asked);
  }
  double load = static_cast<double>(state.own_running);
  if (!state.report) {
    return load;
  }
  const int64_t others = std::max<int64_t>(
      0, state.report->running + state.report->waiting - state.own_at_report);
  const double age = static_cast<double>((now - state.reported_at).count) /
                     static_cast<double>(kReportLife.count);
  load += static_cast<double>(others) * std::max(0.0, 1.0 - age);
  return load;
}

bool TargetBoard::MayTake(const TargetState& state,
                          const PlacementRequest& request) const {
  return state.target.service == request.service && !state.target.is_leaving &&
         !state.is_replaced && !state.is_superseded &&
         !request.excluded.contains(state.target.id) &&
         (request.only.empty() || request.only.contains(state.target.id));
}

double TargetBoard::ScoreOf(const TargetState& state,
                            const PlacementRequest& request,
                            Millis now) const {
  const double slots =
      static_cast<double>(std::max<int64_t>(state.target.slots, 1));
  double score = LoadOf(state, now);
  if (request.is_engine) {
    score += kPreferenceWeight *
             ToFraction(base::Hash(state.target.id, request.affinity_key));
    score += kCopyWeight * static_cast<double>(state.own_copies);
    if (IsAskedLately(state, now)) {
      score += QueueOf(state, request);
    }
  } else {
    score = score / slots * kPlainLoadScale;
  }
  if (state.target.failure_domain != request.failure_domain) {
    score += kOtherDomain;
  }
  score += kFailureWeight * state.failure_rate * state.failure_rate;
  if (now < state.avoided_until) {
    score +=
        kAvoidedWeight + static_cast<double>((state.avoided_until - now).count);
  }
  if (state.suspected_at > state.heard_at &&
      state.suspected_at + kSuspicion > now) {
    score += kSuspectedWeight;
  }
  if (!request.avoided_domain.empty() &&
      state.target.failure_domain == request.avoided_domain) {
    score += kAvoidedDomainWeight;
  }
  return score;
}

Placement TargetBoard::PlacementOf(const TargetState& state,
                                   double score,
                                   Millis now) const {
  Placement placement;
  placement.id = state.target.id;
  placement.address = state.target.address;
  placement.failure_domain = state.target.failure_domain;
  placement.started_at = state.target.started_at;
  placement.score = score;
  placement.load = LoadOf(state, now);
  if (state.report) {
    placement.report_age = now - state.reported_at;
  }
  return placement;
}

std::optional<Placement> TargetBoard::Choose(const PlacementRequest& request,
                                             Millis now) {
  const std::vector<Placement> ranked = Rank(request, 1, now);
  return ranked.empty() ? std::nullopt : std::optional(ranked.front());
}

std::vector<Placement> TargetBoard::Rank(const PlacementRequest& request,
                                         size_t n,
                                         Millis now) {
  std::map<std::string, bool> is_domain_failing;
  std::vector<std::pair<double, const TargetState*>> scored;
  for (const auto& it : states_) {
    const TargetState& state = it.second;
    if (!MayTake(state, request) || now < state.unreachable_until) {
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
    double score = ScoreOf(state, request, now) + kNoise * Random();
    if (is_failing && state.heard_at + kDomainWindow < now) {
      score += kFailingDomainWeight;
    }
    scored.emplace_back(score, &state);
  }
  n = std::min(n, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<long>(n),
                    scored.end());
  std::vector<Placement> ranked;
  for (size_t i = 0; i < n; ++i) {
    ranked.push_back(PlacementOf(*scored[i].second, scored[i].first, now));
  }
  return ranked;
}

std::optional<Placement> TargetBoard::ChooseCopy(
    const PlacementRequest& request,
    Millis now) {
  std::optional<Placement> chosen = Choose(request, now);
  if (!chosen || chosen->failure_domain == request.avoided_domain ||
      chosen->score >= kAvoidedWeight) {
    return std::nullopt;
  }
  return chosen;
}

std::optional<Placement> TargetBoard::Find(const std::string& id,
                                           Millis now) const {
  const auto it = states_.find(id);
  if (it == states_.end() || it->second.target.is_leaving ||
      it->second.is_replaced || it->second.is_superseded ||
      now < it->second.avoided_until) {
    return std::nullopt;
  }
  return PlacementOf(it->second, 0, now);
}

std::optional<Placement> TargetBoard::FindAgain(const Placement& placement,
                                                Millis now) const {
  std::optional<Placement> found = Find(placement.id, now);
  if (found && found->started_at != placement.started_at) {
    return std::nullopt;
  }
  return found;
}

void TargetBoard::OnSend(const std::string& id) {
  if (TargetState* state = StateOf(id)) {
    ++state->own_running;
    ++state->own_since_asked;
  }
}

void TargetBoard::OnEnded(const std::string& id) {
  TargetState* state = StateOf(id);
  if (state != nullptr && state->own_running > 0) {
    --state->own_running;
    state->own_at_report = std::min(state->own_at_report, state->own_running);
  }
}

void TargetBoard::OnCopyBegun(const std::string& id) {
  if (TargetState* state = StateOf(id)) {
    ++state->own_copies;
  }
}

void TargetBoard::OnCopyEnded(const std::string& id) {
  TargetState* state = StateOf(id);
  if (state != nullptr && state->own_copies > 0) {
    --state->own_copies;
  }
}

void TargetBoard::OnReport(const std::string& id,
                           const LoadReport& report,
                           Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->report = report;
    state->reported_at = now;
    state->own_at_report = state->own_running;
  }
}

void TargetBoard::OnAsked(const std::string& id,
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
  // Sends since the last answer count on while the engine's own count is as
  // old as that.
  const bool is_repeated =
      IsAskedLately(*state, now) && now - state->asked_at < kReportLag;
  state->own_since_asked = is_repeated ? state->own_since_asked : 0;
  state->asked = report;
  state->asked_at = now;
}

void TargetBoard::OnHeard(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->heard_at = now;
  }
}

void TargetBoard::OnSuccess(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->heard_at = now;
    state->failures_in_row = 0;
    state->avoided_until = {0};
    AddOutcome(state, false);
  }
}

void TargetBoard::OnFailure(const std::string& id, Millis now) {
  TargetState* state = StateOf(id);
  if (state == nullptr) {
    return;
  }
  const int doublings = std::min(state->failures_in_row, kMaximumDoublings);
  ++state->failures_in_row;
  state->failed_at = now;
  state->avoided_until = now + kFirstAvoidance * (int64_t{1} << doublings);
  AddOutcome(state, true);
}

void TargetBoard::OnUnreachable(const std::string& id, Millis now) {
  OnFailure(id, now);
  if (TargetState* state = StateOf(id)) {
    state->unreachable_until = now + kUnreachableRest;
  }
}

void TargetBoard::OnPeerFailure(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->suspected_at = now;
  }
}

bool TargetBoard::IsSuspected(const std::string& id, Millis now) const {
  const auto it = states_.find(id);
  return it != states_.end() && it->second.suspected_at > it->second.heard_at &&
         it->second.suspected_at + kSuspicion > now;
}

void TargetBoard::OnErrorAnswer(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->heard_at = now;
    AddOutcome(state, true);
  }
}

void TargetBoard::OnReplaced(const std::string& id) {
  if (TargetState* state = StateOf(id)) {
    state->is_replaced = true;
  }
}

void TargetBoard::OnFull(const std::string& id, Millis now) {
  if (TargetState* state = StateOf(id)) {
    state->heard_at = now;
    state->avoided_until = std::max(state->avoided_until, now + kFullAvoidance);
    AddOutcome(state, true);
  }
}

bool TargetBoard::IsSuperseded(const std::string& id) const {
  const auto it = states_.find(id);
  return it == states_.end() || it->second.is_superseded;
}

std::string TargetBoard::DomainOf(const std::string& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? "" : it->second.target.failure_domain;
}

Millis TargetBoard::HeardAt(const std::string& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? Millis{INT64_MIN / 2} : it->second.heard_at;
}

bool TargetBoard::IsDomainFailing(const std::string& service,
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
    const bool has_failed = state.failed_at + kDomainWindow > now &&
                            state.heard_at <= state.failed_at;
    n_failed += has_failed ? 1 : 0;
    n_used += has_failed || state.heard_at + kDomainWindow > now ? 1 : 0;
  }
  return n_failed >= 2 && n_failed * 2 >= n_used;
}

}  // namespace daisypond::forward

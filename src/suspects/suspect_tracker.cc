#include "suspects/suspect_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace daisypond::suspects {

namespace {

constexpr int kMinDeathsToCondemn = 2;
// Weight that SuspectOverlap() gives to each suspect on the target with at
// least as many deaths as the request to be placed. Exceeds the number of
// suspects on a target, so that the number of all suspects only breaks ties.
constexpr size_t kComparableSuspectWeight = 100'000;

/// Returns the probability that the product of `n` independent random numbers,
/// uniformly distributed on [0, 1], is at most `product` (Fisher's method). For
/// large `n` this is far larger than `product` itself.
double FisherCombinedProbability(double product, size_t n) {
  const double log = -std::log(product);
  double term = 1;
  double sum = 0;
  for (size_t i = 0; i < n; ++i) {
    sum += term;
    term *= log / static_cast<double>(i + 1);
  }
  return std::min(product * sum, 1.0);
}

}  // namespace

void SuspectTracker::MergeIntoEvent(const TargetDeath& death,
                                    base::Millis now) {
  DeathEvent* event = nullptr;
  for (DeathEvent& it : events_) {
    const base::Millis age = now - it.recorded_at;
    const bool is_same_target = it.targets.contains(death.target);
    // If a request that this event affected has started again since the event,
    // the report is about a later death.
    const bool has_restarted = std::any_of(
        death.affected_requests.begin(), death.affected_requests.end(),
        [&](const AffectedRequest& request) {
          return it.affected_requests.contains(request.content_digest) &&
                 (!is_same_target || request.ran_for < age);
        });
    const base::Millis merge_window = is_same_target
                                          ? options_.duplicate_report_window
                                          : options_.correlated_death_window;
    if (age <= merge_window && !has_restarted) {
      event = &it;
    }
  }
  if (event == nullptr) {
    event = &events_.emplace_back();
    event->recorded_at = now;
  }
  event->targets.insert(death.target);
  for (const AffectedRequest& it : death.affected_requests) {
    const auto [entry, is_new] =
        event->affected_requests.emplace(it.content_digest, it.ran_for);
    if (!is_new) {
      entry->second = std::min(entry->second, it.ran_for);
    }
  }
}

SuspectTracker::Evidence SuspectTracker::CollectEvidence(
    ContentDigest content_digest) const {
  Evidence evidence;
  std::vector<base::Millis> run_times;
  for (const DeathEvent& it : events_) {
    const auto affected = it.affected_requests.find(content_digest);
    if (affected == it.affected_requests.end()) {
      ++evidence.unrelated_events;
      ++evidence.unrelated_events_since_last_death;
      continue;
    }
    // Several targets died at about the same time, so the cause is unlikely to
    // be a request.
    if (it.targets.size() > 1) {
      continue;
    }
    ++evidence.deaths;
    evidence.largest_batch =
        std::max(evidence.largest_batch, it.affected_requests.size());
    evidence.unrelated_events_since_last_death = 0;
    evidence.last_interval = it.recorded_at - evidence.last_death_at;
    evidence.last_death_at = it.recorded_at;
    evidence.is_last_death_early =
        affected->second <= options_.early_death_window;
    evidence.early_deaths += evidence.is_last_death_early ? 1 : 0;
    if (evidence.deaths > 1) {
      run_times.push_back(affected->second);
    }
  }
  // Rate of deaths that did not affect the request, per target and millisecond.
  const double unrelated_death_rate =
      (evidence.unrelated_events + 0.5) /
      (static_cast<double>(target_count_) *
       static_cast<double>(ObservedDuration(evidence.last_death_at).count));
  for (const base::Millis it : run_times) {
    const double chance = unrelated_death_rate *
                          static_cast<double>(std::max<int64_t>(it.count, 1));
    evidence.coincidence_probability *= std::min(chance, 1.0);
  }
  if (!run_times.empty()) {
    evidence.coincidence_probability = FisherCombinedProbability(
        evidence.coincidence_probability, run_times.size());
  }
  // Each request of the batch could have been affected by these deaths by
  // coincidence, so the probability is multiplied by the batch size.
  evidence.coincidence_probability *=
      static_cast<double>(evidence.largest_batch);
  return evidence;
}

base::Millis SuspectTracker::ObservedDuration(base::Millis now) const {
  const base::Millis span = now - observed_since_;
  return std::clamp(span, base::Millis{1}, options_.history_duration);
}

const SuspectTracker::DeathEvent* SuspectTracker::LastSingleTargetEvent(
    ContentDigest content_digest) const {
  const DeathEvent* last = nullptr;
  for (const DeathEvent& it : events_) {
    if (it.targets.size() == 1 &&
        it.affected_requests.contains(content_digest)) {
      last = &it;
    }
  }
  return last;
}

bool SuspectTracker::IsSoleSuspect(ContentDigest content_digest) const {
  const DeathEvent* last = LastSingleTargetEvent(content_digest);
  if (last == nullptr) {
    return false;
  }
  const int deaths = CollectEvidence(content_digest).deaths;
  return std::all_of(last->affected_requests.begin(),
                     last->affected_requests.end(), [&](const auto& it) {
                       return it.first == content_digest ||
                              CollectEvidence(it.first).deaths < deaths;
                     });
}

bool SuspectTracker::IsEvidenceSufficient(const Evidence& evidence,
                                          base::Millis now) const {
  const bool is_separate =
      evidence.last_interval > options_.correlated_death_window;
  if (evidence.deaths < kMinDeathsToCondemn || !is_separate) {
    return false;
  }
  // Early deaths are sufficient evidence if every death that affected the
  // request was early, including the first death. Unstable targets require
  // one more death.
  const bool are_targets_unstable =
      evidence.unrelated_events >= options_.unrelated_death_threshold;
  const int early_deaths_needed =
      kMinDeathsToCondemn + (are_targets_unstable ? 1 : 0);
  const bool is_always_early = evidence.early_deaths == evidence.deaths;
  if (is_always_early && evidence.deaths >= early_deaths_needed) {
    return true;
  }
  const bool has_full_history =
      ObservedDuration(now) >= options_.history_duration;
  if (evidence.deaths > kMinDeathsToCondemn) {
    return evidence.coincidence_probability <
           (has_full_history
                ? options_.max_coincidence_probability
                : options_.short_history_max_coincidence_probability);
  }
  const bool has_no_unrelated_deaths =
      evidence.unrelated_events == 0 && has_full_history;
  return has_no_unrelated_deaths && evidence.is_last_death_early &&
         evidence.coincidence_probability <
             options_.two_death_max_coincidence_probability;
}

void SuspectTracker::OnDeath(const TargetDeath& death, base::Millis now) {
  MergeIntoEvent(death, now);
  for (const AffectedRequest& it : death.affected_requests) {
    const Evidence evidence = CollectEvidence(it.content_digest);
    if (IsEvidenceSufficient(evidence, now) &&
        IsSoleSuspect(it.content_digest)) {
      held_until_.insert_or_assign(it.content_digest,
                                   now + options_.hold_duration);
    } else if (it.ran_for <= options_.early_death_window) {
      held_until_.emplace(it.content_digest, now + options_.retry_delay);
    }
  }
}

void SuspectTracker::RecordCondemned(ContentDigest content_digest,
                                     base::Millis until) {
  base::Millis& stored = condemned_until_[content_digest];
  if (stored >= until) {
    return;
  }
  stored = until;
  const Evidence evidence = CollectEvidence(content_digest);
  base::Log(base::LogLevel::kWarning, "request_condemned",
            {{"content", base::ToHex(content_digest.value)},
             {"deaths", evidence.deaths},
             {"soon_deaths", evidence.early_deaths},
             {"deaths_without", evidence.unrelated_events},
             {"batch", evidence.largest_batch},
             {"coincidence", evidence.coincidence_probability}});
}

void SuspectTracker::OnCondemnedByPeer(ContentDigest content_digest,
                                       base::Millis remaining,
                                       base::Millis now) {
  if (condemned_until_.contains(content_digest)) {
    return;
  }
  held_until_.erase(content_digest);
  RecordCondemned(content_digest,
                  now + std::min(remaining, options_.refusal_duration));
}

void SuspectTracker::ResolveHeldRequests(base::Millis now) {
  if (observed_since_.count < 0) {
    observed_since_ = now;
  }
  for (auto it = held_until_.begin(); it != held_until_.end();) {
    const auto [content_digest, until] = *it;
    if (now < until) {
      ++it;
      continue;
    }
    it = held_until_.erase(it);
    const Evidence evidence = CollectEvidence(content_digest);
    const bool is_sufficient = IsEvidenceSufficient(evidence, now);
    // Deaths of other targets during the hold suggest that the targets are at
    // fault, not the request.
    const bool is_only_explanation =
        IsSoleSuspect(content_digest) &&
        evidence.unrelated_events_since_last_death == 0;
    if (is_sufficient && is_only_explanation) {
      metrics_->CheckInvariant(base::Invariant::kSoleSuspectCondemned,
                               IsSoleSuspect(content_digest) &&
                                   evidence.deaths >= kMinDeathsToCondemn);
      RecordCondemned(content_digest, now + options_.refusal_duration);
    }
  }
  std::erase_if(condemned_until_,
                [now](const auto& it) { return it.second <= now; });
  std::erase_if(events_, [&](const DeathEvent& it) {
    return now - it.recorded_at > options_.history_duration;
  });
}

PlacementAdvice SuspectTracker::AdviceFor(ContentDigest content_digest,
                                          base::Millis now) const {
  const auto condemned = condemned_until_.find(content_digest);
  if (condemned != condemned_until_.end() && now < condemned->second) {
    return PlacementAdvice::kRefuse;
  }
  if (held_until_.contains(content_digest)) {
    return PlacementAdvice::kDelay;
  }
  return LastSingleTargetEvent(content_digest) != nullptr
             ? PlacementAdvice::kAvoidSuspects
             : PlacementAdvice::kAnyTarget;
}

void SuspectTracker::OnRequestStarted(ContentDigest content_digest,
                                      const std::string& target) {
  if (LastSingleTargetEvent(content_digest) != nullptr) {
    suspects_by_target_[target].insert(content_digest);
  }
}

void SuspectTracker::OnRequestEnded(ContentDigest content_digest,
                                    const std::string& target) {
  const auto it = suspects_by_target_.find(target);
  if (it == suspects_by_target_.end()) {
    return;
  }
  const auto suspect = it->second.find(content_digest);
  if (suspect != it->second.end()) {
    it->second.erase(suspect);
  }
  if (it->second.empty()) {
    suspects_by_target_.erase(it);
  }
}

size_t SuspectTracker::SuspectOverlap(ContentDigest content_digest,
                                      const std::string& target) const {
  const auto it = suspects_by_target_.find(target);
  if (it == suspects_by_target_.end()) {
    return 0;
  }
  const int deaths = CollectEvidence(content_digest).deaths;
  size_t comparable_suspects = 0;
  for (const ContentDigest other : it->second) {
    comparable_suspects += CollectEvidence(other).deaths >= deaths ? 1 : 0;
  }
  return comparable_suspects * kComparableSuspectWeight + it->second.size();
}

std::vector<SuspectTracker::CondemnedRequest> SuspectTracker::AllCondemned(
    base::Millis now) const {
  std::vector<CondemnedRequest> all;
  for (const auto& [content_digest, until] : condemned_until_) {
    if (now < until) {
      all.push_back({content_digest, until});
    }
  }
  return all;
}

}  // namespace daisypond::suspects

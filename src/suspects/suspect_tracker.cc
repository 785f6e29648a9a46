#include "suspects/suspect_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace daisypond::suspects {

namespace {

constexpr int kLeastDeaths = 2;
constexpr size_t kSuspectsOnTargetBound = 100'000;

/// The chance that a product of `n` independent chances, each evenly spread
/// from 0 to 1, is as small as `product` (Fisher's combination): far larger
/// than the product itself when there are many.
double ChanceOfProduct(double product, size_t n) {
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

void SuspectTracker::Join(const Death& death, base::Millis now) {
  Event* event = nullptr;
  for (Event& it : events_) {
    const base::Millis age = now - it.at;
    const bool is_same_target = it.targets.contains(death.target);
    // A victim that has started again since makes it a death of its own.
    const bool has_returned = std::any_of(
        death.victims.begin(), death.victims.end(), [&](const Victim& victim) {
          return it.victims.contains(victim.content) &&
                 (!is_same_target || victim.ran_for < age);
        });
    const base::Millis bound =
        is_same_target ? options_.same_death : options_.together;
    if (age <= bound && !has_returned) {
      event = &it;
    }
  }
  if (event == nullptr) {
    event = &events_.emplace_back();
    event->at = now;
  }
  event->targets.insert(death.target);
  for (const Victim& it : death.victims) {
    const auto [known, is_new] = event->victims.emplace(it.content, it.ran_for);
    if (!is_new) {
      known->second = std::min(known->second, it.ran_for);
    }
  }
}

SuspectTracker::Evidence SuspectTracker::EvidenceOf(
    ContentDigest content) const {
  Evidence evidence;
  std::vector<base::Millis> spans;
  for (const Event& it : events_) {
    const auto victim = it.victims.find(content);
    if (victim == it.victims.end()) {
      ++evidence.events_without;
      ++evidence.events_without_since;
      continue;
    }
    // Several targets died at once: a request is not the cause.
    if (it.targets.size() > 1) {
      continue;
    }
    ++evidence.deaths;
    evidence.batch = std::max(evidence.batch, it.victims.size());
    evidence.events_without_since = 0;
    evidence.last_interval = it.at - evidence.last_death;
    evidence.last_death = it.at;
    evidence.is_last_soon = victim->second <= options_.soon;
    evidence.soon_deaths += evidence.is_last_soon ? 1 : 0;
    if (evidence.deaths > 1) {
      spans.push_back(victim->second);
    }
  }
  // Deaths that have nothing to do with the request, for each target and
  // millisecond.
  const double rate =
      (evidence.events_without + 0.5) /
      (static_cast<double>(target_count_) *
       static_cast<double>(ObservedAt(evidence.last_death).count));
  for (const base::Millis it : spans) {
    const double chance =
        rate * static_cast<double>(std::max<int64_t>(it.count, 1));
    evidence.coincidence *= std::min(chance, 1.0);
  }
  if (!spans.empty()) {
    evidence.coincidence = ChanceOfProduct(evidence.coincidence, spans.size());
  }
  // Each member of the batch had the chance to look guilty.
  evidence.coincidence *= static_cast<double>(evidence.batch);
  return evidence;
}

base::Millis SuspectTracker::ObservedAt(base::Millis now) const {
  const base::Millis span = now - observed_since_;
  return std::clamp(span, base::Millis{1}, options_.memory);
}

const SuspectTracker::Event* SuspectTracker::LastEventOf(
    ContentDigest content) const {
  const Event* last = nullptr;
  for (const Event& it : events_) {
    if (it.targets.size() == 1 && it.victims.contains(content)) {
      last = &it;
    }
  }
  return last;
}

bool SuspectTracker::IsSoleCulprit(ContentDigest content) const {
  const Event* last = LastEventOf(content);
  if (last == nullptr) {
    return false;
  }
  const int deaths = EvidenceOf(content).deaths;
  return std::all_of(
      last->victims.begin(), last->victims.end(), [&](const auto& it) {
        return it.first == content || EvidenceOf(it.first).deaths < deaths;
      });
}

bool SuspectTracker::IsProved(const Evidence& evidence,
                              base::Millis now) const {
  const bool is_apart = evidence.last_interval > options_.together;
  if (evidence.deaths < kLeastDeaths || !is_apart) {
    return false;
  }
  // It crashed its targets soon after each start, the first one included.
  const bool is_unsteady = evidence.events_without >= options_.unsteady_deaths;
  const int soon_needed = kLeastDeaths + (is_unsteady ? 1 : 0);
  const bool is_quick = evidence.soon_deaths == evidence.deaths;
  if (is_quick && evidence.deaths >= soon_needed) {
    return true;
  }
  const bool is_long_watched = ObservedAt(now) >= options_.memory;
  if (evidence.deaths > kLeastDeaths) {
    return evidence.coincidence < (is_long_watched
                                       ? options_.coincidence
                                       : options_.early_coincidence);
  }
  const bool is_quiet = evidence.events_without == 0 && is_long_watched;
  return is_quiet && evidence.is_last_soon &&
         evidence.coincidence < options_.quiet_coincidence;
}

void SuspectTracker::OnDeath(const Death& death, base::Millis now) {
  Join(death, now);
  for (const Victim& it : death.victims) {
    const Evidence evidence = EvidenceOf(it.content);
    if (IsProved(evidence, now) && IsSoleCulprit(it.content)) {
      held_until_.insert_or_assign(it.content, now + options_.hold);
    } else if (it.ran_for <= options_.soon) {
      held_until_.emplace(it.content, now + options_.pause);
    }
  }
}

void SuspectTracker::Sentence(ContentDigest content, base::Millis until) {
  base::Millis& stored = condemned_until_[content];
  if (stored >= until) {
    return;
  }
  stored = until;
  const Evidence evidence = EvidenceOf(content);
  base::Log(base::LogLevel::kWarning, "request_condemned",
            {{"content", base::ToHex(content.value)},
             {"deaths", evidence.deaths},
             {"soon_deaths", evidence.soon_deaths},
             {"deaths_without", evidence.events_without},
             {"batch", evidence.batch},
             {"coincidence", evidence.coincidence}});
}

void SuspectTracker::Condemn(ContentDigest content,
                             base::Millis remaining,
                             base::Millis now) {
  if (condemned_until_.contains(content)) {
    return;
  }
  held_until_.erase(content);
  Sentence(content, now + std::min(remaining, options_.sentence));
}

void SuspectTracker::Advance(base::Millis now) {
  if (observed_since_.count < 0) {
    observed_since_ = now;
  }
  for (auto it = held_until_.begin(); it != held_until_.end();) {
    const auto [content, until] = *it;
    if (now < until) {
      ++it;
      continue;
    }
    it = held_until_.erase(it);
    const Evidence evidence = EvidenceOf(content);
    const bool is_proved = IsProved(evidence, now);
    // Deaths elsewhere meanwhile point at the targets, not at the request.
    const bool is_alone =
        IsSoleCulprit(content) && evidence.events_without_since == 0;
    if (is_proved && is_alone) {
      metrics_->Check(
          base::Invariant::kSoleSuspectCondemned,
          IsSoleCulprit(content) && evidence.deaths >= kLeastDeaths);
      Sentence(content, now + options_.sentence);
    }
  }
  std::erase_if(condemned_until_,
                [now](const auto& it) { return it.second <= now; });
  std::erase_if(events_,
                [&](const Event& it) { return now - it.at > options_.memory; });
}

Advice SuspectTracker::AdviceFor(ContentDigest content,
                                 base::Millis now) const {
  const auto sentence = condemned_until_.find(content);
  if (sentence != condemned_until_.end() && now < sentence->second) {
    return Advice::kRefuse;
  }
  if (held_until_.contains(content)) {
    return Advice::kHold;
  }
  return LastEventOf(content) != nullptr ? Advice::kSpread : Advice::kFree;
}

void SuspectTracker::OnPlaced(ContentDigest content,
                              const std::string& target) {
  if (LastEventOf(content) != nullptr) {
    placed_[target].insert(content);
  }
}

void SuspectTracker::OnLeft(ContentDigest content, const std::string& target) {
  const auto it = placed_.find(target);
  if (it == placed_.end()) {
    return;
  }
  const auto place = it->second.find(content);
  if (place != it->second.end()) {
    it->second.erase(place);
  }
  if (it->second.empty()) {
    placed_.erase(it);
  }
}

size_t SuspectTracker::Crowding(ContentDigest content,
                                const std::string& target) const {
  const auto it = placed_.find(target);
  if (it == placed_.end()) {
    return 0;
  }
  const int deaths = EvidenceOf(content).deaths;
  size_t rivals = 0;
  for (const ContentDigest other : it->second) {
    rivals += EvidenceOf(other).deaths >= deaths ? 1 : 0;
  }
  return rivals * kSuspectsOnTargetBound + it->second.size();
}

std::vector<SuspectTracker::Condemned> SuspectTracker::AllCondemned(
    base::Millis now) const {
  std::vector<Condemned> all;
  for (const auto& [content, until] : condemned_until_) {
    if (now < until) {
      all.push_back({content, until});
    }
  }
  return all;
}

}  // namespace daisypond::suspects

#ifndef DAISYPOND_SUSPECTS_SUSPECT_TRACKER_H_
#define DAISYPOND_SUSPECTS_SUSPECT_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/name_table.h"

namespace daisypond::suspects {

/// Hash of a request's content. Requests with the same content have the same
/// digest, regardless of caller and idempotency key.
struct ContentDigest {
  uint64_t value = 0;
  auto operator<=>(const ContentDigest&) const = default;
};

/// A request that was running on a target when the target died.
struct AffectedRequest {
  ContentDigest content_digest;
  /// Time between the request's start or resume on that target and the death.
  base::Millis ran_for;
};

/// The death of a target as reported by one instance.
struct TargetDeath {
  std::string target;
  std::vector<AffectedRequest> affected_requests;
};

/// Whether a request may start now, and on which targets.
enum class PlacementAdvice : uint8_t {
  /// The request was not affected by any recorded death.
  kAnyTarget,
  /// The request was running on a target that died: place it on a target that
  /// runs few other suspects.
  kAvoidSuspects,
  /// Do not start the request yet: wait to see whether other targets die too.
  kDelay,
  /// The request is condemned, because it crashes every target that runs it.
  kRefuse,
};

struct SuspectOptions {
  /// A death within this time after a request's start counts as early. Early
  /// deaths are stronger evidence against the request.
  base::Millis early_death_window{1000};
  /// How long a request with sufficient evidence against it is held before it
  /// is condemned, so that reports of other target deaths can arrive.
  base::Millis hold_duration{1200};
  /// Deaths of several targets within this time may have a common cause other
  /// than a request, such as a rack failure. They do not count as evidence
  /// against any request.
  base::Millis correlated_death_window{250};
  /// How long a request is held after an early death, so that a death after its
  /// next start falls outside correlated_death_window.
  base::Millis retry_delay{300};
  /// Reports of the same target's death that arrive within this time after the
  /// first report are treated as reports of one death.
  base::Millis duplicate_report_window{2000};
  /// How long a death counts as evidence.
  base::Millis history_duration{600'000};
  /// How long a condemned request is refused.
  base::Millis refusal_duration{600'000};
  /// If at least this many recorded death events did not affect the request,
  /// the targets count as unstable: condemning the request then takes one more
  /// early death.
  int unrelated_death_threshold = 3;
  /// Two deaths can condemn a request if the probability that they are a
  /// coincidence is below this value. This requires that no unrelated death has
  /// occurred during a full history_duration.
  double two_death_max_coincidence_probability = 5e-4;
  /// Three or more deaths condemn a request if the probability that they are a
  /// coincidence is below this value.
  double max_coincidence_probability = 1e-6;
  /// Replaces max_coincidence_probability while the targets have been observed
  /// for less than history_duration.
  double short_history_max_coincidence_probability = 1e-8;
};

/// Finds a request that crashes every target that runs it, by comparing the
/// batches of requests that were running on targets when they died. A request
/// in such a batch is a suspect. When the evidence against one suspect is
/// sufficient, that request is condemned: it is refused for refusal_duration.
/// Reads no clock: the time is passed as an argument.
class SuspectTracker {
 public:
  SuspectTracker(SuspectOptions options, base::Metrics* metrics)
      : options_(options), metrics_(metrics) {}

  /// Sets the number of targets in the deployment. The more targets there are,
  /// the less likely it is that a request was on several dying targets by
  /// coincidence.
  void SetTargetCount(size_t n) { target_count_ = n; }

  /// Records a target's death. Reports of one death by several instances are
  /// merged into one event.
  void OnDeath(const TargetDeath& death, base::Millis now);

  /// Condemns a request that a peer has condemned. `remaining` is the time for
  /// which the peer will still refuse it.
  void OnCondemnedByPeer(ContentDigest content_digest,
                         base::Millis remaining,
                         base::Millis now);

  /// Condemns or releases the requests whose hold has ended, and drops expired
  /// condemnations and deaths. Must be called periodically; the first call
  /// starts the observation of the targets.
  void ResolveHeldRequests(base::Millis now);

  PlacementAdvice AdviceFor(ContentDigest content_digest,
                            base::Millis now) const;

  /// Records that a request has started on `target`. Only suspects are stored,
  /// for SuspectOverlap().
  void OnRequestStarted(ContentDigest content_digest,
                        const std::string& target);
  void OnRequestEnded(ContentDigest content_digest, const std::string& target);

  /// Returns a score for placing a suspect on `target`; lower is better. If the
  /// target dies, each other suspect on it makes the cause harder to tell.
  /// Suspects with at least as many deaths as `content_digest` dominate the
  /// score; the number of all suspects on the target breaks ties.
  size_t SuspectOverlap(ContentDigest content_digest,
                        const std::string& target) const;

  /// A request that is refused until a given time, because it crashes targets.
  struct CondemnedRequest {
    ContentDigest content_digest;
    base::Millis refused_until;
  };
  std::vector<CondemnedRequest> AllCondemned(base::Millis now) const;

 private:
  /// The death of one target, or of several targets at about the same time.
  struct DeathEvent {
    /// When the first report of the death was recorded.
    base::Millis recorded_at;
    std::set<std::string> targets;
    /// The time for which each affected request had been running.
    std::map<ContentDigest, base::Millis> affected_requests;
  };

  /// Evidence for and against one request, from the recorded death events.
  struct Evidence {
    /// Death events of a single target that affected the request.
    int deaths = 0;
    /// The number of `deaths` that came within early_death_window after the
    /// request's start.
    int early_deaths = 0;
    bool is_last_death_early = false;
    /// Size of the largest batch of requests that were running on one of the
    /// targets when it died, including this request.
    size_t largest_batch = 1;
    /// Probability that these deaths would affect a harmless request by
    /// coincidence.
    double coincidence_probability = 1;
    base::Millis last_death_at;
    /// Time between the last two deaths that affected the request.
    base::Millis last_interval;
    /// Death events that did not affect the request.
    int unrelated_events = 0;
    /// The number of `unrelated_events` after the last death that affected the
    /// request.
    int unrelated_events_since_last_death = 0;
  };

  void MergeIntoEvent(const TargetDeath& death, base::Millis now);
  Evidence CollectEvidence(ContentDigest content_digest) const;
  base::Millis ObservedDuration(base::Millis now) const;
  bool IsSoleSuspect(ContentDigest content_digest) const;
  bool IsEvidenceSufficient(const Evidence& evidence, base::Millis now) const;
  const DeathEvent* LastSingleTargetEvent(ContentDigest content_digest) const;
  void RecordCondemned(ContentDigest content_digest, base::Millis until);

  SuspectOptions options_;
  base::Metrics* metrics_;
  // Time of the first call of ResolveHeldRequests(); negative before that call.
  base::Millis observed_since_{-1};
  std::vector<DeathEvent> events_;
  size_t target_count_ = 1;
  // Requests that may not start before the given time. ResolveHeldRequests()
  // then condemns or releases them.
  std::map<ContentDigest, base::Millis> held_until_;
  // Condemned requests: they crash targets and are refused until the given
  // time.
  std::map<ContentDigest, base::Millis> condemned_until_;
  std::map<std::string, std::multiset<ContentDigest>> suspects_by_target_;
};

}  // namespace daisypond::suspects

#endif  // DAISYPOND_SUSPECTS_SUSPECT_TRACKER_H_

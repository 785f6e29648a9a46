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

/// Identifies what a request asks for, whoever sends it and under which key.
struct ContentDigest {
  uint64_t value = 0;
  auto operator<=>(const ContentDigest&) const = default;
};

/// A request that ran on a target when the target died.
struct AffectedRequest {
  ContentDigest content;
  /// Time since it was admitted or resumed there.
  base::Millis ran_for;
};

/// A target's death as one instance saw it.
struct TargetDeath {
  std::string target;
  std::vector<AffectedRequest> affected_requests;
};

enum class PlacementAdvice : uint8_t {
  kAnyTarget,
  /// Was on a target that died: put it where the fewest other suspects are.
  kAvoidSuspects,
  /// Wait until it is known whether other targets die as well.
  kDelay,
  /// Refuse: it crashes each target that runs it.
  kRefuse,
};

struct SuspectOptions {
  /// A crash this soon after the start speaks against the request.
  base::Millis early_death_window{1000};
  /// How long a likely culprit waits for news of other deaths.
  base::Millis hold_duration{1200};
  /// Deaths this close together may have one cause outside of the requests,
  /// such as a rack: they condemn nobody.
  base::Millis correlated_death_window{250};
  /// How long a request waits that died soon after its start, so that its
  /// next start falls outside of such an event.
  base::Millis retry_delay{300};
  /// Reports of one target within this span are of one death.
  base::Millis duplicate_report_window{2000};
  /// How long a death is remembered.
  base::Millis history_duration{600'000};
  /// How long a condemned request is refused.
  base::Millis refusal_duration{600'000};
  /// Deaths in memory without the suspect from which on the targets count as
  /// unsteady: one more death is then needed to condemn.
  int unrelated_death_threshold = 3;
  /// The chance of coincidence below which two deaths condemn, if no other
  /// target has died for as long as the memory reaches.
  double two_death_max_coincidence = 5e-4;
  /// The chance of coincidence below which three and more deaths condemn.
  double max_coincidence = 1e-6;
  /// The same while the targets have not been watched for long.
  double short_history_max_coincidence = 1e-8;
};

/// Finds the request that crashes each target that runs it, by intersecting
/// the batches of successive deaths. Pure: time comes in as an argument.
class SuspectTracker {
 public:
  SuspectTracker(SuspectOptions options, base::Metrics* metrics)
      : options_(options), metrics_(metrics) {}

  /// The number of targets that could die; makes coincidences rarer.
  void SetTargetCount(size_t n) { target_count_ = n; }

  /// Takes in a death; reports of one death by several instances are joined.
  void OnDeath(const TargetDeath& death, base::Millis now);

  /// Takes in a peer's finding.
  void OnCondemnedByPeer(ContentDigest content,
                         base::Millis remaining,
                         base::Millis now);

  /// Settles held suspects and forgets what is old.
  void ResolveHeldRequests(base::Millis now);

  PlacementAdvice AdviceFor(ContentDigest content, base::Millis now) const;

  /// Notes where a suspect runs, so that others are put elsewhere.
  void OnRequestStarted(ContentDigest content, const std::string& target);
  void OnRequestEnded(ContentDigest content, const std::string& target);

  /// How much a suspect would be hidden by others on a target: first by those
  /// that at least as many deaths speak against, then by all.
  size_t SuspectOverlap(ContentDigest content, const std::string& target) const;

  struct CondemnedRequest {
    ContentDigest content;
    base::Millis until;
  };
  std::vector<CondemnedRequest> AllCondemned(base::Millis now) const;

 private:
  struct DeathEvent {
    base::Millis at;
    std::set<std::string> targets;
    std::map<ContentDigest, base::Millis> affected_requests;
  };

  /// What the remembered events say of one request.
  struct Evidence {
    int deaths = 0;
    /// Deaths that came soon after a start.
    int early_deaths = 0;
    bool is_last_death_early = false;
    /// The size of the largest batch that it died in.
    size_t largest_batch = 1;
    /// The chance that a request that harms no target met these deaths.
    double coincidence_probability = 1;
    base::Millis last_death_at;
    /// Between the last two deaths.
    base::Millis last_interval;
    int unrelated_events = 0;
    int unrelated_events_since_last_death = 0;
  };

  void MergeIntoEvent(const TargetDeath& death, base::Millis now);
  Evidence CollectEvidence(ContentDigest content) const;
  base::Millis ObservedDuration(base::Millis now) const;
  bool IsSoleSuspect(ContentDigest content) const;
  bool IsEvidenceSufficient(const Evidence& evidence, base::Millis now) const;
  const DeathEvent* LastSingleTargetEvent(ContentDigest content) const;
  void RecordCondemned(ContentDigest content, base::Millis until);

  SuspectOptions options_;
  base::Metrics* metrics_;
  base::Millis observed_since_{-1};
  std::vector<DeathEvent> events_;
  size_t target_count_ = 1;
  std::map<ContentDigest, base::Millis> held_until_;
  std::map<ContentDigest, base::Millis> condemned_until_;
  std::map<std::string, std::multiset<ContentDigest>> suspects_by_target_;
};

}  // namespace daisypond::suspects

#endif  // DAISYPOND_SUSPECTS_SUSPECT_TRACKER_H_

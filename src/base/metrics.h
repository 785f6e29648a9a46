#ifndef DAISYPOND_BASE_METRICS_H_
#define DAISYPOND_BASE_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/histogram.h"
#include "base/name_table.h"
#include "base/verdict.h"

namespace daisypond::base {

/// Counters without a label.
enum class Counter : uint8_t {
  kRequests,
  kGenerations,
  kTokensRelayed,
  kTokensDropped,
  kTokensUncopied,
  kResumes,
  kTakeovers,
  kPrefillTokensRepeated,
  kUpstreamAttempts,
  kCallsDispatched,
  kClaimTransactions,
  kClaims,
  kCopiesStored,
  kCopiesRefused,
  kPeerMessages,
  kPeerBytes,
  kConfigurationChanges,
  kStreamsCut,
  kForwarded,
  kSends,
  kEventsRelayed,
  kConnectionsOpened,
  kCallersGone,
  kStreamsResumed,
  kStreamsResumedFromCopy,
  kAnswersForeign,
  kStoreCalls,
  kProbes,
  kCopiesOnDemand,
  kTargetsUnreadable,
  kConfigurationsUnreadable,
};

inline constexpr NameTable<Counter, 31> kCounterNames(
    "requests_total",
    "generations_total",
    "tokens_relayed_total",
    "tokens_dropped_total",
    "tokens_uncopied_total",
    "resumes_total",
    "takeovers_total",
    "prefill_tokens_repeated_total",
    "upstream_attempts_total",
    "calls_dispatched_total",
    "claim_transactions_total",
    "claims_total",
    "copies_stored_total",
    "copies_refused_total",
    "peer_messages_total",
    "peer_bytes_total",
    "configuration_changes_total",
    "streams_cut_total",
    "forwarded_requests_total",
    "sends_total",
    "events_relayed_total",
    "connections_opened_total",
    "callers_gone_total",
    "streams_resumed_total",
    "streams_resumed_from_copy_total",
    "answers_foreign_total",
    "store_calls_total",
    "probes_total",
    "copies_on_demand_total",
    "targets_unreadable_total",
    "configurations_unreadable_total");

/// Latency histograms, in milliseconds.
enum class Timer : uint8_t {
  kFirstToken,
  kInterToken,
  kResume,
  kCopyAcknowledged,
  kClaim,
  kCall,
  kFirstEvent,
  kEventGap,
  kForward,
};

inline constexpr NameTable<Timer, 9> kTimerNames("first_token_ms",
                                                 "inter_token_ms",
                                                 "resume_ms",
                                                 "copy_acknowledged_ms",
                                                 "claim_ms",
                                                 "call_ms",
                                                 "first_event_ms",
                                                 "event_gap_ms",
                                                 "forward_ms");

/// Properties that hold in every run; each check is counted.
enum class Invariant : uint8_t {
  kTokenIndexContiguous,
  kDigestContinues,
  kOneAttemptAppends,
  kCopiedBeforeSent,
  kAnswerMatchesRequest,
  kNotRunNeverDispatched,
  kClaimHeldAtDispatch,
  kDispatchedOnce,
  kLeavingTargetGetsNoWork,
  kPlannedStopCutsNothing,
  kConfigurationNeverReverts,
  kSoleSuspectCondemned,
  kFencingNumberGrows,
  kSentOnceUnlessRepeatable,
  kEventsContiguous,
  kSuccessIsSealed,
};

inline constexpr NameTable<Invariant, 16> kInvariantNames(
    "token_index_contiguous",
    "digest_continues",
    "one_attempt_appends",
    "copied_before_sent",
    "answer_matches_request",
    "not_run_never_dispatched",
    "claim_held_at_dispatch",
    "dispatched_once",
    "leaving_target_gets_no_work",
    "planned_stop_cuts_nothing",
    "configuration_never_reverts",
    "sole_suspect_condemned",
    "fencing_number_grows",
    "sent_once_unless_repeatable",
    "events_contiguous",
    "success_is_sealed");

/// Counters and histograms of one process. All members are thread-safe.
class Metrics {
 public:
  void Add(Counter counter, int64_t n = 1);
  void AddRefusal(Reason reason);
  void AddRetry(Reason reason);
  void Observe(Timer timer, Millis duration);

  /// Counts a check of an invariant and logs a violation. Returns `holds`, so
  /// that the caller can end the request in the same step.
  bool CheckInvariant(Invariant invariant, bool holds);

  int64_t Value(Counter counter) const;
  int64_t Refusals(Reason reason) const;
  int64_t Retries(Reason reason) const;
  int64_t InvariantChecks(Invariant invariant) const;
  int64_t InvariantViolations(Invariant invariant) const;

  /// The Prometheus text exposition format, version 0.0.4.
  std::string ToPrometheusText() const;

 private:
  using AtomicCount = std::atomic<int64_t>;

  std::array<AtomicCount, kCounterNames.Size()> counters_{};
  std::array<AtomicCount, kReasonNames.Size()> refusals_{};
  std::array<AtomicCount, kReasonNames.Size()> retries_{};
  std::array<AtomicCount, kInvariantNames.Size()> invariant_checks_{};
  std::array<AtomicCount, kInvariantNames.Size()> invariant_violations_{};
  std::array<Histogram, kTimerNames.Size()> timers_;
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_METRICS_H_

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

/// Counters without labels. Names and units are in kCounterNames.
enum class Counter : uint8_t {
  kRequests,
  kGenerations,
  /// Tokens sent to callers.
  kTokensRelayed,
  /// Tokens that were ignored because they came from an attempt that has ended
  /// or from another request, or had an unexpected index.
  kTokensDropped,
  /// Tokens sent to callers before peers had acknowledged a copy.
  kTokensUncopied,
  /// Attempts that continued a generation after its target was lost.
  kResumes,
  /// Generations that this instance continued from a stored copy after their
  /// caller sent the request again.
  kTakeovers,
  /// Generated tokens that a target had to process again for a resume.
  kPrefillTokensRepeated,
  /// Attempts to start or resume a generation at a target.
  kUpstreamAttempts,
  /// Calls that were sent to a service.
  kCallsDispatched,
  /// Store transactions that write claims of idempotency keys; one transaction
  /// can write several claims.
  kClaimTransactions,
  /// Attempts to claim an idempotency key.
  kClaims,
  /// Generations of which this instance began to store a copy.
  kCopiesStored,
  /// Copies that were rejected because the stored copy takes precedence.
  kCopiesRefused,
  kPeerMessages,
  kPeerBytes,
  kConfigurationChanges,
  /// Streams to callers that were closed before their end.
  kStreamsCut,
  /// Requests from callers that the gateway began to handle.
  kForwarded,
  /// Requests sent to targets; each retry is counted as well.
  kSends,
  kEventsRelayed,
  kConnectionsOpened,
  /// Requests whose caller disconnected before the end of the answer.
  kCallersGone,
  kStreamsResumed,
  kStreamsResumedFromCopy,
  /// Answers that arrived on a reused connection but belong to an earlier
  /// request.
  kAnswersForeign,
  kStoreCalls,
  /// Requests that ask a target whether it is alive or how loaded it is.
  kProbes,
  /// Copies of a running generation that were requested from an engine.
  kCopiesOnDemand,
  /// Target entries of the catalog that could not be decoded.
  kTargetsUnreadable,
  /// Configurations that could not be decoded.
  kConfigurationsUnreadable,
  /// Connections to targets that were opened through a peer.
  kTunnelsOpened,
  /// Records of streams written to the table service.
  kStreamRecordsStored,
  /// Rows of this system's own tables that could not be decoded.
  kRecordsUnreadable,
  /// Requests that were refused because the memory held for callers is used up.
  kRefusedForRoom,
  /// Callers that were closed because they made too little progress.
  kClosedForSlowness,
  /// Idle connections of callers that were closed to make room for others.
  kCallerConnectionsClosed,
  /// New connections of callers that were closed at once for lack of room.
  kCallerConnectionsRefused,
  /// Connections to targets that were not opened for lack of room.
  kTargetConnectionsRefused,
};

inline constexpr NameTable<Counter, 39> kCounterNames(
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
    "configurations_unreadable_total",
    "tunnels_opened_total",
    "stream_records_stored_total",
    "records_unreadable_total",
    "refused_for_room_total",
    "closed_for_slowness_total",
    "caller_connections_closed_total",
    "caller_connections_refused_total",
    "target_connections_refused_total");

/// Present values. Names and units are in kGaugeNames.
enum class Gauge : uint8_t {
  /// Memory held for callers.
  kCallerHeaderBytes,
  kCallerBodyBytes,
  kCallerAnswerBytes,
  /// Requests that wait for room in the memory held for callers.
  kWaitingForRoom,
  /// Connections that are open.
  kCallerConnections,
  kTargetConnections,
};

inline constexpr NameTable<Gauge, 6> kGaugeNames("caller_header_bytes",
                                                 "caller_body_bytes",
                                                 "caller_answer_bytes",
                                                 "waiting_for_room",
                                                 "caller_connections",
                                                 "target_connections");

/// Latency histograms, in milliseconds.
enum class Timer : uint8_t {
  kFirstToken,
  /// Time between two tokens of a generation.
  kInterToken,
  /// Time from the last token of a lost attempt to the first token of the
  /// attempt that replaced it.
  kResume,
  /// Time from sending a copy of new tokens to peers until it was acknowledged.
  kCopyAcknowledged,
  /// Time to claim an idempotency key.
  kClaim,
  kCall,
  kFirstEvent,
  /// Time between two writes of stream events to a caller.
  kEventGap,
  /// Time from the arrival of a request to the end of its answer.
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

/// Properties that must always hold. They are checked at run time, and checks
/// and violations are counted.
enum class Invariant : uint8_t {
  /// Tokens are sent to the caller without gaps or repetitions.
  kTokenIndexContiguous,
  /// After a token is appended, the digest of the generation is its previous
  /// digest extended by this token.
  kDigestContinues,
  /// Only one attempt appends tokens to a generation.
  kOneAttemptAppends,
  /// Tokens are copied to peers before they are sent, unless copying is off.
  kCopiedBeforeSent,
  /// Each accepted token carries the id of its request.
  kAnswerMatchesRequest,
  /// A call reported as `not_run` was never dispatched.
  kNotRunNeverDispatched,
  /// The key of a call is claimed when the call is dispatched.
  kClaimHeldAtDispatch,
  /// A claimed call is dispatched at most once.
  kDispatchedOnce,
  /// Only targets that are serving and not leaving get work.
  kLeavingTargetGetsNoWork,
  /// An instance that is stopped on purpose exits only after all its requests
  /// have ended.
  kPlannedStopCutsNothing,
  /// A configuration is never replaced by an older version.
  kConfigurationNeverReverts,
  /// A request is condemned (refused because it crashes targets) only when no
  /// other request can have caused the crashes.
  kSoleSuspectCondemned,
  /// Fencing numbers never decrease.
  kFencingNumberGrows,
  /// A request is not sent while an earlier send of it is in progress. If it
  /// must not run twice, it is not sent again once a target may have run it;
  /// otherwise only a limited number of targets may have run it.
  kSentOnceUnlessRepeatable,
  /// Stream events are written to the caller without gaps.
  kEventsContiguous,
  /// An answer is passed on as a success only if it is sealed (marked as
  /// complete by the target) and carries the id of its request.
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

/// The counters and latency histograms of one process. Thread-safe.
class Metrics {
 public:
  void Add(Counter counter, int64_t n = 1);
  void Set(Gauge gauge, int64_t value);
  void AddRefusal(Reason reason);
  void AddRetry(Reason reason);
  void Observe(Timer timer, Millis duration);

  /// Counts a check of an invariant; when `holds` is false, also counts and
  /// logs a violation. Returns `holds`, so that the caller can act on it.
  bool CheckInvariant(Invariant invariant, bool holds);

  int64_t Value(Counter counter) const;
  int64_t Value(Gauge gauge) const;
  int64_t Refusals(Reason reason) const;
  int64_t Retries(Reason reason) const;
  int64_t InvariantChecks(Invariant invariant) const;
  int64_t InvariantViolations(Invariant invariant) const;

  /// All metrics in the Prometheus text exposition format, version 0.0.4.
  std::string ToPrometheusText() const;

 private:
  using AtomicCount = std::atomic<int64_t>;

  std::array<AtomicCount, kCounterNames.Size()> counters_{};
  std::array<AtomicCount, kGaugeNames.Size()> gauges_{};
  std::array<AtomicCount, kReasonNames.Size()> refusals_{};
  std::array<AtomicCount, kReasonNames.Size()> retries_{};
  std::array<AtomicCount, kInvariantNames.Size()> invariant_checks_{};
  std::array<AtomicCount, kInvariantNames.Size()> invariant_violations_{};
  std::array<Histogram, kTimerNames.Size()> timers_;
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_METRICS_H_

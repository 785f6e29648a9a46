#ifndef DAISYPOND_BASE_VERDICT_H_
#define DAISYPOND_BASE_VERDICT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/name_table.h"

namespace daisypond::base {

/// Whether a target has run a request, as far as this instance knows.
enum class Execution : uint8_t { kNotRun, kMayHaveRun, kRan };

inline constexpr NameTable<Execution, 3> kExecutionNames("not_run",
                                                         "may_have_run",
                                                         "ran");

/// Why a request was refused, failed or was sent again.
enum class Reason : uint8_t {
  kNone,
  kBadRequest,
  kBodyTooLarge,
  kUnauthorized,
  kUnknownWorkspace,
  kUnknownModel,
  kUnknownService,
  kWorkspaceLimit,
  kQueueFull,
  kDeadlineExceeded,
  kNoTarget,
  kRetryBudgetSpent,
  kStoreUnavailable,
  /// The idempotency key belongs to a request with another body.
  kKeyReused,
  /// The idempotency key was abandoned: no attempt with it has run. The caller
  /// must use a new key or a higher attempt number.
  kKeyAbandoned,
  /// Another attempt with the same idempotency key may be running.
  kInProgress,
  kTargetUnreachable,
  /// The connection to the target was lost or its answer was invalid.
  kTargetBroken,
  /// The target did not answer in time.
  kTargetSilent,
  kTargetRestarted,
  /// The target answered that it has not run the request.
  kTargetRefused,
  /// No instance holds enough of the generation to continue it.
  kGenerationLost,
  /// A later attempt has taken over the generation.
  kSuperseded,
  /// The request crashes the targets that run it.
  kCondemned,
  kStopping,
  kNoConfiguration,
  kInvariantBroken,
  kInternal,
  kUnauthorizedOperator,
  /// The request may crash targets and is being checked.
  kSuspected,
  /// The caller closed the connection.
  kCallerGone,
  kUnknownRoute,
  kHeaderTooLarge,
  /// The connection to the target was lost after part of an answer had arrived.
  kAnswerTorn,
  /// The target answered with an error status.
  kErrorAnswer,
  /// Another target now has the address that the request was sent to.
  kTargetReplaced,
  /// All targets that could run the request limit their requests, and the
  /// limits are used up.
  kTargetLimit,
  /// No target has the software version that began the stream.
  kVersionGone,
  /// It is not known which software version began the stream.
  kStreamUnknown,
  /// The target sent bytes that did not complete an answer.
  kAnswerWithoutEnd,
  /// This instance has no memory or connection left for the request.
  kNoRoom,
  /// The caller did not send the rest of its request.
  kRequestStalled,
  /// The request's body has a transfer coding that is not read.
  kUnknownCoding,
  /// The target answered a stream without any event.
  kEmptyAnswer,
};

inline constexpr NameTable<Reason, 44> kReasonNames("none",
                                                    "bad_request",
                                                    "body_too_large",
                                                    "unauthorized",
                                                    "unknown_workspace",
                                                    "unknown_model",
                                                    "unknown_service",
                                                    "workspace_limit",
                                                    "queue_full",
                                                    "deadline_exceeded",
                                                    "no_target",
                                                    "retry_budget_spent",
                                                    "store_unavailable",
                                                    "key_reused",
                                                    "key_abandoned",
                                                    "in_progress",
                                                    "target_unreachable",
                                                    "target_broken",
                                                    "target_silent",
                                                    "target_restarted",
                                                    "target_refused",
                                                    "generation_lost",
                                                    "superseded",
                                                    "condemned",
                                                    "stopping",
                                                    "no_configuration",
                                                    "invariant_broken",
                                                    "internal",
                                                    "unauthorized_operator",
                                                    "suspected",
                                                    "caller_gone",
                                                    "unknown_route",
                                                    "header_too_large",
                                                    "answer_torn",
                                                    "error_answer",
                                                    "target_replaced",
                                                    "target_limit",
                                                    "version_gone",
                                                    "stream_unknown",
                                                    "answer_without_end",
                                                    "no_room",
                                                    "request_stalled",
                                                    "unknown_coding",
                                                    "empty_answer");

/// Which attempts with an idempotency key a verdict covers.
enum class VerdictScope : uint8_t {
  /// Only the current attempt; an earlier one may still be running.
  kThisAttempt,
  /// All attempts with the key so far.
  kAllAttempts,
};

/// The error that is returned to the caller for a request that failed or was
/// refused.
struct Verdict {
  Execution execution = Execution::kNotRun;
  Reason reason = Reason::kInternal;
  /// One sentence that explains the error to the caller.
  std::string detail;
  /// How long the caller should wait before a retry; zero means that a retry
  /// would not help.
  Millis retry_after;
  VerdictScope scope = VerdictScope::kThisAttempt;
};

template <typename T>
using Result = tl::expected<T, Verdict>;

/// Builds the error of a Result for a request that this attempt has not sent
/// to any target.
tl::unexpected<Verdict> NotRunError(Reason reason,
                                    std::string detail,
                                    Millis retry_after = {});

/// Builds the error of a Result for a request that no attempt with its key
/// can have run.
tl::unexpected<Verdict> NeverRunError(Reason reason, std::string detail);

/// Builds the error of a Result for a request that a target may or may not
/// have run.
tl::unexpected<Verdict> MayHaveRunError(Reason reason,
                                        std::string detail,
                                        Millis retry_after = {});

/// The HTTP status code of the response that carries `verdict`.
int HttpStatusOf(const Verdict& verdict);

/// The JSON body of the response that carries `verdict`:
/// {"error":{"verdict","reason","detail","retry_after_ms"}}.
std::string ToJson(const Verdict& verdict);

/// The number of a caller's attempt with an idempotency key, starting at 1.
/// Zero when the request does not contain the number.
struct AttemptNumber {
  int64_t value = 0;
  bool IsFirst() const { return value == 1; }
};

/// Converts a verdict on one attempt into a verdict that holds for all attempts
/// with the idempotency key. An earlier attempt may still be running at another
/// instance, so kNotRun becomes kMayHaveRun unless `attempt` is the first one
/// or the verdict already covers all attempts.
Verdict VerdictForAllAttempts(Verdict verdict, AttemptNumber attempt);

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_VERDICT_H_

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

/// Says whether a request may have had an effect on a target.
enum class Execution : uint8_t { kNotRun, kMayHaveRun, kRan };

inline constexpr NameTable<Execution, 3> kExecutionNames("not_run",
                                                         "may_have_run",
                                                         "ran");

/// Why a request was refused, given up on or tried again.
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
  kKeyReused,
  kKeyAbandoned,
  kInProgress,
  kTargetUnreachable,
  kTargetBroken,
  kTargetSilent,
  kTargetRestarted,
  kTargetRefused,
  kGenerationLost,
  kSuperseded,
  kCondemned,
  kStopping,
  kNoConfiguration,
  kInvariantBroken,
  kInternal,
  kUnauthorizedOperator,
  kSuspected,
  kCallerGone,
  kUnknownRoute,
  kHeaderTooLarge,
  kAnswerTorn,
  kErrorAnswer,
  kTargetReplaced,
};

inline constexpr NameTable<Reason, 36> kReasonNames("none",
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
                                                    "target_replaced");

/// What a verdict speaks of.
enum class VerdictScope : uint8_t {
  /// This try only: an earlier try of the key may still be running.
  kThisAttempt,
  /// Every try of the key so far.
  kAllAttempts,
};

/// The outcome of a request that has no ordinary answer.
struct Verdict {
  Execution execution = Execution::kNotRun;
  Reason reason = Reason::kInternal;
  /// One sentence for the caller.
  std::string detail;
  /// When to come back; zero means that coming back does not help.
  Millis retry_after;
  VerdictScope scope = VerdictScope::kThisAttempt;
};

template <typename T>
using Result = tl::expected<T, Verdict>;

/// Builds the error side of a Result for a request that has not been sent.
tl::unexpected<Verdict> NotRunError(Reason reason,
                                    std::string detail,
                                    Millis retry_after = {});

/// Builds the error side of a Result for a request of which no try can have
/// run.
tl::unexpected<Verdict> NeverRunError(Reason reason, std::string detail);

/// Builds the error side of a Result for a request whose effect is unknown.
tl::unexpected<Verdict> MayHaveRunError(Reason reason,
                                        std::string detail,
                                        Millis retry_after = {});

/// The HTTP status code that a verdict is sent with.
int HttpStatusOf(const Verdict& verdict);

/// The JSON object that a verdict is sent as:
/// {"error":{"verdict","reason","detail","retry_after_ms"}}.
std::string ToJson(const Verdict& verdict);

/// The number of a caller's try at one idempotency key. Zero: not stated.
struct AttemptNumber {
  int64_t value = 0;
  bool IsFirst() const { return value == 1; }
};

/// Limits a verdict to what is known about the key and not only about this
/// try: an earlier try may still be running at another instance, so `not_run`
/// stands only for a first try.
Verdict AdjustForAttempt(Verdict verdict, AttemptNumber attempt);

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_VERDICT_H_

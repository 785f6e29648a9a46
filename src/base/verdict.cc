#include "base/verdict.h"

#include <nlohmann/json.hpp>

namespace daisypond::base {

tl::unexpected<Verdict> NotRunError(Reason reason,
                                    std::string detail,
                                    Millis retry_after) {
  return tl::unexpected(Verdict{Execution::kNotRun, reason, std::move(detail),
                                retry_after, VerdictScope::kThisAttempt});
}

tl::unexpected<Verdict> NeverRunError(Reason reason, std::string detail) {
  return tl::unexpected(Verdict{Execution::kNotRun,
                                reason,
                                std::move(detail),
                                {},
                                VerdictScope::kAllAttempts});
}

tl::unexpected<Verdict> MayHaveRunError(Reason reason,
                                        std::string detail,
                                        Millis retry_after) {
  return tl::unexpected(Verdict{Execution::kMayHaveRun, reason,
                                std::move(detail), retry_after,
                                VerdictScope::kThisAttempt});
}

int HttpStatusOf(const Verdict& verdict) {
  switch (verdict.reason) {
    case Reason::kBadRequest:
      return 400;
    case Reason::kUnauthorized:
    case Reason::kUnauthorizedOperator:
      return 401;
    case Reason::kUnknownWorkspace:
    case Reason::kUnknownModel:
    case Reason::kUnknownService:
      return 404;
    case Reason::kRequestStalled:
      return 408;
    case Reason::kKeyReused:
    case Reason::kKeyAbandoned:
    case Reason::kInProgress:
    case Reason::kSuperseded:
      return 409;
    case Reason::kGenerationLost:
      return 410;
    case Reason::kBodyTooLarge:
      return 413;
    case Reason::kCondemned:
      return 422;
    case Reason::kWorkspaceLimit:
      return 429;
    case Reason::kInvariantBroken:
    case Reason::kInternal:
      return 500;
    case Reason::kUnknownCoding:
      return 501;
    case Reason::kTargetBroken:
    case Reason::kTargetRestarted:
    case Reason::kTargetRefused:
      return 502;
    case Reason::kDeadlineExceeded:
    case Reason::kTargetSilent:
      return 504;
    default:
      return 503;
  }
}

std::string ToJson(const Verdict& verdict) {
  const nlohmann::json error = {
      {"verdict", kExecutionNames.NameOf(verdict.execution)},
      {"reason", kReasonNames.NameOf(verdict.reason)},
      {"detail", verdict.detail},
      {"retry_after_ms", verdict.retry_after.count}};
  // The detail may contain bytes sent by the caller; invalid UTF-8 in it is
  // replaced.
  return nlohmann::json{{"error", error}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Verdict VerdictForAllAttempts(Verdict verdict, AttemptNumber attempt) {
  const bool is_certain =
      attempt.IsFirst() || verdict.scope == VerdictScope::kAllAttempts;
  if (verdict.execution != Execution::kNotRun || is_certain) {
    return verdict;
  }
  verdict.execution = Execution::kMayHaveRun;
  return verdict;
}

}  // namespace daisypond::base

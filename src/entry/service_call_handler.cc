#include "entry/service_call_handler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"
#include "entry/generation_response_writer.h"

namespace daisypond::entry {

namespace {

using base::Reason;
using calls::CallAnswer;
using calls::ClaimOutcome;
using store::StoreOutcome;

constexpr std::string_view kServicePathPrefix = "/v1/services/";
constexpr base::Millis kDefaultRetryAfter{1000};
constexpr base::Millis kInProgressRetryAfter{500};
constexpr base::Millis kTargetRetryPause{20};
constexpr size_t kMaximumRecordedAnswerBytes = 16 * 1024;

base::Result<ServiceCallRequest> ParseServiceCall(
    const http::ServerRequest& request,
    const intents::Configuration& configuration) {
  auto caller = Authenticate(request, configuration);
  if (!caller) {
    return tl::unexpected(caller.error());
  }
  const std::string path = request.path.substr(kServicePathPrefix.size());
  const size_t slash = path.find('/');
  ServiceCallRequest out;
  out.caller = std::move(*caller);
  out.service = path.substr(0, slash);
  out.call = slash == std::string::npos ? "" : path.substr(slash + 1);
  const auto service = configuration.services.find(out.service);
  if (service == configuration.services.end()) {
    return base::NotRunError(Reason::kUnknownService, "unknown service");
  }
  const auto call = service->second.calls.find(out.call);
  if (call == service->second.calls.end()) {
    return base::NotRunError(Reason::kUnknownService, "unknown call");
  }
  out.settings = call->second;
  out.body = request.body;
  out.body_digest = base::Hash(out.body, base::Hash(path));
  if (!out.settings.is_idempotent && out.caller.is_request_id_generated) {
    return base::NeverRunError(Reason::kBadRequest,
                               "a call that must not be repeated needs an "
                               "Idempotency-Key");
  }
  return out;
}

bool WasRequestSent(const http::ClientResponse& response) {
  return response.transfer_result != http::TransferResult::kNotConnected;
}

}  // namespace

http::ClientResponse ServiceCallHandler::SendToTarget(
    const ServiceCallRequest& request,
    const routing::Placement& placement,
    base::Millis timeout) {
  http::ClientRequest call;
  call.address = placement.address;
  call.path = "/calls/" + request.call;
  call.headers.push_back({"Content-Type", "application/json"});
  call.headers.push_back({"Idempotency-Key", request.caller.GlobalKey()});
  call.body = request.body;
  call.connect_timeout = std::min(timeout, base::Millis{1000});
  call.total_timeout = timeout;
  call.connection_use = http::ConnectionUse::kNew;
  instance_->metrics.Add(base::Counter::kCallsDispatched);
  auto response = instance_->traffic_client.Fetch(std::move(call));
  if (response.transfer_result == http::TransferResult::kComplete) {
    instance_->targets.OnTargetSuccess(placement.target);
  } else {
    instance_->targets.OnTargetFailure(placement.target, base::Clock::Now());
  }
  return response;
}

base::Result<CallAnswer> ServiceCallHandler::RunIdempotentCall(
    const ServiceCallRequest& request) {
  const base::Millis deadline = base::Clock::Now() + request.settings.timeout;
  routing::RouteRequest criteria = instance_->TargetCriteriaFor(
      Instance::kServicePoolPrefix + request.service);
  instance_->retry_budget.OnFirstAttempt();
  Reason reason = Reason::kNoTarget;
  bool is_sent = false;
  while (base::Clock::Now() < deadline) {
    const auto placement = instance_->AcquirePlacement(criteria, {});
    if (!placement) {
      break;
    }
    // Each attempt gets only a part of the timeout, so that time for another
    // attempt is left if the target does not answer.
    constexpr int64_t kAttemptsPerTimeout = 3;
    const base::Millis timeout =
        std::min(request.settings.timeout / kAttemptsPerTimeout,
                 deadline - base::Clock::Now());
    const auto response = SendToTarget(request, *placement, timeout);
    instance_->targets.ReleaseSlot(placement->target);
    is_sent = is_sent || WasRequestSent(response);
    constexpr int kServerError = 500;
    if (response.transfer_result == http::TransferResult::kComplete &&
        response.status < kServerError) {
      return CallAnswer{response.status, response.body};
    }
    reason = response.transfer_result == http::TransferResult::kTimedOut
                 ? Reason::kTargetSilent
                 : Reason::kTargetBroken;
    criteria.excluded.insert(placement->target);
    if (!instance_->retry_budget.TakeRetry()) {
      reason = Reason::kRetryBudgetSpent;
      break;
    }
    instance_->metrics.AddRetry(reason);
  }
  const std::string detail = "no target answered the call";
  return is_sent ? base::MayHaveRunError(reason, detail, kDefaultRetryAfter)
                 : base::NotRunError(reason, detail, kDefaultRetryAfter);
}

base::Result<CallAnswer> ServiceCallHandler::AbandonClaim(
    const calls::Claim& claim,
    base::Verdict verdict) {
  const bool is_key_abandoned =
      instance_->claim_ledger.Abandon(claim) == StoreOutcome::kCommitted;
  if (is_key_abandoned) {
    // The claim row, now marked as abandoned, prevents this attempt and all
    // earlier attempts with the key from running.
    verdict.scope = base::VerdictScope::kAllAttempts;
  }
  return tl::unexpected(std::move(verdict));
}

base::Result<CallAnswer> ServiceCallHandler::DispatchClaimedCall(
    const ServiceCallRequest& request,
    calls::Claim* claim,
    base::Millis deadline) {
  routing::RouteRequest criteria = instance_->TargetCriteriaFor(
      Instance::kServicePoolPrefix + request.service);
  while (true) {
    // The deadline is checked again here: if the thread was paused after it
    // claimed the key, the call must not be sent late.
    const base::Millis remaining = deadline - base::Clock::Now();
    const auto placement = remaining.count > 0
                               ? instance_->AcquirePlacement(criteria, {})
                               : std::nullopt;
    if (!placement) {
      return AbandonClaim(
          *claim,
          {base::Execution::kNotRun,
           remaining.count > 0 ? Reason::kNoTarget : Reason::kDeadlineExceeded,
           "the call was not sent to any target", kDefaultRetryAfter,
           base::VerdictScope::kThisAttempt});
    }
    const bool is_first = instance_->metrics.CheckInvariant(
        base::Invariant::kDispatchedOnce, claim->MarkDispatched());
    if (!is_first) {
      instance_->targets.ReleaseSlot(placement->target);
      return base::MayHaveRunError(Reason::kInvariantBroken,
                                   "dispatched before");
    }
    const auto response = SendToTarget(request, *placement, remaining);
    instance_->targets.ReleaseSlot(placement->target);
    if (response.transfer_result == http::TransferResult::kComplete) {
      return CallAnswer{response.status, response.body};
    }
    if (WasRequestSent(response)) {
      const Reason reason =
          response.transfer_result == http::TransferResult::kTimedOut
              ? Reason::kTargetSilent
              : Reason::kTargetBroken;
      return base::MayHaveRunError(reason,
                                   "the target was lost before it answered");
    }
    claim->MarkNotSent();
    criteria.excluded.insert(placement->target);
    instance_->metrics.AddRetry(Reason::kTargetUnreachable);
    std::this_thread::sleep_for(kTargetRetryPause.ToChrono());
  }
}

base::Result<CallAnswer> ServiceCallHandler::RunCallAtMostOnce(
    const ServiceCallRequest& request) {
  const base::Millis started_at = base::Clock::Now();
  const base::Millis deadline = started_at + request.settings.timeout;
  calls::ClaimRequest claim_request;
  claim_request.table_key =
      calls::ClaimKey(request.caller.workspace, request.caller.request_id);
  claim_request.body_digest = request.body_digest;
  claim_request.attempt = request.caller.attempt;
  calls::ClaimResult result = instance_->claim_ledger.Acquire(claim_request);
  instance_->metrics.Observe(base::Timer::kClaim,
                             base::Clock::Now() - started_at);
  switch (result.outcome) {
    case ClaimOutcome::kGranted:
      break;
    case ClaimOutcome::kRecorded:
      return result.answer;
    case ClaimOutcome::kInProgress:
      return base::MayHaveRunError(Reason::kInProgress,
                                   "another try of this key may have run",
                                   kInProgressRetryAfter);
    case ClaimOutcome::kBodyMismatch:
      return base::NeverRunError(Reason::kKeyReused,
                                 "the key belongs to a call with another body");
    case ClaimOutcome::kAbandoned:
      return base::NeverRunError(
          Reason::kKeyAbandoned,
          "no try of this key has run; use a new key or a "
          "higher Daisypond-Attempt");
    case ClaimOutcome::kStoreUnavailable:
      return base::NotRunError(Reason::kStoreUnavailable,
                               "the call could not be claimed",
                               kDefaultRetryAfter);
  }
  instance_->metrics.CheckInvariant(base::Invariant::kClaimHeldAtDispatch,
                                    result.claim.RowVersion() > 0);
  auto answer = DispatchClaimedCall(request, &result.claim, deadline);
  if (answer && answer->body.size() <= kMaximumRecordedAnswerBytes) {
    const auto recorded =
        instance_->claim_ledger.RecordAnswer(result.claim, *answer);
    if (recorded != StoreOutcome::kCommitted) {
      // The answer is not stored, so later attempts with this key get the
      // verdict that the call may have run.
      base::Log(base::LogLevel::kWarning, "answer_not_recorded",
                {{"key", claim_request.table_key}});
    }
  }
  return answer;
}

base::Result<CallAnswer> ServiceCallHandler::AdmitAndRunCall(
    const ServiceCallRequest& request) {
  const std::string pool = Instance::kServicePoolPrefix + request.service;
  admission::AdmissionRequest admission;
  admission.workspace = request.caller.workspace;
  admission.priority = intents::Priority::kHigh;
  admission.start_by = base::Clock::Now() + request.settings.timeout;
  admission.pool = pool;
  const auto ticket = instance_->admission_gate.WaitForAdmission(
      admission, [] { return true; });
  if (!ticket) {
    return tl::unexpected(ticket.error());
  }
  auto answer = request.settings.is_idempotent ? RunIdempotentCall(request)
                                               : RunCallAtMostOnce(request);
  instance_->admission_gate.ReleaseTicket(*ticket);
  return answer;
}

void ServiceCallHandler::Handle(const http::ServerRequest& request,
                                http::ResponseStream* stream) {
  instance_->metrics.Add(base::Counter::kRequests);
  const base::Millis started_at = base::Clock::Now();
  const auto configuration = instance_->active_configuration.Current();
  const auto parsed = ParseServiceCall(request, *configuration);
  if (!parsed) {
    instance_->metrics.AddRefusal(parsed.error().reason);
    SendVerdict(base::VerdictForAllAttempts(parsed.error(),
                                            AttemptNumberFromHeaders(request)),
                stream);
    return;
  }
  const auto answer = AdmitAndRunCall(*parsed);
  instance_->metrics.Observe(base::Timer::kCall,
                             base::Clock::Now() - started_at);
  if (!answer) {
    instance_->metrics.AddRefusal(answer.error().reason);
    SendVerdict(
        base::VerdictForAllAttempts(answer.error(), parsed->caller.attempt),
        stream);
    return;
  }
  http::ServerResponse response;
  response.status = answer->status;
  response.body = answer->body;
  response.headers.push_back({"Daisypond-Verdict", "ran"});
  response.headers.push_back(
      {"Daisypond-Request-Id", parsed->caller.request_id});
  stream->Send(response);
}

}  // namespace daisypond::entry

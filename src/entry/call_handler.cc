#include "entry/call_handler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"
#include "entry/answer_writer.h"

namespace daisypond::entry {

namespace {

using base::Reason;
using calls::CallAnswer;
using calls::ClaimOutcome;
using store::StoreOutcome;

constexpr std::string_view kPathPrefix = "/v1/services/";
constexpr base::Millis kRetryAfter{1000};
constexpr base::Millis kInProgressRetryAfter{500};
constexpr base::Millis kTargetRetryPause{20};
constexpr size_t kLargestKeptAnswer = 16 * 1024;

base::Result<CallRequest> ParseCall(
    const http::ServerRequest& request,
    const intents::Configuration& configuration) {
  auto caller = Authenticate(request, configuration);
  if (!caller) {
    return tl::unexpected(caller.error());
  }
  const std::string path = request.path.substr(kPathPrefix.size());
  const size_t slash = path.find('/');
  CallRequest out;
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
  if (!out.settings.is_idempotent && out.caller.is_request_id_minted) {
    return base::NeverRunError(Reason::kBadRequest,
                               "a call that must not be repeated needs an "
                               "Idempotency-Key");
  }
  return out;
}

bool IsSent(const http::ClientResponse& response) {
  return response.transfer_result != http::TransferResult::kNotConnected;
}

}  // namespace

http::ClientResponse CallHandler::Send(const CallRequest& request,
                                       const routing::Placement& placement,
                                       base::Millis timeout) {
  http::ClientRequest call;
  call.address = placement.address;
  call.path = "/calls/" + request.call;
  call.headers.push_back({"Content-Type", "application/json"});
  call.headers.push_back({"Idempotency-Key", request.caller.Key()});
  call.body = request.body;
  call.connect_timeout = std::min(timeout, base::Millis{1000});
  call.total_timeout = timeout;
  call.connection_use = http::ConnectionUse::kNew;
  instance_->metrics.Add(base::Counter::kCallsDispatched);
  auto response = instance_->traffic_client.Fetch(std::move(call));
  if (response.transfer_result == http::TransferResult::kComplete) {
    instance_->targets.OnSuccess(placement.target);
  } else {
    instance_->targets.OnFailure(placement.target, base::Clock::Now());
  }
  return response;
}

base::Result<CallAnswer> CallHandler::RunIdempotent(
    const CallRequest& request) {
  const base::Millis deadline = base::Clock::Now() + request.settings.timeout;
  routing::RouteRequest route =
      instance_->RouteOf(Instance::kServicePoolPrefix + request.service);
  instance_->retry_budget.OnFirstAttempt();
  Reason reason = Reason::kNoTarget;
  bool is_sent = false;
  while (base::Clock::Now() < deadline) {
    const auto placement = instance_->Acquire(route, {});
    if (!placement) {
      break;
    }
    // A try gets a part of the time, so that a silent target leaves some.
    constexpr int64_t kTriesInTime = 3;
    const base::Millis timeout = std::min(
        request.settings.timeout / kTriesInTime, deadline - base::Clock::Now());
    const auto response = Send(request, *placement, timeout);
    instance_->targets.Release(placement->target);
    is_sent = is_sent || IsSent(response);
    constexpr int kServerError = 500;
    if (response.transfer_result == http::TransferResult::kComplete &&
        response.status < kServerError) {
      return CallAnswer{response.status, response.body};
    }
    reason = response.transfer_result == http::TransferResult::kTimedOut
                 ? Reason::kTargetSilent
                 : Reason::kTargetBroken;
    route.excluded.insert(placement->target);
    if (!instance_->retry_budget.TakeRetry()) {
      reason = Reason::kRetryBudgetSpent;
      break;
    }
    instance_->metrics.AddRetry(reason);
  }
  const std::string detail = "no target answered the call";
  return is_sent ? base::MayHaveRunError(reason, detail, kRetryAfter)
                 : base::NotRunError(reason, detail, kRetryAfter);
}

base::Result<CallAnswer> CallHandler::GiveUp(const calls::Claim& claim,
                                             base::Verdict verdict) {
  const bool is_dead =
      instance_->ledger.Abandon(claim) == StoreOutcome::kCommitted;
  if (is_dead) {
    // The row binds every try up to this one.
    verdict.scope = base::VerdictScope::kAllAttempts;
  }
  return tl::unexpected(std::move(verdict));
}

base::Result<CallAnswer> CallHandler::Dispatch(const CallRequest& request,
                                               calls::Claim* claim,
                                               base::Millis deadline) {
  routing::RouteRequest route =
      instance_->RouteOf(Instance::kServicePoolPrefix + request.service);
  while (true) {
    // A thread that was paused after its claim finds its time run out here.
    const base::Millis left = deadline - base::Clock::Now();
    const auto placement =
        left.count > 0 ? instance_->Acquire(route, {}) : std::nullopt;
    if (!placement) {
      return GiveUp(*claim, {base::Execution::kNotRun,
                             left.count > 0 ? Reason::kNoTarget
                                            : Reason::kDeadlineExceeded,
                             "the call was not sent to any target", kRetryAfter,
                             base::VerdictScope::kThisAttempt});
    }
    const bool is_first = instance_->metrics.CheckInvariant(
        base::Invariant::kDispatchedOnce, claim->MarkDispatched());
    if (!is_first) {
      instance_->targets.Release(placement->target);
      return base::MayHaveRunError(Reason::kInvariantBroken,
                                   "dispatched before");
    }
    const auto response = Send(request, *placement, left);
    instance_->targets.Release(placement->target);
    if (response.transfer_result == http::TransferResult::kComplete) {
      return CallAnswer{response.status, response.body};
    }
    if (IsSent(response)) {
      const Reason reason =
          response.transfer_result == http::TransferResult::kTimedOut
              ? Reason::kTargetSilent
              : Reason::kTargetBroken;
      return base::MayHaveRunError(reason,
                                   "the target was lost before it answered");
    }
    claim->MarkNotSent();
    route.excluded.insert(placement->target);
    instance_->metrics.AddRetry(Reason::kTargetUnreachable);
    std::this_thread::sleep_for(kTargetRetryPause.ToChrono());
  }
}

base::Result<CallAnswer> CallHandler::RunOnce(const CallRequest& request) {
  const base::Millis started_at = base::Clock::Now();
  const base::Millis deadline = started_at + request.settings.timeout;
  calls::ClaimRequest wanted;
  wanted.table_key =
      calls::ClaimKey(request.caller.workspace, request.caller.request_id);
  wanted.body_digest = request.body_digest;
  wanted.attempt = request.caller.attempt;
  calls::ClaimResult result = instance_->ledger.Acquire(wanted);
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
                               "the call could not be claimed", kRetryAfter);
  }
  instance_->metrics.CheckInvariant(base::Invariant::kClaimHeldAtDispatch,
                                    result.claim.RowVersion() > 0);
  auto answer = Dispatch(request, &result.claim, deadline);
  if (answer && answer->body.size() <= kLargestKeptAnswer) {
    const auto recorded = instance_->ledger.RecordAnswer(result.claim, *answer);
    if (recorded != StoreOutcome::kCommitted) {
      // A repeat of the key will be told that the call may have run.
      base::Log(base::LogLevel::kWarning, "answer_not_recorded",
                {{"key", wanted.table_key}});
    }
  }
  return answer;
}

base::Result<CallAnswer> CallHandler::Run(const CallRequest& request) {
  const std::string pool = Instance::kServicePoolPrefix + request.service;
  admission::AdmissionRequest admission;
  admission.workspace = request.caller.workspace;
  admission.priority = intents::Priority::kHigh;
  admission.start_by = base::Clock::Now() + request.settings.timeout;
  admission.pool = pool;
  const auto ticket =
      instance_->gate.WaitForAdmission(admission, [] { return true; });
  if (!ticket) {
    return tl::unexpected(ticket.error());
  }
  auto answer = request.settings.is_idempotent ? RunIdempotent(request)
                                               : RunOnce(request);
  instance_->gate.ReleaseTicket(*ticket);
  return answer;
}

void CallHandler::Handle(const http::ServerRequest& request,
                         http::ResponseStream* stream) {
  instance_->metrics.Add(base::Counter::kRequests);
  const base::Millis started_at = base::Clock::Now();
  const auto configuration = instance_->follower.Current();
  const auto parsed = ParseCall(request, *configuration);
  if (!parsed) {
    instance_->metrics.AddRefusal(parsed.error().reason);
    SendVerdict(base::AdjustForAttempt(parsed.error(), StatedAttempt(request)),
                stream);
    return;
  }
  const auto answer = Run(*parsed);
  instance_->metrics.Observe(base::Timer::kCall,
                             base::Clock::Now() - started_at);
  if (!answer) {
    instance_->metrics.AddRefusal(answer.error().reason);
    SendVerdict(base::AdjustForAttempt(answer.error(), parsed->caller.attempt),
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

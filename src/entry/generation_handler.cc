#include "entry/generation_handler.h"

#include <utility>
#include <variant>

#include "entry/relay_runner.h"
#include "entry/takeover.h"
#include "generation/resume_policy.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kSuspectedRetryAfter{2000};
constexpr base::Millis kPeersUnknownRetryAfter{200};
constexpr base::Millis kStoppingRetryAfter{500};

}  // namespace

void GenerationHandler::RefuseRequest(const base::Verdict& verdict,
                                      base::AttemptNumber attempt,
                                      http::ResponseStream* stream) {
  instance_->metrics.AddRefusal(verdict.reason);
  SendVerdict(base::VerdictForAllAttempts(verdict, attempt), stream);
}

base::Result<std::optional<generation::GenerationCopy>>
GenerationHandler::TakeOverEarlierGeneration(const GenerationRequest& request) {
  const bool is_first = request.caller.attempt.IsFirst();
  if (is_first && !request.last_position) {
    return std::optional<generation::GenerationCopy>();
  }
  if (!instance_->HasDiscoveredPeers()) {
    return base::MayHaveRunError(base::Reason::kNoConfiguration,
                                 "the instance does not know its peers yet",
                                 kPeersUnknownRetryAfter);
  }
  return TakeOverGeneration(request, instance_);
}

base::Result<admission::TicketId> GenerationHandler::AdmitRequest(
    const GenerationRequest& request,
    GenerationResponseWriter* writer) {
  const suspects::PlacementAdvice advice =
      instance_->suspects.AdviceFor(request.content_digest);
  if (advice == suspects::PlacementAdvice::kRefuse) {
    return base::NotRunError(base::Reason::kCondemned,
                             "the request crashes the targets that run it");
  }
  if (advice == suspects::PlacementAdvice::kDelay) {
    return base::NotRunError(
        base::Reason::kSuspected,
        "the request may crash targets and is being checked",
        kSuspectedRetryAfter);
  }
  const std::string pool = request.model.ToString();
  if (instance_->targets.IsUnservable(instance_->TargetCriteriaFor(pool))) {
    constexpr base::Millis kRetryAfter{5000};
    return base::NotRunError(base::Reason::kNoTarget,
                             "no target serves " + pool, kRetryAfter);
  }
  admission::AdmissionRequest admission;
  admission.workspace = request.caller.workspace;
  admission.priority = request.kind.priority;
  admission.start_by = request.start_by;
  admission.pool = pool;
  // The callback is called repeatedly while the request is queued. It sends
  // keep-alives, and by returning false removes the request of a disconnected
  // caller from the queue.
  return instance_->admission_gate.WaitForAdmission(admission, [writer] {
    writer->BeginStream();
    writer->SendKeepAlive(base::Clock::Now());
    return !writer->IsCallerGone();
  });
}

void GenerationHandler::RelayTokens(
    const GenerationRequest& request,
    std::optional<generation::GenerationCopy> copy,
    GenerationResponseWriter* writer) {
  writer->BeginStream();
  const auto configuration = instance_->active_configuration.Current();
  generation::AnyResumePolicy policy =
      generation::MakeResumePolicy(configuration->resume);
  std::visit(
      [&](auto& it) {
        RelayRunner runner(it, request, std::move(copy), instance_,
                           &death_detector_, writer);
        runner.Run();
      },
      policy);
}

void GenerationHandler::Handle(const http::ServerRequest& request,
                               http::ResponseStream* stream) {
  instance_->metrics.Add(base::Counter::kRequests);
  const auto configuration = instance_->active_configuration.Current();
  auto parsed = ParseGenerationRequest(request, *configuration);
  if (!parsed) {
    RefuseRequest(parsed.error(), AttemptNumberFromHeaders(request), stream);
    return;
  }
  const base::AttemptNumber attempt = parsed->caller.attempt;
  if (instance_->is_stopping) {
    RefuseRequest({base::Execution::kNotRun, base::Reason::kStopping,
                   "the instance is stopping", kStoppingRetryAfter,
                   base::VerdictScope::kThisAttempt},
                  attempt, stream);
    return;
  }
  auto copy = TakeOverEarlierGeneration(*parsed);
  if (!copy) {
    RefuseRequest(copy.error(), attempt, stream);
    return;
  }
  instance_->metrics.Add(base::Counter::kGenerations);
  GenerationResponseWriter writer(&*parsed, stream);
  if (copy->has_value()) {
    // A resumed generation keeps the model version that it started with and
    // does not pass through admission again.
    intents::ModelVersion::FromString((*copy)->model_version, &parsed->model);
    RelayTokens(*parsed, std::move(*copy), &writer);
    return;
  }
  const auto ticket = AdmitRequest(*parsed, &writer);
  if (!ticket) {
    instance_->metrics.AddRefusal(ticket.error().reason);
    writer.FailResponse(base::VerdictForAllAttempts(ticket.error(), attempt));
    return;
  }
  RelayTokens(*parsed, std::nullopt, &writer);
  instance_->admission_gate.ReleaseTicket(*ticket);
}

}  // namespace daisypond::entry

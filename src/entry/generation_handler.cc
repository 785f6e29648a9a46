#include "entry/generation_handler.h"

#include <utility>
#include <variant>

#include "entry/relay_runner.h"
#include "entry/takeover.h"
#include "generation/resume_policy.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kHeldRetryAfter{2000};
constexpr base::Millis kNewRetryAfter{200};
constexpr base::Millis kStopRetryAfter{500};

}  // namespace

void GenerationHandler::Refuse(const base::Verdict& verdict,
                               base::AttemptNumber attempt,
                               http::ResponseStream* stream) {
  instance_->metrics.AddRefusal(verdict.reason);
  SendVerdict(base::AdjustForAttempt(verdict, attempt), stream);
}

base::Result<std::optional<generation::Copy>> GenerationHandler::FindEarlierTry(
    const GenerationRequest& request) {
  const bool is_first = request.caller.attempt.IsFirst();
  if (is_first && !request.last_position) {
    return std::optional<generation::Copy>();
  }
  if (!instance_->KnowsPeers()) {
    return base::MayHaveRunError(base::Reason::kNoConfiguration,
                                 "the instance does not know its peers yet",
                                 kNewRetryAfter);
  }
  return TakeOver(request, instance_);
}

base::Result<admission::TicketId> GenerationHandler::Admit(
    const GenerationRequest& request,
    AnswerWriter* writer) {
  const suspects::PlacementAdvice advice =
      instance_->suspects.AdviceFor(request.content);
  if (advice == suspects::PlacementAdvice::kRefuse) {
    return base::NotRunError(base::Reason::kCondemned,
                             "the request crashes the targets that run it");
  }
  if (advice == suspects::PlacementAdvice::kDelay) {
    return base::NotRunError(
        base::Reason::kSuspected,
        "the request may crash targets and is being checked", kHeldRetryAfter);
  }
  const std::string pool = request.model.ToString();
  if (instance_->targets.IsServedByNone(instance_->RouteOf(pool))) {
    constexpr base::Millis kRetryAfter{5000};
    return base::NotRunError(base::Reason::kNoTarget,
                             "no target serves " + pool, kRetryAfter);
  }
  admission::AdmissionRequest admission;
  admission.workspace = request.caller.workspace;
  admission.priority = request.kind.priority;
  admission.start_by = request.start_by;
  admission.pool = pool;
  // A caller that waits sees a stream that is alive, and one that has gone
  // takes no target's time.
  return instance_->gate.WaitForAdmission(admission, [writer] {
    writer->Begin();
    writer->KeepAlive(base::Clock::Now());
    return !writer->IsCallerGone();
  });
}

void GenerationHandler::Relay(const GenerationRequest& request,
                              std::optional<generation::Copy> copy,
                              AnswerWriter* writer) {
  writer->Begin();
  const auto configuration = instance_->follower.Current();
  generation::AnyResumePolicy policy =
      generation::MakeResumePolicy(configuration->resume);
  std::visit(
      [&](auto& it) {
        RelayRunner runner(it, request, std::move(copy), instance_,
                           &death_watch_, writer);
        runner.Run();
      },
      policy);
}

void GenerationHandler::Handle(const http::ServerRequest& request,
                               http::ResponseStream* stream) {
  instance_->metrics.Add(base::Counter::kRequests);
  const auto configuration = instance_->follower.Current();
  auto parsed = ParseGenerationRequest(request, *configuration);
  if (!parsed) {
    Refuse(parsed.error(), StatedAttempt(request), stream);
    return;
  }
  const base::AttemptNumber attempt = parsed->caller.attempt;
  if (instance_->is_stopping) {
    Refuse({base::Execution::kNotRun, base::Reason::kStopping,
            "the instance is stopping", kStopRetryAfter,
            base::VerdictScope::kThisAttempt},
           attempt, stream);
    return;
  }
  auto copy = FindEarlierTry(*parsed);
  if (!copy) {
    Refuse(copy.error(), attempt, stream);
    return;
  }
  instance_->metrics.Add(base::Counter::kGenerations);
  AnswerWriter writer(&*parsed, stream);
  if (copy->has_value()) {
    // A generation goes on at exactly the version that it began with, and
    // without waiting again for its turn.
    intents::ModelVersion::FromString((*copy)->identity, &parsed->model);
    Relay(*parsed, std::move(*copy), &writer);
    return;
  }
  const auto ticket = Admit(*parsed, &writer);
  if (!ticket) {
    instance_->metrics.AddRefusal(ticket.error().reason);
    writer.Fail(base::AdjustForAttempt(ticket.error(), attempt));
    return;
  }
  Relay(*parsed, std::nullopt, &writer);
  instance_->gate.ReleaseTicket(*ticket);
}

}  // namespace daisypond::entry

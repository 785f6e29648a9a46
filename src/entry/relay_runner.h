#ifndef DAISYPOND_ENTRY_RELAY_RUNNER_H_
#define DAISYPOND_ENTRY_RELAY_RUNNER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "entry/generation_copier.h"
#include "entry/generation_request.h"
#include "entry/generation_response_writer.h"
#include "entry/instance.h"
#include "entry/target_death_detector.h"
#include "entry/upstream.h"
#include "generation/relay.h"

namespace daisypond::entry {

/// Drives one generation::Relay on the thread of the caller's connection:
/// performs the actions that the relay requests (start an attempt, copy tokens,
/// send tokens) and passes the resulting events back to it.
template <generation::ResumePolicy Policy>
class RelayRunner {
 public:
  /// `copy` is the copy from which an earlier generation continues; empty for a
  /// new generation.
  RelayRunner(Policy policy,
              const GenerationRequest& request,
              std::optional<generation::GenerationCopy> copy,
              Instance* instance,
              TargetDeathDetector* death_detector,
              GenerationResponseWriter* writer)
      : request_(request),
        taken_over_copy_(std::move(copy)),
        instance_(instance),
        death_detector_(death_detector),
        writer_(writer),
        request_key_(request.caller.GlobalKey()),
        model_version_(request.model.ToString()),
        mailbox_(std::make_shared<RelayMailbox>()),
        copier_(request, taken_over_copy_, instance, mailbox_),
        relay_(std::move(policy),
               RelayOptionsFor(request),
               taken_over_copy_
                   ? generation::TokenSequence(taken_over_copy_->generation,
                                               taken_over_copy_->tokens)
                   : generation::TokenSequence(base::RandomNumber()),
               &instance->metrics) {}

  /// Returns when the response has ended, when the stream has been handed over
  /// to another instance, or when the caller has been gone for too long.
  void Run() {
    const base::Millis now = base::Clock::Now();
    started_at_ = now;
    std::optional<std::string> finish_reason;
    if (taken_over_copy_ && taken_over_copy_->is_finished) {
      finish_reason = taken_over_copy_->finish_reason;
    }
    const auto& position = request_.last_position;
    relay_.Start(position ? static_cast<size_t>(position->index) + 1 : 0,
                 finish_reason, now);
    PerformPendingActions();
    while (!relay_.IsOver() && !is_stopped_early_) {
      ProcessNextEvent();
    }
    ReleaseAllAttempts();
  }

 private:
  /// An attempt that is running at a target.
  struct RunningAttempt {
    routing::Placement placement;
    http::ExchangeId exchange;
    suspects::RunningRequestId suspect_tracking_id;
    base::Millis started_at;
    base::Millis last_token_at;
    bool has_received_token = false;
  };

  /// How long a generation continues after its caller has disconnected.
  static constexpr base::Millis kAbsentCallerTimeout{10'000};
  /// Maximum wait for an event. After each wait, the runner checks whether the
  /// caller is still connected and whether the drain deadline has passed.
  static constexpr base::Millis kMaximumEventWait{200};
  /// The relay searches at least this long for a target, even if the request
  /// was queued until shortly before its start_by time.
  static constexpr base::Millis kMinimumStartWaitLimit{300};
  /// The time between the last token of an attempt and its cancellation is
  /// recorded in the gap statistics only if it is at least this long. Shorter
  /// gaps are below the lowest bound of the statistics.
  static constexpr base::Millis kMinimumRecordedGap{
      generation::kSilenceTimeoutsMs.front()};

  static generation::RelayOptions RelayOptionsFor(
      const GenerationRequest& request) {
    generation::RelayOptions options;
    options.request_id = request.caller.GlobalKey();
    options.maximum_duration = request.kind.deadline;
    options.start_wait_limit =
        std::max(request.start_by - base::Clock::Now(), kMinimumStartWaitLimit);
    return options;
  }

  /// Waits for one event or the next timer of the relay, passes it to the relay
  /// and performs the resulting actions.
  void ProcessNextEvent() {
    const base::Millis now = base::Clock::Now();
    const base::Millis wait = relay_.NextTick(now) - now;
    auto event =
        mailbox_->Pop(std::clamp(wait, base::Millis{1}, kMaximumEventWait));
    if (event) {
      std::visit([this](auto& it) { HandleEvent(it); }, *event);
    }
    if (relay_.NextTick(base::Clock::Now()) <= base::Clock::Now()) {
      relay_.OnTick(base::Clock::Now());
    }
    UpdateOwnCopy();
    PerformPendingActions();
    writer_->SendKeepAlive(base::Clock::Now());
    CheckForEarlyStop();
  }

  void HandleEvent(StreamConfirmed& event) {
    relay_.OnStreamConfirmed(event.attempt, event.first_index,
                             base::Clock::Now());
  }

  void HandleEvent(TokenArrived& event) {
    const auto it = running_attempts_.find(event.attempt);
    const size_t before = relay_.Tokens().Size();
    const base::Millis now = base::Clock::Now();
    relay_.OnToken(event.attempt, event.token, now);
    if (relay_.Tokens().Size() == before) {
      return;
    }
    if (it != running_attempts_.end()) {
      it->second.last_token_at = now;
    }
    RecordTokenTiming(it == running_attempts_.end() ? nullptr : &it->second,
                      now);
  }

  /// Updates the latency metrics and gap statistics after a token has arrived.
  /// `running_attempt` is the attempt that sent the token, or null if that
  /// attempt has ended.
  void RecordTokenTiming(RunningAttempt* running_attempt, base::Millis now) {
    base::Metrics& metrics = instance_->metrics;
    if (running_attempt != nullptr && !running_attempt->has_received_token) {
      running_attempt->has_received_token = true;
      instance_->targets.OnTargetSuccess(running_attempt->placement.target);
      instance_->token_gap_statistics.AddFirstTokenDelay(
          model_version_, now - running_attempt->started_at,
          relay_.Tokens().Size() - 1);
    } else if (last_token_at_.count != 0) {
      instance_->token_gap_statistics.AddGap(model_version_,
                                             now - last_token_at_);
      metrics.Observe(base::Timer::kInterToken, now - last_token_at_);
    }
    if (interrupted_at_) {
      metrics.Observe(base::Timer::kResume, now - *interrupted_at_);
      interrupted_at_.reset();
    }
    if (last_token_at_.count == 0 && !taken_over_copy_) {
      metrics.Observe(base::Timer::kFirstToken, now - started_at_);
    }
    last_token_at_ = now;
  }

  void HandleEvent(StreamEnded& event) {
    const auto it = running_attempts_.find(event.attempt);
    if (it == running_attempts_.end()) {
      return;
    }
    const generation::UpstreamEndKind end = event.ending.kind;
    const routing::Placement placement = it->second.placement;
    if (end == generation::UpstreamEndKind::kBroken) {
      // Called before ReleaseAttempt(), so that the death report lists this
      // request.
      const bool is_dead = death_detector_->DetectDeath(placement);
      if (is_dead) {
        instance_->token_gap_statistics.AddLoss(model_version_);
      }
    }
    if (end == generation::UpstreamEndKind::kOverloaded) {
      instance_->targets.OnTargetFull(placement.target, base::Clock::Now());
    } else if (end != generation::UpstreamEndKind::kFinished) {
      instance_->targets.OnTargetFailure(placement.target, base::Clock::Now());
      LogLostStream(placement, end);
    }
    ReleaseAttempt(event.attempt);
    relay_.OnUpstreamEnd(event.attempt, event.ending, base::Clock::Now());
  }

  void LogLostStream(const routing::Placement& placement,
                     generation::UpstreamEndKind end) {
    base::Log(base::LogLevel::kInfo, "stream_lost",
              {{"request", request_key_},
               {"target", placement.target.name},
               {"end", static_cast<int>(end)},
               {"tokens", relay_.Tokens().Size()}});
  }

  void HandleEvent(LoadReportArrived& event) {
    const auto it = running_attempts_.find(event.attempt);
    if (it != running_attempts_.end()) {
      instance_->targets.OnLoadReport(it->second.placement.target, event.report,
                                      base::Clock::Now());
    }
  }

  void HandleEvent(CopyResultArrived& event) {
    if (copier_.IsForLatestCopy(event)) {
      const base::Millis now = base::Clock::Now();
      instance_->metrics.Observe(base::Timer::kCopyAcknowledged,
                                 now - copier_.LastSentAt());
      relay_.OnCopyOutcome(event.outcome, now);
    }
  }

  CopySource CurrentCopySource() const {
    return {relay_.Tokens(), relay_.IsFinished(), relay_.FinishReason()};
  }

  void UpdateOwnCopy() {
    if (!relay_.IsOver() && copier_.UpdateOwnCopy(CurrentCopySource()) ==
                                generation::AppendOutcome::kSuperseded) {
      relay_.Abort(base::Reason::kSuperseded,
                   "another try has taken over this generation");
    }
  }

  void PerformPendingActions() {
    auto actions = relay_.TakeActions();
    while (!actions.empty()) {
      for (generation::RelayAction& it : actions) {
        PerformAction(it);
      }
      UpdateOwnCopy();
      actions = relay_.TakeActions();
    }
  }

  void PerformAction(generation::RelayAction& action) {
    switch (action.kind) {
      case generation::RelayActionKind::kStartAttempt:
        StartAttempt(action);
        return;
      case generation::RelayActionKind::kCancelAttempt:
        CancelAttempt(action.attempt);
        return;
      case generation::RelayActionKind::kCopy:
        copier_.SendToPeer(CurrentCopySource(), action.from, action.to,
                           action.peer);
        return;
      case generation::RelayActionKind::kSend:
        SendTokens(action);
        return;
      case generation::RelayActionKind::kRestart:
        RestartGeneration();
        return;
      case generation::RelayActionKind::kFinish:
        writer_->FinishResponse(relay_.Tokens(), relay_.FinishReason());
        return;
      case generation::RelayActionKind::kFail:
        FailGeneration(action.verdict);
        return;
    }
  }

  void SendTokens(const generation::RelayAction& action) {
    const bool is_next =
        action.from == next_index_to_send_ && action.to >= action.from;
    const bool is_contiguous = instance_->metrics.CheckInvariant(
        base::Invariant::kTokenIndexContiguous, is_next || !has_sent_tokens_);
    if (!is_contiguous) {
      relay_.Abort(base::Reason::kInvariantBroken, "a token index jumped");
      return;
    }
    has_sent_tokens_ = true;
    next_index_to_send_ = action.to;
    instance_->metrics.Add(base::Counter::kTokensRelayed,
                           static_cast<int64_t>(action.to - action.from));
    writer_->SendTokens(relay_.Tokens(), action.from, action.to);
  }

  void RestartGeneration() {
    copier_.StartNewEpoch();
    next_index_to_send_ = 0;
    writer_->SendRestart();
  }

  void FailGeneration(const base::Verdict& verdict) {
    instance_->metrics.AddRefusal(verdict.reason);
    base::Log(base::LogLevel::kInfo, "generation_ended",
              {{"request", request_key_},
               {"reason", base::kReasonNames.NameOf(verdict.reason)},
               {"tokens", relay_.Tokens().Size()}});
    writer_->FailResponse(
        base::VerdictForAllAttempts(verdict, request_.caller.attempt));
  }

  void StartAttempt(const generation::RelayAction& action) {
    const suspects::PlacementAdvice advice =
        instance_->suspects.AdviceFor(request_.content_digest);
    if (advice == suspects::PlacementAdvice::kRefuse) {
      relay_.Abort(base::Reason::kCondemned,
                   "the request crashes the targets that run it");
      return;
    }
    if (!MayRetry(action)) {
      relay_.OnRetryRefused(action.attempt);
      return;
    }
    const auto placement = advice == suspects::PlacementAdvice::kDelay
                               ? std::nullopt
                               : ChoosePlacement(advice);
    SetWaitingForPlacement(!placement && action.from > 0);
    if (!placement) {
      relay_.OnNoTarget(action.attempt, base::Clock::Now());
      return;
    }
    CountAttempt(action);
    RunningAttempt running_attempt;
    running_attempt.placement = *placement;
    running_attempt.started_at = base::Clock::Now();
    running_attempt.suspect_tracking_id = instance_->suspects.RecordStart(
        request_.content_digest, placement->target.name);
    running_attempt.exchange = StartUpstreamAttempt(
        &instance_->traffic_client, placement->address, request_,
        relay_.Tokens(), action.attempt, mailbox_);
    running_attempts_.emplace(action.attempt, std::move(running_attempt));
    last_target_ = placement->target;
    relay_.OnAttemptSent(
        action.attempt,
        instance_->token_gap_statistics.StatisticsOf(model_version_),
        base::Clock::Now());
  }

  /// Sets whether this generation waits for a target on which to resume. While
  /// it waits, one slot is withheld from new requests.
  void SetWaitingForPlacement(bool is_waiting) {
    if (is_waiting == is_waiting_for_placement_) {
      return;
    }
    is_waiting_for_placement_ = is_waiting;
    if (is_waiting) {
      instance_->resume_reserve.AddWaiting(model_version_);
    } else {
      instance_->resume_reserve.RemoveWaiting(model_version_);
    }
  }

  /// Returns true if the attempt may start. The first attempt and an attempt
  /// that found no free target before may always start. An attempt that
  /// replaces a lost attempt may start if the generation has received tokens
  /// since the last retry: these tokens are worth more than the retry costs.
  /// Any other attempt may start only if the retry budget allows it: an attempt
  /// beside one that is still running, an attempt without tokens to resume
  /// from, and an attempt that resumes from the same token as the last retry.
  bool MayRetry(const generation::RelayAction& action) {
    const bool is_first = action.reason == base::Reason::kNone ||
                          action.reason == base::Reason::kNoTarget;
    if (is_first) {
      return true;
    }
    const bool needs_budget = !running_attempts_.empty() || action.from == 0 ||
                              action.from == last_retry_index_;
    last_retry_index_ = action.from;
    return !needs_budget || instance_->retry_budget.TakeRetry();
  }

  /// Chooses a target and reserves a slot there. Excludes the targets of
  /// running attempts and the target of the last attempt; the latter is chosen
  /// only if no attempt is running and no other target has a free slot. Empty
  /// if no target is available.
  std::optional<routing::Placement> ChoosePlacement(
      suspects::PlacementAdvice advice) {
    routing::RouteRequest criteria =
        instance_->TargetCriteriaFor(model_version_);
    criteria.affinity_key = request_.AffinityKey();
    criteria.random = base::RandomNumber();
    if (advice == suspects::PlacementAdvice::kAvoidSuspects) {
      criteria.suspect_spreading = routing::SuspectSpreading::kFewestSuspects;
    }
    for (const auto& [id, running_attempt] : running_attempts_) {
      criteria.excluded.insert(running_attempt.placement.target);
    }
    if (!last_target_.name.empty()) {
      criteria.excluded.insert(last_target_);
    }
    auto placement =
        instance_->AcquirePlacement(criteria, request_.content_digest);
    if (!placement && running_attempts_.empty()) {
      // No other target has a free slot: the target of the last attempt may be
      // used again.
      criteria.excluded.clear();
      placement =
          instance_->AcquirePlacement(criteria, request_.content_digest);
    }
    return placement;
  }

  void CountAttempt(const generation::RelayAction& action) {
    base::Metrics& metrics = instance_->metrics;
    metrics.Add(base::Counter::kUpstreamAttempts);
    if (action.from > 0) {
      metrics.Add(base::Counter::kPrefillTokensRepeated,
                  static_cast<int64_t>(action.from));
    }
    if (action.reason == base::Reason::kNone) {
      instance_->retry_budget.OnFirstAttempt();
      return;
    }
    metrics.AddRetry(action.reason);
    if (action.from > 0) {
      metrics.Add(base::Counter::kResumes);
      if (!interrupted_at_) {
        interrupted_at_ = last_token_at_;
      }
    }
  }

  void CancelAttempt(generation::AttemptId attempt) {
    const auto it = running_attempts_.find(attempt);
    if (it == running_attempts_.end()) {
      return;
    }
    instance_->traffic_client.Cancel(it->second.exchange);
    const base::Millis silence = base::Clock::Now() - it->second.last_token_at;
    if (it->second.has_received_token && silence >= kMinimumRecordedGap) {
      instance_->token_gap_statistics.AddUnfinishedGap(model_version_);
    }
    if (!it->second.has_received_token) {
      instance_->targets.OnTargetFailure(it->second.placement.target,
                                         base::Clock::Now());
    }
    ReleaseAttempt(attempt);
  }

  void ReleaseAttempt(generation::AttemptId attempt) {
    const auto it = running_attempts_.find(attempt);
    instance_->targets.ReleaseSlot(it->second.placement.target);
    instance_->suspects.RecordEnd(it->second.suspect_tracking_id);
    running_attempts_.erase(it);
    instance_->admission_gate.AdmitWaiting();
  }

  void ReleaseAllAttempts() {
    SetWaitingForPlacement(false);
    while (!running_attempts_.empty()) {
      const generation::AttemptId attempt = running_attempts_.begin()->first;
      instance_->traffic_client.Cancel(
          running_attempts_.begin()->second.exchange);
      ReleaseAttempt(attempt);
    }
  }

  /// Ends the relay early if the caller has been disconnected for
  /// kAbsentCallerTimeout or if the drain deadline has passed. A disconnected
  /// caller may reconnect within seconds, to this or another instance, so its
  /// generation continues until the timeout, unless others wait for the thread:
  /// it can be resumed from its copies.
  void CheckForEarlyStop() {
    const base::Millis now = base::Clock::Now();
    if (writer_->IsCallerGone()) {
      if (!caller_gone_at_) {
        caller_gone_at_ = now;
      }
      // A caller that has received no token has nothing to resume.
      const bool has_sent_nothing = relay_.SentCount() == 0;
      if (has_sent_nothing || writer_->IsThreadWanted() ||
          now - *caller_gone_at_ >= kAbsentCallerTimeout) {
        is_stopped_early_ = true;
      }
    }
    const bool is_drain_over = instance_->drain_deadline_ms.load() != 0 &&
                               now.count >= instance_->drain_deadline_ms.load();
    if (is_drain_over && request_.mode == ResponseMode::kStream) {
      // Another instance resumes the generation from the copies.
      writer_->SendHandover();
      is_stopped_early_ = true;
    }
  }

  const GenerationRequest& request_;
  std::optional<generation::GenerationCopy> taken_over_copy_;
  Instance* instance_;
  TargetDeathDetector* death_detector_;
  GenerationResponseWriter* writer_;
  std::string request_key_;
  std::string model_version_;
  std::shared_ptr<RelayMailbox> mailbox_;
  GenerationCopier copier_;
  generation::Relay<Policy> relay_;

  std::map<generation::AttemptId, RunningAttempt> running_attempts_;
  routing::TargetId last_target_;
  /// The token index from which the last retry resumed.
  size_t last_retry_index_ = SIZE_MAX;
  size_t next_index_to_send_ = 0;
  bool has_sent_tokens_ = false;
  base::Millis started_at_;
  base::Millis last_token_at_;
  /// Set while a resumed generation waits for its next token: the time of the
  /// last token before the interruption.
  std::optional<base::Millis> interrupted_at_;
  std::optional<base::Millis> caller_gone_at_;
  /// True if the relay ends before the response is complete, after a handover
  /// or because the caller is gone.
  bool is_stopped_early_ = false;
  bool is_waiting_for_placement_ = false;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_RELAY_RUNNER_H_

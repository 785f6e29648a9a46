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
#include "entry/answer_writer.h"
#include "entry/death_watch.h"
#include "entry/generation_copier.h"
#include "entry/generation_request.h"
#include "entry/instance.h"
#include "entry/upstream.h"
#include "generation/relay.h"

namespace daisypond::entry {

/// Drives one Relay on the thread of its caller's connection: carries out its
/// actions and feeds it what comes back.
template <generation::ResumePolicy Policy>
class RelayRunner {
 public:
  /// `copy` is what a takeover brought; empty for a new generation.
  RelayRunner(Policy policy,
              const GenerationRequest& request,
              std::optional<generation::Copy> copy,
              Instance* instance,
              DeathWatch* death_watch,
              AnswerWriter* writer)
      : request_(request),
        copy_(std::move(copy)),
        instance_(instance),
        death_watch_(death_watch),
        writer_(writer),
        key_(request.caller.Key()),
        identity_(request.model.ToString()),
        mailbox_(std::make_shared<RelayMailbox>()),
        copier_(request, copy_, instance, mailbox_),
        relay_(std::move(policy),
               OptionsOf(request),
               copy_ ? generation::Progress(copy_->generation, copy_->tokens)
                     : generation::Progress(base::RandomNumber()),
               &instance->metrics) {}

  /// Returns when the answer has ended.
  void Run() {
    const base::Millis now = base::Clock::Now();
    started_at_ = now;
    std::optional<std::string> finish_reason;
    if (copy_ && copy_->is_finished) {
      finish_reason = copy_->finish_reason;
    }
    const auto& position = request_.last_position;
    relay_.Start(position ? static_cast<size_t>(position->index) + 1 : 0,
                 finish_reason, now);
    Perform();
    while (!relay_.IsOver() && !is_handed_over_) {
      Step();
    }
    ReleaseAll();
  }

 private:
  struct Upstream {
    routing::Placement placement;
    http::ExchangeId exchange;
    suspects::RunningRequestId stay;
    base::Millis started_at;
    base::Millis heard_at;
    bool has_token = false;
  };

  /// How long a generation goes on for a caller that has gone.
  static constexpr base::Millis kAbsenceBound{10'000};
  static constexpr base::Millis kLongestStep{200};
  static constexpr base::Millis kLeastPatience{300};
  static constexpr base::Millis kShortestSilence{
      generation::kSilenceBounds.front()};

  static generation::RelayOptions OptionsOf(const GenerationRequest& request) {
    generation::RelayOptions options;
    options.request_id = request.caller.Key();
    options.deadline = request.kind.deadline;
    options.start_patience =
        std::max(request.start_by - base::Clock::Now(), kLeastPatience);
    return options;
  }

  void Step() {
    const base::Millis now = base::Clock::Now();
    const base::Millis wait = relay_.NextTick(now) - now;
    auto event = mailbox_->Pop(std::clamp(wait, base::Millis{1}, kLongestStep));
    if (event) {
      std::visit([this](auto& it) { On(it); }, *event);
    }
    if (relay_.NextTick(base::Clock::Now()) <= base::Clock::Now()) {
      relay_.OnTick(base::Clock::Now());
    }
    SyncOwnCopy();
    Perform();
    writer_->KeepAlive(base::Clock::Now());
    CheckCaller();
  }

  void On(StreamConfirmed& event) {
    relay_.OnConfirmed(event.attempt, event.first_index, base::Clock::Now());
  }

  void On(TokenArrived& event) {
    const auto it = upstreams_.find(event.attempt);
    const size_t before = relay_.Tokens().Size();
    const base::Millis now = base::Clock::Now();
    relay_.OnToken(event.attempt, event.token, now);
    if (relay_.Tokens().Size() == before) {
      return;
    }
    if (it != upstreams_.end()) {
      it->second.heard_at = now;
    }
    NoteToken(it == upstreams_.end() ? nullptr : &it->second, now);
  }

  void NoteToken(Upstream* upstream, base::Millis now) {
    base::Metrics& metrics = instance_->metrics;
    if (upstream != nullptr && !upstream->has_token) {
      upstream->has_token = true;
      instance_->targets.OnSuccess(upstream->placement.target);
      instance_->gaps.AddFirstToken(identity_, now - upstream->started_at,
                                    relay_.Tokens().Size() - 1);
    } else if (last_token_at_.count != 0) {
      instance_->gaps.AddGap(identity_, now - last_token_at_);
      metrics.Observe(base::Timer::kInterToken, now - last_token_at_);
    }
    if (lost_at_) {
      metrics.Observe(base::Timer::kResume, now - *lost_at_);
      lost_at_.reset();
    }
    if (last_token_at_.count == 0 && !copy_) {
      metrics.Observe(base::Timer::kFirstToken, now - started_at_);
    }
    last_token_at_ = now;
  }

  void On(StreamEnded& event) {
    const auto it = upstreams_.find(event.attempt);
    if (it == upstreams_.end()) {
      return;
    }
    const generation::UpstreamEnd end = event.ending.end;
    const routing::Placement placement = it->second.placement;
    if (end == generation::UpstreamEnd::kBroken) {
      // While this request is still noted as running there.
      const bool is_dead = death_watch_->OnBroken(placement);
      if (is_dead) {
        instance_->gaps.AddLoss(identity_);
      }
    }
    if (end == generation::UpstreamEnd::kOverloaded) {
      instance_->targets.OnFull(placement.target, base::Clock::Now());
    } else if (end != generation::UpstreamEnd::kFinished) {
      instance_->targets.OnFailure(placement.target, base::Clock::Now());
      LogLoss(placement, end);
    }
    Release(event.attempt);
    relay_.OnUpstreamEnd(event.attempt, event.ending, base::Clock::Now());
  }

  void LogLoss(const routing::Placement& placement,
               generation::UpstreamEnd end) {
    base::Log(base::LogLevel::kInfo, "stream_lost",
              {{"request", key_},
               {"target", placement.target.name},
               {"end", static_cast<int>(end)},
               {"tokens", relay_.Tokens().Size()}});
  }

  void On(LoadArrived& event) {
    const auto it = upstreams_.find(event.attempt);
    if (it != upstreams_.end()) {
      instance_->targets.OnReport(it->second.placement.target, event.report,
                                  base::Clock::Now());
    }
  }

  void On(CopyAnswered& event) {
    if (copier_.IsLatest(event)) {
      const base::Millis now = base::Clock::Now();
      instance_->metrics.Observe(base::Timer::kCopyAcknowledged,
                                 now - copier_.SentAt());
      relay_.OnCopyOutcome(event.outcome, now);
    }
  }

  CopySource Source() const {
    return {relay_.Tokens(), relay_.IsFinished(), relay_.FinishReason()};
  }

  void SyncOwnCopy() {
    if (!relay_.IsOver() &&
        copier_.SyncOwn(Source()) == generation::AppendOutcome::kSuperseded) {
      relay_.Abort(base::Reason::kSuperseded,
                   "another try has taken over this generation");
    }
  }

  void Perform() {
    auto actions = relay_.TakeActions();
    while (!actions.empty()) {
      for (generation::RelayAction& it : actions) {
        Perform(it);
      }
      SyncOwnCopy();
      actions = relay_.TakeActions();
    }
  }

  void Perform(generation::RelayAction& action) {
    switch (action.kind) {
      case generation::RelayActionKind::kStartAttempt:
        StartAttempt(action);
        return;
      case generation::RelayActionKind::kCancelAttempt:
        CancelAttempt(action.attempt);
        return;
      case generation::RelayActionKind::kCopy:
        copier_.SendToPeer(Source(), action.from, action.to, action.peer);
        return;
      case generation::RelayActionKind::kSend:
        Send(action);
        return;
      case generation::RelayActionKind::kRestart:
        OnRestart();
        return;
      case generation::RelayActionKind::kFinish:
        writer_->Finish(relay_.Tokens(), relay_.FinishReason());
        return;
      case generation::RelayActionKind::kFail:
        Fail(action.verdict);
        return;
    }
  }

  void Send(const generation::RelayAction& action) {
    const bool is_next = action.from == sent_base_ && action.to >= action.from;
    const bool holds = instance_->metrics.CheckInvariant(
        base::Invariant::kTokenIndexContiguous, is_next || !has_sent_);
    if (!holds) {
      relay_.Abort(base::Reason::kInvariantBroken, "a token index jumped");
      return;
    }
    has_sent_ = true;
    sent_base_ = action.to;
    instance_->metrics.Add(base::Counter::kTokensRelayed,
                           static_cast<int64_t>(action.to - action.from));
    writer_->Send(relay_.Tokens(), action.from, action.to);
  }

  void OnRestart() {
    copier_.Restart();
    sent_base_ = 0;
    writer_->Restart();
  }

  void Fail(const base::Verdict& verdict) {
    instance_->metrics.AddRefusal(verdict.reason);
    base::Log(base::LogLevel::kInfo, "generation_ended",
              {{"request", key_},
               {"reason", base::kReasonNames.NameOf(verdict.reason)},
               {"tokens", relay_.Tokens().Size()}});
    writer_->Fail(base::AdjustForAttempt(verdict, request_.caller.attempt));
  }

  void StartAttempt(const generation::RelayAction& action) {
    const suspects::PlacementAdvice advice =
        instance_->suspects.AdviceFor(request_.content);
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
                               : FindPlace(advice);
    SetWaiting(!placement && action.from > 0);
    if (!placement) {
      relay_.OnNoTarget(action.attempt, base::Clock::Now());
      return;
    }
    NoteAttempt(action);
    Upstream upstream;
    upstream.placement = *placement;
    upstream.started_at = base::Clock::Now();
    upstream.stay = instance_->suspects.RecordStart(request_.content,
                                                    placement->target.name);
    upstream.exchange =
        StartUpstream(&instance_->traffic_client, placement->address, request_,
                      relay_.Tokens(), action.attempt, mailbox_);
    upstreams_.emplace(action.attempt, std::move(upstream));
    last_target_ = placement->target;
    relay_.OnAttemptSent(action.attempt, instance_->gaps.Of(identity_),
                         base::Clock::Now());
  }

  /// Keeps new requests from the places that this generation waits for.
  void SetWaiting(bool is_waiting) {
    if (is_waiting == is_waiting_) {
      return;
    }
    is_waiting_ = is_waiting;
    if (is_waiting) {
      instance_->resume_reserve.AddWaiting(identity_);
    } else {
      instance_->resume_reserve.RemoveWaiting(identity_);
    }
  }

  /// A generation that has tokens goes on after a loss without asking the
  /// budget: its work is worth more than a retry costs. Second streams beside
  /// a silent one and starts from nothing do ask.
  bool MayRetry(const generation::RelayAction& action) {
    const bool is_first = action.reason == base::Reason::kNone ||
                          action.reason == base::Reason::kNoTarget;
    if (is_first) {
      return true;
    }
    const bool is_extra = !upstreams_.empty() || action.from == 0 ||
                          action.from == last_retry_from_;
    last_retry_from_ = action.from;
    return !is_extra || instance_->retry_budget.TakeRetry();
  }

  std::optional<routing::Placement> FindPlace(
      suspects::PlacementAdvice advice) {
    routing::RouteRequest route = instance_->RouteOf(identity_);
    route.affinity_key = request_.AffinityKey();
    route.random = base::RandomNumber();
    if (advice == suspects::PlacementAdvice::kAvoidSuspects) {
      route.spreading = routing::Spreading::kFewestSuspects;
    }
    for (const auto& [id, upstream] : upstreams_) {
      route.excluded.insert(upstream.placement.target);
    }
    if (!last_target_.name.empty()) {
      route.excluded.insert(last_target_);
    }
    auto placement = instance_->Acquire(route, request_.content);
    if (!placement && upstreams_.empty()) {
      // The last target is better than none.
      route.excluded.clear();
      placement = instance_->Acquire(route, request_.content);
    }
    return placement;
  }

  void NoteAttempt(const generation::RelayAction& action) {
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
      if (!lost_at_) {
        lost_at_ = last_token_at_;
      }
    }
  }

  void CancelAttempt(generation::AttemptId attempt) {
    const auto it = upstreams_.find(attempt);
    if (it == upstreams_.end()) {
      return;
    }
    instance_->traffic_client.Cancel(it->second.exchange);
    const base::Millis silence = base::Clock::Now() - it->second.heard_at;
    if (it->second.has_token && silence >= kShortestSilence) {
      instance_->gaps.AddUnendedGap(identity_);
    }
    if (!it->second.has_token) {
      instance_->targets.OnFailure(it->second.placement.target,
                                   base::Clock::Now());
    }
    Release(attempt);
  }

  void Release(generation::AttemptId attempt) {
    const auto it = upstreams_.find(attempt);
    instance_->targets.Release(it->second.placement.target);
    instance_->suspects.RecordEnd(it->second.stay);
    upstreams_.erase(it);
    instance_->gate.AdmitWaiting();
  }

  void ReleaseAll() {
    SetWaiting(false);
    while (!upstreams_.empty()) {
      const generation::AttemptId attempt = upstreams_.begin()->first;
      instance_->traffic_client.Cancel(upstreams_.begin()->second.exchange);
      Release(attempt);
    }
  }

  /// A caller that has gone may come back within seconds, here or elsewhere,
  /// so its generation goes on for a while.
  void CheckCaller() {
    const base::Millis now = base::Clock::Now();
    if (writer_->IsCallerGone()) {
      if (!gone_at_) {
        gone_at_ = now;
      }
      // Nothing is lost to a caller that has not had a token.
      const bool is_worthless = relay_.SentCount() == 0;
      if (is_worthless || now - *gone_at_ >= kAbsenceBound) {
        is_handed_over_ = true;
      }
    }
    const bool is_drained = instance_->drain_until.load() != 0 &&
                            now.count >= instance_->drain_until.load();
    if (is_drained && request_.mode == AnswerMode::kStream) {
      // The copies let another instance go on from here.
      writer_->HandOver();
      is_handed_over_ = true;
    }
  }

  const GenerationRequest& request_;
  std::optional<generation::Copy> copy_;
  Instance* instance_;
  DeathWatch* death_watch_;
  AnswerWriter* writer_;
  std::string key_;
  std::string identity_;
  std::shared_ptr<RelayMailbox> mailbox_;
  GenerationCopier copier_;
  generation::Relay<Policy> relay_;

  std::map<generation::AttemptId, Upstream> upstreams_;
  routing::TargetId last_target_;
  size_t last_retry_from_ = SIZE_MAX;
  size_t sent_base_ = 0;
  bool has_sent_ = false;
  base::Millis started_at_;
  base::Millis last_token_at_;
  std::optional<base::Millis> lost_at_;
  std::optional<base::Millis> gone_at_;
  bool is_handed_over_ = false;
  bool is_waiting_ = false;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_RELAY_RUNNER_H_

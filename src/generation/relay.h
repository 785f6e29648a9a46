#ifndef DAISYPOND_GENERATION_RELAY_H_
#define DAISYPOND_GENERATION_RELAY_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "generation/copy_progress.h"
#include "generation/gap_statistics.h"
#include "generation/relay_message.h"
#include "generation/relay_options.h"
#include "generation/resume_policy.h"
#include "generation/token_sequence.h"

namespace daisypond::generation {

/// One generation on its way from targets to a caller. Takes events in and
/// gives actions out; holds no sockets and reads no clock, so that random
/// histories can drive it. Tokens go out in order, once, after a peer has
/// copied them, and only one attempt at a time may add to them.
template <ResumePolicy Policy>
class Relay {
 public:
  Relay(Policy policy,
        RelayOptions options,
        TokenSequence progress,
        base::Metrics* metrics)
      : policy_(std::move(policy)),
        options_(std::move(options)),
        tokens_(std::move(progress)),
        metrics_(metrics),
        copy_progress_(options_.copy_options) {}

  /// Starts with what a takeover brought: the caller has `sent` tokens, and
  /// the generation may be complete.
  void Start(size_t sent,
             std::optional<std::string> finish_reason,
             base::Millis now) {
    started_at_ = now;
    sent_count_ = sent;
    if (finish_reason) {
      is_finished_ = true;
      finish_reason_ = *finish_reason;
    } else {
      StartAttempt(base::Reason::kNone, now);
    }
    QueueReadyActions(now);
  }

  /// The driver found a target for an attempt that was asked for.
  void OnAttemptSent(AttemptId id,
                     const GapStatistics& gaps,
                     base::Millis now) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
      return;
    }
    it->second.is_sent = true;
    it->second.last_event_at = now;
    gap_statistics_ = gaps;
    if (policy_.OnSilence() == SilenceHandling::kReplace) {
      CancelAttemptsExcept(id);
    }
  }

  /// The driver found no target for an attempt.
  void OnNoTarget(AttemptId id, base::Millis now) {
    attempts_.erase(id);
    if (is_over_) {
      return;
    }
    if (!waiting_for_target_since_) {
      waiting_for_target_since_ = now;
    }
    if (!attempts_.empty()) {
      return;
    }
    const base::Millis wait_limit = tokens_.Size() == 0
                                        ? options_.start_wait_limit
                                        : options_.target_wait_limit;
    if (now - *waiting_for_target_since_ >= wait_limit) {
      Fail(base::Reason::kNoTarget, "no target can take the generation");
      return;
    }
    retry_at_ = now + kTargetRetryInterval;
  }

  /// The retry budget has no room for an attempt.
  void OnRetryRefused(AttemptId id) {
    attempts_.erase(id);
    if (attempts_.empty() && !is_over_) {
      Fail(base::Reason::kRetryBudgetSpent, "too many retries at present");
    }
  }

  /// The target has said at which token its stream begins. Only a stream that
  /// begins where the relay stands may add tokens.
  void OnStreamConfirmed(AttemptId id, int64_t first_index, base::Millis now) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || is_over_) {
      return;
    }
    it->second.last_event_at = now;
    waiting_for_target_since_.reset();
    if (first_index == static_cast<int64_t>(it->second.first_index)) {
      it->second.is_confirmed = true;
      return;
    }
    CancelAttempt(id);
    attempts_.erase(it);
    ReplaceLostAttempt(id, base::Reason::kTargetRestarted, now);
    QueueReadyActions(now);
  }

  void OnToken(AttemptId id, const UpstreamToken& token, base::Millis now) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || is_over_) {
      metrics_->Add(base::Counter::kTokensDropped);
      return;
    }
    it->second.last_event_at = now;
    const bool is_for_this_attempt =
        token.request_id == options_.request_id && token.attempt == id.value;
    if (!is_for_this_attempt) {
      // A token of an older attempt, or of another request.
      metrics_->Add(base::Counter::kTokensDropped);
      return;
    }
    const bool is_next = token.index == static_cast<int64_t>(tokens_.Size());
    if (!is_next || !it->second.is_confirmed) {
      OnUnexpectedIndex(id, token.index, now);
      return;
    }
    AcceptToken(id, token, now);
    QueueReadyActions(now);
  }

  void OnUpstreamEnd(AttemptId id, UpstreamEnding ending, base::Millis now) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || is_over_) {
      return;
    }
    const bool may_finish = !appending_attempt_ || *appending_attempt_ == id;
    attempts_.erase(it);
    const bool is_complete =
        ending.kind == UpstreamEndKind::kFinished &&
        ending.token_count == static_cast<int64_t>(tokens_.Size());
    if (is_complete && may_finish) {
      Finish(std::move(ending.finish_reason));
      QueueReadyActions(now);
      return;
    }
    if (ending.kind == UpstreamEndKind::kOverloaded) {
      // Nothing is lost: a place has to be found elsewhere, or later.
      if (appending_attempt_ == id) {
        appending_attempt_.reset();
      }
      OnNoTarget(id, now);
      return;
    }
    ReplaceLostAttempt(id, ReasonOf(ending.kind), now);
    QueueReadyActions(now);
  }

  void OnCopyOutcome(CopyOutcome outcome, base::Millis now) {
    if (!copy_progress_.IsInFlight() || is_over_) {
      return;
    }
    copy_progress_.OnOutcome(outcome, now);
    if (outcome == CopyOutcome::kSuperseded) {
      Fail(base::Reason::kSuperseded,
           "another instance has taken over this generation");
      return;
    }
    QueueReadyActions(now);
  }

  void OnTick(base::Millis now) {
    if (is_over_) {
      return;
    }
    if (now - started_at_ >= options_.deadline) {
      Fail(base::Reason::kDeadlineExceeded, "the deadline has passed");
      return;
    }
    if (retry_at_ && now >= *retry_at_) {
      retry_at_.reset();
      StartAttempt(base::Reason::kNoTarget, now);
    }
    if (copy_progress_.ProcessTimeouts(now)) {
      copy_progress_.OnOutcome(CopyOutcome::kFailed, now);
    }
    CheckSilenceTimeouts(now);
    QueueReadyActions(now);
  }

  /// When OnTick() has to be called at the latest.
  base::Millis NextTick(base::Millis now) const {
    base::Millis next_tick = now + kMaximumTickInterval;
    next_tick = std::min(next_tick, started_at_ + options_.deadline);
    if (retry_at_) {
      next_tick = std::min(next_tick, *retry_at_);
    }
    if (copy_progress_.IsInFlight()) {
      next_tick = std::min(next_tick, copy_progress_.TimesOutAt());
    }
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.is_sent) {
        next_tick = std::min(next_tick,
                             attempt.last_event_at + SilenceTimeoutOf(attempt));
      }
    }
    return next_tick;
  }

  /// Ends the relay from outside, such as for a condemned request.
  void Abort(base::Reason reason, std::string detail) {
    if (!is_over_) {
      Fail(reason, std::move(detail));
    }
  }

  std::vector<RelayAction> TakeActions() { return std::exchange(actions_, {}); }

  const TokenSequence& Tokens() const { return tokens_; }
  bool IsFinished() const { return is_finished_; }
  const std::string& FinishReason() const { return finish_reason_; }
  bool IsOver() const { return is_over_; }
  size_t SentCount() const { return sent_count_; }

 private:
  struct Attempt {
    /// The index that the target was asked to start at.
    size_t first_index = 0;
    bool is_sent = false;
    bool is_confirmed = false;
    bool has_token = false;
    /// It has been silent for the policy's bound: a second attempt has been
    /// asked for, and this one is lost after the longest bound.
    bool has_timed_out = false;
    base::Millis last_event_at;
  };

  static constexpr base::Millis kTargetRetryInterval{50};
  static constexpr base::Millis kMaximumTickInterval{1000};
  static constexpr base::Millis kRetryAfter{1000};

  void StartAttempt(base::Reason reason, base::Millis now) {
    const AttemptId id{++last_attempt_};
    Attempt attempt;
    attempt.first_index = tokens_.Size();
    attempt.last_event_at = now;
    attempts_[id] = attempt;
    RelayAction action;
    action.kind = RelayActionKind::kStartAttempt;
    action.attempt = id;
    action.from = tokens_.Size();
    action.reason = reason;
    actions_.push_back(std::move(action));
  }

  void CancelAttempt(AttemptId id) {
    RelayAction action;
    action.kind = RelayActionKind::kCancelAttempt;
    action.attempt = id;
    actions_.push_back(std::move(action));
  }

  void CancelAttemptsExcept(std::optional<AttemptId> kept) {
    for (auto it = attempts_.begin(); it != attempts_.end();) {
      if (kept && it->first == *kept) {
        ++it;
        continue;
      }
      CancelAttempt(it->first);
      it = attempts_.erase(it);
    }
    // Another attempt may now add tokens, or end the generation.
    if (appending_attempt_ && !attempts_.contains(*appending_attempt_)) {
      appending_attempt_.reset();
    }
  }

  void AcceptToken(AttemptId id, const UpstreamToken& token, base::Millis now) {
    Attempt& attempt = attempts_.at(id);
    attempt.has_token = true;
    attempt.has_timed_out = false;
    // The first attempt to bring the next token wins; others are closed.
    appending_attempt_ = id;
    CancelAttemptsExcept(id);
    const bool is_only_attempt =
        attempts_.size() == 1 && *appending_attempt_ == id;
    const uint64_t previous_digest = tokens_.LastDigest();
    if (!metrics_->Check(base::Invariant::kOneAttemptAppends,
                         is_only_attempt)) {
      Fail(base::Reason::kInvariantBroken, "two attempts appended");
      return;
    }
    metrics_->Check(base::Invariant::kAnswerMatchesRequest,
                    token.request_id == options_.request_id);
    tokens_.Append(token.text);
    metrics_->Check(
        base::Invariant::kDigestContinues,
        tokens_.LastDigest() == ExtendDigest(previous_digest, token.text));
    consecutive_failures_ = 0;
  }

  void OnUnexpectedIndex(AttemptId id, int64_t index, base::Millis now) {
    metrics_->Add(base::Counter::kTokensDropped);
    const Attempt& attempt = attempts_.at(id);
    const bool is_late_duplicate =
        attempt.first_index < tokens_.Size() && index >= 0 &&
        index >= static_cast<int64_t>(attempt.first_index) &&
        index < static_cast<int64_t>(tokens_.Size()) &&
        appending_attempt_ != id;
    if (is_late_duplicate) {
      // The other attempt was quicker: this one has lost.
      CancelAttempt(id);
      attempts_.erase(id);
      return;
    }
    const base::Reason reason = index == 0 ? base::Reason::kTargetRestarted
                                           : base::Reason::kTargetBroken;
    CancelAttempt(id);
    attempts_.erase(id);
    ReplaceLostAttempt(id, reason, now);
    QueueReadyActions(now);
  }

  /// Starts another attempt for a lost one, unless one is still running.
  void ReplaceLostAttempt(AttemptId id, base::Reason reason, base::Millis now) {
    if (appending_attempt_ == id) {
      appending_attempt_.reset();
    }
    ++consecutive_failures_;
    if (!attempts_.empty() || is_finished_) {
      return;
    }
    if (consecutive_failures_ > options_.maximum_failures) {
      Fail(reason, "targets were lost again and again");
      return;
    }
    if (policy_.OnLoss() == LossHandling::kStartAgain && tokens_.Size() > 0) {
      Restart();
    }
    StartAttempt(reason, now);
  }

  void Restart() {
    tokens_ = TokenSequence(tokens_.Generation() + 1);
    sent_count_ = 0;
    copy_progress_.Reset();
    // Actions that are still to be carried out speak of the old tokens.
    std::erase_if(actions_, [](const RelayAction& it) {
      return it.kind == RelayActionKind::kSend ||
             it.kind == RelayActionKind::kCopy;
    });
    RelayAction action;
    action.kind = RelayActionKind::kRestart;
    actions_.push_back(std::move(action));
  }

  base::Millis SilenceTimeoutOf(const Attempt& attempt) const {
    const base::Millis bound =
        attempt.has_token
            ? policy_.SilenceTimeout(gap_statistics_, tokens_.Size())
            : policy_.FirstTokenTimeout(gap_statistics_, tokens_.Size());
    return attempt.has_timed_out
               ? std::max(bound * 2, base::Millis{kSilenceTimeoutsMs.back()})
               : bound;
  }

  void CheckSilenceTimeouts(base::Millis now) {
    if (is_finished_) {
      return;
    }
    for (const auto& [id, attempt] : attempts_) {
      const bool is_silent = attempt.is_sent && now - attempt.last_event_at >=
                                                    SilenceTimeoutOf(attempt);
      if (!is_silent) {
        continue;
      }
      OnSilenceTimeout(id, now);
      return;
    }
  }

  void OnSilenceTimeout(AttemptId id, base::Millis now) {
    Attempt& attempt = attempts_.at(id);
    if (!attempt.has_timed_out) {
      // The stream stays open until another target has been found: it may
      // only be slow.
      attempt.has_timed_out = true;
      if (attempts_.size() == 1) {
        StartAttempt(base::Reason::kTargetSilent, now);
      }
      return;
    }
    CancelAttempt(id);
    attempts_.erase(id);
    ReplaceLostAttempt(id, base::Reason::kTargetSilent, now);
  }

  void Finish(std::string finish_reason) {
    is_finished_ = true;
    finish_reason_ = std::move(finish_reason);
    CancelAttemptsExcept(std::nullopt);
  }

  void QueueReadyActions(base::Millis now) {
    if (is_over_) {
      return;
    }
    auto copy = copy_progress_.StartNextCopy(tokens_.Size(), is_finished_, now);
    if (copy) {
      actions_.push_back(std::move(*copy));
    }
    Send();
    const bool is_all_sent = is_finished_ && sent_count_ == tokens_.Size();
    if (is_all_sent && copy_progress_.CanSendFinish()) {
      is_over_ = true;
      RelayAction action;
      action.kind = RelayActionKind::kFinish;
      actions_.push_back(std::move(action));
    }
  }

  void Send() {
    const size_t limit = copy_progress_.SendLimit(tokens_.Size());
    if (limit <= sent_count_) {
      return;
    }
    const size_t uncopied =
        limit - std::min(limit, copy_progress_.CopiedTokenCount());
    const bool is_sendable = uncopied == 0 || copy_progress_.IsSuspended();
    if (!metrics_->Check(base::Invariant::kCopiedBeforeSent, is_sendable)) {
      Fail(base::Reason::kInvariantBroken, "a token was not copied");
      return;
    }
    metrics_->Add(
        base::Counter::kTokensUncopied,
        static_cast<int64_t>(std::min(uncopied, limit - sent_count_)));
    RelayAction action;
    action.kind = RelayActionKind::kSend;
    action.from = sent_count_;
    action.to = limit;
    sent_count_ = limit;
    actions_.push_back(std::move(action));
  }

  void Fail(base::Reason reason, std::string detail) {
    is_over_ = true;
    CancelAttemptsExcept(std::nullopt);
    RelayAction action;
    action.kind = RelayActionKind::kFail;
    action.verdict.execution = last_attempt_ == 0
                                   ? base::Execution::kNotRun
                                   : base::Execution::kMayHaveRun;
    action.verdict.reason = reason;
    action.verdict.detail = std::move(detail);
    action.verdict.retry_after = kRetryAfter;
    actions_.push_back(std::move(action));
  }

  Policy policy_;
  RelayOptions options_;
  TokenSequence tokens_;
  base::Metrics* metrics_;

  base::Millis started_at_;
  std::map<AttemptId, Attempt> attempts_;
  std::optional<AttemptId> appending_attempt_;
  int last_attempt_ = 0;
  int consecutive_failures_ = 0;
  GapStatistics gap_statistics_;
  std::optional<base::Millis> waiting_for_target_since_;
  std::optional<base::Millis> retry_at_;

  CopyProgress copy_progress_;
  // Tokens below this index have gone to the caller.
  size_t sent_count_ = 0;

  bool is_finished_ = false;
  std::string finish_reason_;
  bool is_over_ = false;
  std::vector<RelayAction> actions_;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_RELAY_H_

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

/// A state machine that relays one generation from targets to a caller. The
/// driver (the code that owns the relay) passes in events and performs the
/// actions that TakeActions() returns. The relay holds no sockets and reads no
/// clock, so that tests can drive it with random event sequences. Each token is
/// sent once, in order and after a peer has stored it (unless copying is
/// suspended). Several attempts to run the generation on a target may be open
/// at once, but only one of them at a time may append tokens.
template <ResumePolicy Policy>
class Relay {
 public:
  Relay(Policy policy,
        RelayOptions options,
        TokenSequence tokens,
        base::Metrics* metrics)
      : policy_(std::move(policy)),
        options_(std::move(options)),
        tokens_(std::move(tokens)),
        metrics_(metrics),
        copy_progress_(options_.copy_options) {}

  /// Starts the relay. After a takeover, `sent` is the number of tokens that
  /// the caller already has, and `finish_reason` is set when the generation is
  /// complete.
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

  /// The driver has sent the request of attempt `id` to a target.
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

  /// The driver found no target for attempt `id`.
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
      FailWithReason(base::Reason::kNoTarget,
                     "no target can take the generation");
      return;
    }
    retry_at_ = now + kTargetRetryInterval;
  }

  /// The retry budget did not allow attempt `id`.
  void OnRetryRefused(AttemptId id) {
    attempts_.erase(id);
    if (attempts_.empty() && !is_over_) {
      FailWithReason(base::Reason::kRetryBudgetSpent,
                     "too many retries at present");
    }
  }

  /// The target has reported the index of the first token of its stream. Only a
  /// stream that starts at the requested index may append tokens.
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
      // The token belongs to an older attempt or to another request.
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
      FinishGeneration(std::move(ending.finish_reason));
      QueueReadyActions(now);
      return;
    }
    if (ending.kind == UpstreamEndKind::kOverloaded) {
      // An overloaded target does not count as lost. The relay waits for a
      // target with free capacity, as it does when the driver finds no target.
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
      FailWithReason(base::Reason::kSuperseded,
                     "another instance has taken over this generation");
      return;
    }
    QueueReadyActions(now);
  }

  void OnTick(base::Millis now) {
    if (is_over_) {
      return;
    }
    if (now - started_at_ >= options_.maximum_duration) {
      FailWithReason(base::Reason::kDeadlineExceeded,
                     "the deadline has passed");
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

  /// Returns the latest time at which OnTick() has to be called.
  base::Millis NextTick(base::Millis now) const {
    base::Millis next_tick = now + kMaximumTickInterval;
    next_tick = std::min(next_tick, started_at_ + options_.maximum_duration);
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

  /// Fails the relay on a decision of the driver, such as for a request that
  /// crashes its targets.
  void Abort(base::Reason reason, std::string detail) {
    if (!is_over_) {
      FailWithReason(reason, std::move(detail));
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
    /// The index of the first token that was requested from the target.
    size_t first_index = 0;
    bool is_sent = false;
    bool is_confirmed = false;
    bool has_token = false;
    /// The target has been silent for the policy's timeout, so a second attempt
    /// is started. This attempt counts as lost after a second, longer timeout
    /// (see SilenceTimeoutOf).
    bool has_timed_out = false;
    base::Millis last_event_at;
  };

  static constexpr base::Millis kTargetRetryInterval{50};
  static constexpr base::Millis kMaximumTickInterval{1000};
  // How long a caller should wait before it retries a failed request.
  static constexpr base::Millis kFailureRetryAfter{1000};

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
    // If the appending attempt was cancelled, another attempt may append tokens
    // or finish the generation.
    if (appending_attempt_ && !attempts_.contains(*appending_attempt_)) {
      appending_attempt_.reset();
    }
  }

  void AcceptToken(AttemptId id, const UpstreamToken& token, base::Millis now) {
    Attempt& attempt = attempts_.at(id);
    attempt.has_token = true;
    attempt.has_timed_out = false;
    // This attempt is the first to deliver the next token, so all other
    // attempts are cancelled.
    appending_attempt_ = id;
    CancelAttemptsExcept(id);
    const bool is_only_attempt =
        attempts_.size() == 1 && *appending_attempt_ == id;
    const uint64_t previous_digest = tokens_.LastDigest();
    if (!metrics_->CheckInvariant(base::Invariant::kOneAttemptAppends,
                                  is_only_attempt)) {
      FailWithReason(base::Reason::kInvariantBroken, "two attempts appended");
      return;
    }
    metrics_->CheckInvariant(base::Invariant::kAnswerMatchesRequest,
                             token.request_id == options_.request_id);
    tokens_.Append(token.text);
    metrics_->CheckInvariant(
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
      // Another attempt has already delivered this token.
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

  /// Starts a new attempt in place of the lost attempt `id`, unless another
  /// attempt is still running.
  void ReplaceLostAttempt(AttemptId id, base::Reason reason, base::Millis now) {
    if (appending_attempt_ == id) {
      appending_attempt_.reset();
    }
    ++consecutive_failures_;
    if (!attempts_.empty() || is_finished_) {
      return;
    }
    if (consecutive_failures_ > options_.maximum_failures) {
      FailWithReason(reason, "targets were lost again and again");
      return;
    }
    if (policy_.OnLoss() == LossHandling::kStartAgain && tokens_.Size() > 0) {
      RestartGeneration();
    }
    StartAttempt(reason, now);
  }

  void RestartGeneration() {
    tokens_ = TokenSequence(tokens_.Generation() + 1);
    sent_count_ = 0;
    copy_progress_.Reset();
    // Pending send and copy actions refer to the discarded tokens.
    std::erase_if(actions_, [](const RelayAction& it) {
      return it.kind == RelayActionKind::kSend ||
             it.kind == RelayActionKind::kCopy;
    });
    RelayAction action;
    action.kind = RelayActionKind::kRestart;
    actions_.push_back(std::move(action));
  }

  base::Millis SilenceTimeoutOf(const Attempt& attempt) const {
    const base::Millis timeout =
        attempt.has_token
            ? policy_.SilenceTimeout(gap_statistics_, tokens_.Size())
            : policy_.FirstTokenTimeout(gap_statistics_, tokens_.Size());
    return attempt.has_timed_out
               ? std::max(timeout * 2, base::Millis{kSilenceTimeoutsMs.back()})
               : timeout;
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
      // The target may only be slow, so its stream stays open until the second
      // attempt has been sent to a target, or has delivered the next token,
      // depending on the policy.
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

  void FinishGeneration(std::string finish_reason) {
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
    QueueSendAction();
    const bool is_all_sent = is_finished_ && sent_count_ == tokens_.Size();
    if (is_all_sent && copy_progress_.CanSendFinish()) {
      is_over_ = true;
      RelayAction action;
      action.kind = RelayActionKind::kFinish;
      actions_.push_back(std::move(action));
    }
  }

  void QueueSendAction() {
    const size_t limit = copy_progress_.SendLimit(tokens_.Size());
    if (limit <= sent_count_) {
      return;
    }
    const size_t uncopied =
        limit - std::min(limit, copy_progress_.CopiedTokenCount());
    const bool is_sendable = uncopied == 0 || copy_progress_.IsSuspended();
    if (!metrics_->CheckInvariant(base::Invariant::kCopiedBeforeSent,
                                  is_sendable)) {
      FailWithReason(base::Reason::kInvariantBroken, "a token was not copied");
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

  void FailWithReason(base::Reason reason, std::string detail) {
    is_over_ = true;
    CancelAttemptsExcept(std::nullopt);
    RelayAction action;
    action.kind = RelayActionKind::kFail;
    action.verdict.execution = last_attempt_ == 0
                                   ? base::Execution::kNotRun
                                   : base::Execution::kMayHaveRun;
    action.verdict.reason = reason;
    action.verdict.detail = std::move(detail);
    action.verdict.retry_after = kFailureRetryAfter;
    actions_.push_back(std::move(action));
  }

  Policy policy_;
  RelayOptions options_;
  TokenSequence tokens_;
  base::Metrics* metrics_;

  base::Millis started_at_;
  std::map<AttemptId, Attempt> attempts_;
  // The attempt that appended the latest token, unless that attempt has been
  // lost or cancelled.
  std::optional<AttemptId> appending_attempt_;
  // The number of the latest attempt, or zero before the first attempt.
  int last_attempt_ = 0;
  int consecutive_failures_ = 0;
  GapStatistics gap_statistics_;
  std::optional<base::Millis> waiting_for_target_since_;
  // When to start the next attempt after the driver found no target.
  std::optional<base::Millis> retry_at_;

  CopyProgress copy_progress_;
  // Tokens below this index have been sent to the caller.
  size_t sent_count_ = 0;

  // All tokens of the generation have arrived. Some may still have to be copied
  // and sent.
  bool is_finished_ = false;
  std::string finish_reason_;
  // The last action of the relay, kFinish or kFail, has been queued.
  bool is_over_ = false;
  std::vector<RelayAction> actions_;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_RELAY_H_

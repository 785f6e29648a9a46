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
#include "generation/progress.h"
#include "generation/relay_message.h"
#include "generation/relay_options.h"
#include "generation/resume_policy.h"

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
        Progress progress,
        base::Metrics* metrics)
      : policy_(std::move(policy)),
        options_(std::move(options)),
        progress_(std::move(progress)),
        metrics_(metrics),
        copying_(options_.copying) {}

  /// Starts with what a takeover brought: the caller has `sent` tokens, and
  /// the generation may be complete.
  void Start(size_t sent,
             std::optional<std::string> finish_reason,
             base::Millis now) {
    started_at_ = now;
    sent_ = sent;
    if (finish_reason) {
      is_finished_ = true;
      finish_reason_ = *finish_reason;
    } else {
      StartAttempt(base::Reason::kNone, now);
    }
    Pump(now);
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
    it->second.heard_at = now;
    gaps_ = gaps;
    if (policy_.OnSilence() == SilenceHandling::kReplace) {
      CancelAllBut(id);
    }
  }

  /// The driver found no target for an attempt.
  void OnNoTarget(AttemptId id, base::Millis now) {
    attempts_.erase(id);
    if (is_over_) {
      return;
    }
    if (!waiting_since_) {
      waiting_since_ = now;
    }
    if (!attempts_.empty()) {
      return;
    }
    const base::Millis patience = progress_.Size() == 0
                                      ? options_.start_patience
                                      : options_.target_patience;
    if (now - *waiting_since_ >= patience) {
      Fail(base::Reason::kNoTarget, "no target can take the generation");
      return;
    }
    retry_at_ = now + kRetryPause;
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
  void OnConfirmed(AttemptId id, int64_t first_index, base::Millis now) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || is_over_) {
      return;
    }
    it->second.heard_at = now;
    waiting_since_.reset();
    if (first_index == static_cast<int64_t>(it->second.first_index)) {
      it->second.is_confirmed = true;
      return;
    }
    Cancel(id);
    attempts_.erase(it);
    ReplaceLost(id, base::Reason::kTargetRestarted, now);
    Pump(now);
  }

  void OnToken(AttemptId id, const UpstreamToken& token, base::Millis now) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || is_over_) {
      metrics_->Add(base::Counter::kTokensDropped);
      return;
    }
    it->second.heard_at = now;
    const bool is_own =
        token.request_id == options_.request_id && token.attempt == id.value;
    if (!is_own) {
      // A token of an older attempt, or of another request.
      metrics_->Add(base::Counter::kTokensDropped);
      return;
    }
    const bool is_next = token.index == static_cast<int64_t>(progress_.Size());
    if (!is_next || !it->second.is_confirmed) {
      OnUnexpectedIndex(id, token.index, now);
      return;
    }
    Accept(id, token, now);
    Pump(now);
  }

  void OnUpstreamEnd(AttemptId id, UpstreamEnding ending, base::Millis now) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || is_over_) {
      return;
    }
    const bool may_finish = !appender_ || *appender_ == id;
    attempts_.erase(it);
    const bool is_whole =
        ending.end == UpstreamEnd::kFinished &&
        ending.token_count == static_cast<int64_t>(progress_.Size());
    if (is_whole && may_finish) {
      Finish(std::move(ending.finish_reason));
      Pump(now);
      return;
    }
    if (ending.end == UpstreamEnd::kOverloaded) {
      // Nothing is lost: a place has to be found elsewhere, or later.
      if (appender_ == id) {
        appender_.reset();
      }
      OnNoTarget(id, now);
      return;
    }
    ReplaceLost(id, ReasonOf(ending.end), now);
    Pump(now);
  }

  void OnCopyOutcome(CopyOutcome outcome, base::Millis now) {
    if (!copying_.IsOnItsWay() || is_over_) {
      return;
    }
    copying_.OnOutcome(outcome, now);
    if (outcome == CopyOutcome::kSuperseded) {
      Fail(base::Reason::kSuperseded,
           "another instance has taken over this generation");
      return;
    }
    Pump(now);
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
    if (copying_.Advance(now)) {
      copying_.OnOutcome(CopyOutcome::kFailed, now);
    }
    CheckSilence(now);
    Pump(now);
  }

  /// When OnTick() has to be called at the latest.
  base::Millis NextTick(base::Millis now) const {
    base::Millis due = now + kLongestTick;
    due = std::min(due, started_at_ + options_.deadline);
    if (retry_at_) {
      due = std::min(due, *retry_at_);
    }
    if (copying_.IsOnItsWay()) {
      due = std::min(due, copying_.Due());
    }
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.is_sent) {
        due = std::min(due, attempt.heard_at + BoundOf(attempt));
      }
    }
    return due;
  }

  /// Ends the relay from outside, such as for a condemned request.
  void Abort(base::Reason reason, std::string detail) {
    if (!is_over_) {
      Fail(reason, std::move(detail));
    }
  }

  std::vector<RelayAction> TakeActions() { return std::exchange(actions_, {}); }

  const Progress& Tokens() const { return progress_; }
  bool IsFinished() const { return is_finished_; }
  const std::string& FinishReason() const { return finish_reason_; }
  bool IsOver() const { return is_over_; }
  size_t SentCount() const { return sent_; }

 private:
  struct Attempt {
    /// The index that the target was asked to start at.
    size_t first_index = 0;
    bool is_sent = false;
    bool is_confirmed = false;
    bool has_token = false;
    /// It has been silent for the policy's bound: a second attempt has been
    /// asked for, and this one is lost after the longest bound.
    bool is_doubted = false;
    base::Millis heard_at;
  };

  static constexpr base::Millis kRetryPause{50};
  static constexpr base::Millis kLongestTick{1000};
  static constexpr base::Millis kRetryAfter{1000};

  void StartAttempt(base::Reason reason, base::Millis now) {
    const AttemptId id{++last_attempt_};
    Attempt attempt;
    attempt.first_index = progress_.Size();
    attempt.heard_at = now;
    attempts_[id] = attempt;
    RelayAction action;
    action.kind = RelayActionKind::kStartAttempt;
    action.attempt = id;
    action.from = progress_.Size();
    action.reason = reason;
    actions_.push_back(std::move(action));
  }

  void Cancel(AttemptId id) {
    RelayAction action;
    action.kind = RelayActionKind::kCancelAttempt;
    action.attempt = id;
    actions_.push_back(std::move(action));
  }

  void CancelAllBut(std::optional<AttemptId> kept) {
    for (auto it = attempts_.begin(); it != attempts_.end();) {
      if (kept && it->first == *kept) {
        ++it;
        continue;
      }
      Cancel(it->first);
      it = attempts_.erase(it);
    }
    // Another attempt may now add tokens, or end the generation.
    if (appender_ && !attempts_.contains(*appender_)) {
      appender_.reset();
    }
  }

  void Accept(AttemptId id, const UpstreamToken& token, base::Millis now) {
    Attempt& attempt = attempts_.at(id);
    attempt.has_token = true;
    attempt.is_doubted = false;
    // The first attempt to bring the next token wins; others are closed.
    appender_ = id;
    CancelAllBut(id);
    const bool is_sole = attempts_.size() == 1 && *appender_ == id;
    const uint64_t before = progress_.LastDigest();
    if (!metrics_->CheckInvariant(base::Invariant::kOneAttemptAppends,
                                  is_sole)) {
      Fail(base::Reason::kInvariantBroken, "two attempts appended");
      return;
    }
    metrics_->CheckInvariant(base::Invariant::kAnswerMatchesRequest,
                             token.request_id == options_.request_id);
    progress_.Append(token.text);
    metrics_->CheckInvariant(
        base::Invariant::kDigestContinues,
        progress_.LastDigest() == ExtendDigest(before, token.text));
    failures_ = 0;
  }

  void OnUnexpectedIndex(AttemptId id, int64_t index, base::Millis now) {
    metrics_->Add(base::Counter::kTokensDropped);
    const Attempt& attempt = attempts_.at(id);
    const bool is_late_duplicate =
        attempt.first_index < progress_.Size() && index >= 0 &&
        index >= static_cast<int64_t>(attempt.first_index) &&
        index < static_cast<int64_t>(progress_.Size()) && appender_ != id;
    if (is_late_duplicate) {
      // The other attempt was quicker: this one has lost.
      Cancel(id);
      attempts_.erase(id);
      return;
    }
    const base::Reason reason = index == 0 ? base::Reason::kTargetRestarted
                                           : base::Reason::kTargetBroken;
    Cancel(id);
    attempts_.erase(id);
    ReplaceLost(id, reason, now);
    Pump(now);
  }

  /// Starts another attempt for a lost one, unless one is still running.
  void ReplaceLost(AttemptId id, base::Reason reason, base::Millis now) {
    if (appender_ == id) {
      appender_.reset();
    }
    ++failures_;
    if (!attempts_.empty() || is_finished_) {
      return;
    }
    if (failures_ > options_.maximum_failures) {
      Fail(reason, "targets were lost again and again");
      return;
    }
    if (policy_.OnLoss() == LossHandling::kStartAgain && progress_.Size() > 0) {
      Restart();
    }
    StartAttempt(reason, now);
  }

  void Restart() {
    progress_ = Progress(progress_.Generation() + 1);
    sent_ = 0;
    copying_.Reset();
    // Actions that are still to be carried out speak of the old tokens.
    std::erase_if(actions_, [](const RelayAction& it) {
      return it.kind == RelayActionKind::kSend ||
             it.kind == RelayActionKind::kCopy;
    });
    RelayAction action;
    action.kind = RelayActionKind::kRestart;
    actions_.push_back(std::move(action));
  }

  base::Millis BoundOf(const Attempt& attempt) const {
    const base::Millis bound =
        attempt.has_token ? policy_.SilenceBound(gaps_, progress_.Size())
                          : policy_.FirstTokenBound(gaps_, progress_.Size());
    return attempt.is_doubted
               ? std::max(bound * 2, base::Millis{kSilenceBounds.back()})
               : bound;
  }

  void CheckSilence(base::Millis now) {
    if (is_finished_) {
      return;
    }
    for (const auto& [id, attempt] : attempts_) {
      const bool is_silent =
          attempt.is_sent && now - attempt.heard_at >= BoundOf(attempt);
      if (!is_silent) {
        continue;
      }
      OnSilent(id, now);
      return;
    }
  }

  void OnSilent(AttemptId id, base::Millis now) {
    Attempt& attempt = attempts_.at(id);
    if (!attempt.is_doubted) {
      // The stream stays open until another target has been found: it may
      // only be slow.
      attempt.is_doubted = true;
      if (attempts_.size() == 1) {
        StartAttempt(base::Reason::kTargetSilent, now);
      }
      return;
    }
    Cancel(id);
    attempts_.erase(id);
    ReplaceLost(id, base::Reason::kTargetSilent, now);
  }

  void Finish(std::string finish_reason) {
    is_finished_ = true;
    finish_reason_ = std::move(finish_reason);
    CancelAllBut(std::nullopt);
  }

  void Pump(base::Millis now) {
    if (is_over_) {
      return;
    }
    auto copy = copying_.StartNext(progress_.Size(), is_finished_, now);
    if (copy) {
      actions_.push_back(std::move(*copy));
    }
    Send();
    const bool is_all_sent = is_finished_ && sent_ == progress_.Size();
    if (is_all_sent && copying_.IsFinishCovered()) {
      is_over_ = true;
      RelayAction action;
      action.kind = RelayActionKind::kFinish;
      actions_.push_back(std::move(action));
    }
  }

  void Send() {
    const size_t limit = copying_.SendLimit(progress_.Size());
    if (limit <= sent_) {
      return;
    }
    const size_t uncopied = limit - std::min(limit, copying_.Copied());
    const bool is_covered = uncopied == 0 || copying_.IsOff();
    if (!metrics_->CheckInvariant(base::Invariant::kCopiedBeforeSent,
                                  is_covered)) {
      Fail(base::Reason::kInvariantBroken, "a token was not copied");
      return;
    }
    metrics_->Add(base::Counter::kTokensUncopied,
                  static_cast<int64_t>(std::min(uncopied, limit - sent_)));
    RelayAction action;
    action.kind = RelayActionKind::kSend;
    action.from = sent_;
    action.to = limit;
    sent_ = limit;
    actions_.push_back(std::move(action));
  }

  void Fail(base::Reason reason, std::string detail) {
    is_over_ = true;
    CancelAllBut(std::nullopt);
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
  Progress progress_;
  base::Metrics* metrics_;

  base::Millis started_at_;
  std::map<AttemptId, Attempt> attempts_;
  std::optional<AttemptId> appender_;
  int last_attempt_ = 0;
  int failures_ = 0;
  GapStatistics gaps_;
  std::optional<base::Millis> waiting_since_;
  std::optional<base::Millis> retry_at_;

  CopyProgress copying_;
  // Tokens below this index have gone to the caller.
  size_t sent_ = 0;

  bool is_finished_ = false;
  std::string finish_reason_;
  bool is_over_ = false;
  std::vector<RelayAction> actions_;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_RELAY_H_

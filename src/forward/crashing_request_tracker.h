#ifndef DAISYPOND_FORWARD_CRASHING_REQUEST_TRACKER_H_
#define DAISYPOND_FORWARD_CRASHING_REQUEST_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "forward/answer_window.h"
#include "forward/loss_evidence.h"
#include "forward/request_content.h"
#include "forward/suspect.h"
#include "forward/target_loss.h"

namespace daisypond::forward {

/// A prompt part that is blocked from now on, or not any more.
struct PromptPartChange {
  uint64_t prompt_part = 0;
  bool is_blocked = false;
  LossCount losses;
  size_t requests = 0;
  int answers = 0;
};

/// Blocks requests that are suspected to crash the targets they are sent to. A
/// target counts as lost when its connection breaks or when it is unreachable
/// or silent, as observed by this instance or reported by a peer. The loss
/// counts against a request that the target was about to run or had just begun
/// to run, and against each part of its prompt. Requests are identified by a
/// hash of their content, because callers send a failed request again, to any
/// instance; prompt parts by their ids, because different requests have the
/// same part. When several targets of a service in one failure domain are lost
/// at about the same time, the losses have a common cause; together they count
/// as one loss and as weaker evidence.
///
/// Harmless parts stand beside a part that crashes targets, and harmless
/// requests wait at the targets that it crashes. An answer clears all parts of
/// its prompt. Of the other parts, the one with the most losses and the fewest
/// recent answers is blocked; its losses count no more against others.
/// Reads no clock; all methods get the time as an argument.
class CrashingRequestTracker {
 public:
  /// A request is blocked when this many losses without a common cause count
  /// against it. A harmless request is rarely blocked: even when failure
  /// domains crash one after the other, few requests are sent to three targets
  /// that are lost before they answer.
  static constexpr size_t kTargetLossesUntilBlocked = 3;
  /// A request is also blocked when this many losses count against it, of which
  /// those with the same common cause count once.
  static constexpr size_t kLossEventsUntilBlocked = 5;
  /// Content whose losses are weak is blocked when this many of them have come
  /// since its last answer.
  static constexpr size_t kWeakLossEventsUntilBlocked = 6;
  /// A prompt part is blocked when its losses, less the weight of its answers,
  /// are at least this many.
  static constexpr int kScoreUntilPartBlocked = 4;
  /// A prompt part is blocked only if its losses come from at least this many
  /// different requests.
  static constexpr size_t kRequestsUntilPartBlocked = 2;
  /// If some losses of a prompt part are explained by a blocked part, it is
  /// blocked only when the others, less the weight of its answers, are at least
  /// this many.
  static constexpr int kUnexplainedScoreUntilPartBlocked = 3;
  /// A target that is down is found lost again with each failed connection.
  /// Within this time of the last failure it is still the same loss.
  static constexpr base::Millis kSameLossPeriod{3000};
  /// How long after its latest loss a request that is not blocked is tracked.
  /// Callers retry for up to 30 s.
  static constexpr base::Millis kRetentionPeriod{45'000};
  /// How long after its latest loss a request is blocked, and how long a prompt
  /// part is tracked.
  static constexpr base::Millis kBlockPeriod{600'000};
  /// How long after its latest loss a prompt part or content with weak losses
  /// is blocked. After that, the next loss blocks it again.
  static constexpr base::Millis kPartBlockPeriod{120'000};
  /// Another part may be blamed for the losses of a blocked part only within
  /// this time. Reports of the losses and answers of that time arrive later.
  static constexpr base::Millis kAttributionPeriod{2000};
  /// Maximum number of requests and prompt parts, and of losses, that are
  /// stored. Limits memory use; entries without losses are removed first, then
  /// those with the oldest.
  static constexpr size_t kMaximumTracked = 2000;
  /// Peers are told of requests and parts with at least this many losses. Most
  /// harmless requests that met a loss have only one.
  static constexpr size_t kLossEventsUntilShared = 2;
  /// Maximum number of suspects of which peers are told in one message, most
  /// losses first.
  static constexpr size_t kMaximumShared = 32;

  /// Records the loss of a target. `content` is that of a request that was sent
  /// to the target and not answered yet; empty when there is none.
  void OnTargetLost(const RequestContent& content,
                    const TargetLoss& target,
                    base::Millis now);

  /// Clears the losses counted against a request and its prompt parts up to
  /// `began_at`, when the target began to answer. A request that was answered
  /// does not crash targets.
  void OnRequestAnswered(const RequestContent& content,
                         base::Millis began_at,
                         base::Millis now);

  /// Adds what a peer knows of suspects.
  void OnSuspectedByPeer(const std::vector<Suspect>& suspects,
                         base::Millis now);

  /// Returns the suspects of which peers are to be told periodically.
  std::vector<Suspect> SharedSuspects(base::Millis now) const;

  /// True when there are prompt parts of which all peers are to be told soon.
  bool HasUnsharedParts() const { return !unshared_parts_.empty(); }
  /// Returns at most kMaximumShared of these parts and forgets that they were
  /// to be told.
  std::vector<Suspect> TakeUnsharedParts(base::Millis now);

  /// Returns the parts that were blocked or released since the last call.
  std::vector<PromptPartChange> TakePartChanges();

  /// True when enough lost targets count against the request or a part of its
  /// prompt; it must not be sent any more.
  bool IsBlocked(const RequestContent& content, base::Millis now) const;

  /// Returns the losses that count against the request or the prompt part.
  LossCount CountLosses(SuspectId id) const;

 private:
  /// Returns the entry of `recent_losses_` for a target that is still lost
  /// since an earlier report, or a new entry.
  const RecordedLoss& FindOrAddLoss(const TargetLoss& target, base::Millis now);
  /// Finds the recent losses at about the time of the new `loss`; updates
  /// `simultaneous` of all of them.
  void FindSimultaneous(RecordedLoss* loss);
  /// Copies `simultaneous` of `loss` to wherever it counts.
  void CopySimultaneous(const RecordedLoss& loss);
  void MergeFromPeer(const Suspect& suspect, base::Millis now);
  void ClearRequest(uint64_t request, base::Millis at);
  void ClearPromptPart(uint64_t prompt_part, base::Millis at, base::Millis now);
  LossCount CountOf(SuspectId id, const LossEvidence& evidence) const;
  bool IsBlocked(SuspectId id, const LossEvidence& evidence) const;
  bool IsHashBlocked(const RequestContent& content, base::Millis now) const;
  bool HasExpired(SuspectId id,
                  const LossEvidence& evidence,
                  base::Millis now) const;
  /// Returns how well a prompt part explains losses other than `explained`:
  /// their number, less the weight of its answers.
  static int ScoreOf(const LossEvidence& evidence,
                     const std::set<TargetProcess>& explained);
  static bool IsEnoughToBlockPart(const LossEvidence& evidence,
                                  const std::set<TargetProcess>& explained);
  /// Returns the part outside `blocked` that explains the losses best, or
  /// nothing if none has enough losses other than `explained`.
  std::optional<uint64_t> FindPartToBlock(
      const std::map<uint64_t, base::Millis>& blocked,
      const std::set<TargetProcess>& explained) const;
  /// Finds the blocked prompt parts again.
  void UpdateBlockedParts(base::Millis now);
  void RecordPartChange(uint64_t prompt_part, bool is_blocked);
  void RemoveExpired(base::Millis now);
  Suspect MakeSuspect(SuspectId id,
                      const LossEvidence& evidence,
                      base::Millis now) const;

  std::map<SuspectId, LossEvidence> suspects_;
  /// All target losses within kRetentionPeriod, ordered by time.
  std::deque<RecordedLoss> recent_losses_;
  AnswerWindow answers_;
  /// The blocked prompt parts and when they were blocked.
  std::map<uint64_t, base::Millis> blocked_parts_;
  /// The lost processes that had a request with a blocked part.
  std::set<TargetProcess> explained_;
  std::set<uint64_t> unshared_parts_;
  std::vector<PromptPartChange> part_changes_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CRASHING_REQUEST_TRACKER_H_

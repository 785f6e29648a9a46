#ifndef DAISYPOND_FORWARD_SEND_TRACKER_H_
#define DAISYPOND_FORWARD_SEND_TRACKER_H_

#include <cstdint>
#include <set>
#include <string>

#include "base/name_table.h"
#include "base/verdict.h"
#include "catalog/configuration.h"

namespace daisypond::forward {

/// The outcome of one send to a target.
enum class SendOutcome : uint8_t {
  /// No byte of the request left this instance.
  kNotSent,
  /// The target stated that it did not run the request.
  kRefused,
  /// The target sent a complete answer.
  kAnswered,
  /// Any other outcome: the target may have run the request or may still run
  /// it.
  kUnknown,
};

inline constexpr base::NameTable<SendOutcome, 4> kSendOutcomeNames("not_sent",
                                                                   "refused",
                                                                   "answered",
                                                                   "unknown");

/// Tracks the sends of one request. Decides whether the request may be sent
/// again, and whether the caller may be told that it has not run.
class SendTracker {
 public:
  SendTracker(catalog::Repeatability repeatability, int maximum_targets);

  /// Records that the request is about to be sent. Until OnSendEnded() is
  /// called, the target counts as one that may have run the request.
  void OnSend(const std::string& target);

  void OnSendEnded(const std::string& target, SendOutcome outcome);

  /// True when another send is allowed by the route's repeatability and maximum
  /// number of targets.
  bool MaySendAgain() const;

  /// True when the request may be sent to `target`. Only a resumable request
  /// may be sent again to a target that may have run it. Such a target counts
  /// only once towards the maximum number of targets.
  bool MaySendTo(const std::string& target) const;

  /// Returns kMayHaveRun when any send may have led to a run of the request,
  /// else kNotRun.
  base::Execution Execution() const;

  /// Returns the number of sends, including a send in progress, but without
  /// those that ended with kNotSent.
  int SendCount() const { return send_count_; }

 private:
  catalog::Repeatability repeatability_;
  size_t maximum_targets_;
  int send_count_ = 0;
  std::set<std::string> targets_that_may_have_run_;
  bool is_sending_ = false;
  /// True when no earlier send to the target of the current send may have led
  /// to a run of the request.
  bool is_first_send_to_target_ = false;
};

/// Returns the HTTP status of the response that reports `verdict` to the
/// caller. The statuses 503 and 429 state that the request has not run and
/// never will.
int HttpStatusForVerdict(const base::Verdict& verdict);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SEND_TRACKER_H_

#ifndef DAISYPOND_FORWARD_SEND_TRACKER_H_
#define DAISYPOND_FORWARD_SEND_TRACKER_H_

#include <cstdint>
#include <set>
#include <string>

#include "base/name_table.h"
#include "base/verdict.h"
#include "catalog/configuration.h"

namespace daisypond::forward {

/// What is known of one send when it has ended.
enum class SendOutcome : uint8_t {
  /// No byte of the request left this instance.
  kNotSent,
  /// The target said that it did not run the request.
  kRefused,
  /// The target answered in full.
  kAnswered,
  /// Anything else: the target may have run it, or may still.
  kUnknown,
};

inline constexpr base::NameTable<SendOutcome, 4> kSendOutcomeNames("not_sent",
                                                                   "refused",
                                                                   "answered",
                                                                   "unknown");

/// The sends of one request. Decides whether it may be sent once more and what
/// may be said of it to the caller.
class SendTracker {
 public:
  SendTracker(catalog::Repeatability repeatability, int maximum_targets);

  /// Notes that the request is about to be sent. Until OnSendEnded() the target
  /// counts as one that may have run it.
  void OnSend(const std::string& target);

  void OnSendEnded(const std::string& target, SendOutcome outcome);

  /// True when a further send can't break what the route asks for.
  bool MaySendAgain() const;

  /// True when `target` may get the request: one that may have run it before
  /// counts once against the bound on targets.
  bool MaySendTo(const std::string& target) const;

  /// What is known of all sends together.
  base::Execution Execution() const;

  /// SendCount that reached the wire, or may have.
  int SendCount() const { return send_count_; }

 private:
  catalog::Repeatability repeatability_;
  size_t maximum_targets_;
  int send_count_ = 0;
  /// Targets that may have run the request.
  std::set<std::string> targets_that_may_have_run_;
  bool is_sending_ = false;
  /// No earlier send to the present target may have run.
  bool is_first_send_to_target_ = false;
};

/// The HTTP status of an answer that this system makes itself. 503 and 429 say
/// that the request has not run and never will.
int HttpStatusForVerdict(const base::Verdict& verdict);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SEND_TRACKER_H_

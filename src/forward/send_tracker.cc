#include "forward/send_tracker.h"

#include <algorithm>

namespace daisypond::forward {

SendTracker::SendTracker(catalog::Repeatability repeatability,
                         int maximum_targets)
    : repeatability_(repeatability),
      maximum_targets_(static_cast<size_t>(std::max(maximum_targets, 1))) {}

void SendTracker::OnSend(const std::string& target) {
  ++send_count_;
  is_sending_ = true;
  is_first_send_to_target_ = targets_that_may_have_run_.insert(target).second;
}

void SendTracker::OnSendEnded(const std::string& target, SendOutcome outcome) {
  is_sending_ = false;
  if (outcome == SendOutcome::kNotSent) {
    --send_count_;
  }
  const bool has_not_run =
      outcome == SendOutcome::kNotSent || outcome == SendOutcome::kRefused;
  if (has_not_run && is_first_send_to_target_) {
    targets_that_may_have_run_.erase(target);
  }
}

bool SendTracker::MaySendAgain() const {
  if (is_sending_) {
    return false;
  }
  if (repeatability_ == catalog::Repeatability::kRunOnce) {
    return targets_that_may_have_run_.empty();
  }
  return targets_that_may_have_run_.size() < maximum_targets_;
}

bool SendTracker::MaySendTo(const std::string& target) const {
  return MaySendAgain() &&
         (repeatability_ == catalog::Repeatability::kResumable ||
          !targets_that_may_have_run_.contains(target));
}

base::Execution SendTracker::Execution() const {
  return targets_that_may_have_run_.empty() ? base::Execution::kNotRun
                                            : base::Execution::kMayHaveRun;
}

int HttpStatusForVerdict(const base::Verdict& verdict) {
  constexpr int kBadRequest = 400;
  constexpr int kUnauthorized = 401;
  constexpr int kNotFound = 404;
  constexpr int kRequestTimeout = 408;
  constexpr int kTooLarge = 413;
  constexpr int kHeaderTooLarge = 431;
  constexpr int kTooMany = 429;
  constexpr int kNotImplemented = 501;
  constexpr int kBadGateway = 502;
  constexpr int kUnavailable = 503;
  constexpr int kTimeout = 504;
  switch (verdict.reason) {
    case base::Reason::kBadRequest:
      return kBadRequest;
    case base::Reason::kUnauthorized:
      return kUnauthorized;
    case base::Reason::kUnknownRoute:
      return kNotFound;
    case base::Reason::kUnknownCoding:
      return kNotImplemented;
    case base::Reason::kRequestStalled:
      return kRequestTimeout;
    case base::Reason::kBodyTooLarge:
      return kTooLarge;
    case base::Reason::kHeaderTooLarge:
      return kHeaderTooLarge;
    default:
      break;
  }
  if (verdict.execution == base::Execution::kNotRun) {
    return verdict.reason == base::Reason::kWorkspaceLimit ? kTooMany
                                                           : kUnavailable;
  }
  const bool is_given_up = verdict.reason == base::Reason::kDeadlineExceeded ||
                           verdict.reason == base::Reason::kStopping;
  return is_given_up ? kTimeout : kBadGateway;
}

}  // namespace daisypond::forward

#include "forward/retry_limit.h"

namespace daisypond::forward {

void RetryLimit::Expire(std::deque<base::Millis>* times,
                        base::Millis now) const {
  while (!times->empty() && times->front() + options_.window <= now) {
    times->pop_front();
  }
}

void RetryLimit::OnRequest(const std::string& service, base::Millis now) {
  Counts& counts = services_[service];
  Expire(&counts.requests, now);
  counts.requests.push_back(now);
}

bool RetryLimit::TakeRetry(const std::string& service,
                           RetryUse use,
                           base::Millis now) {
  Counts& counts = services_[service];
  Expire(&counts.requests, now);
  Expire(&counts.retries, now);
  double limit = options_.ratio * static_cast<double>(counts.requests.size()) +
                 options_.allowance;
  if (use == RetryUse::kImprove) {
    limit *= options_.improve_share;
  }
  if (static_cast<double>(counts.retries.size()) + 1 > limit) {
    return false;
  }
  counts.retries.push_back(now);
  return true;
}

}  // namespace daisypond::forward

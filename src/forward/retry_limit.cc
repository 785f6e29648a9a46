#include "forward/retry_limit.h"

#include <algorithm>

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

double RetryLimit::LimitOf(const Counts& counts) const {
  return options_.ratio * static_cast<double>(counts.requests.size()) +
         options_.allowance;
}

bool RetryLimit::TakeRetry(const std::string& service,
                           RetryUse use,
                           base::Millis now) {
  Counts& counts = services_[service];
  Expire(&counts.requests, now);
  Expire(&counts.retries, now);
  const double share = use == RetryUse::kImprove ? options_.improve_share : 1.0;
  if (static_cast<double>(counts.retries.size()) + 1 <=
      LimitOf(counts) * share) {
    counts.retries.push_back(now);
    return true;
  }
  while (!counts.borrowed.empty() &&
         counts.borrowed.front() + options_.borrowed_life <= now) {
    counts.borrowed.pop_front();
  }
  if (use == RetryUse::kImprove || counts.borrowed.empty()) {
    return false;
  }
  counts.borrowed.pop_front();
  return true;
}

int RetryLimit::Lend(const std::string& service, int wanted, base::Millis now) {
  constexpr double kLentShare = 0.5;
  Counts& counts = services_[service];
  Expire(&counts.requests, now);
  Expire(&counts.retries, now);
  const double left =
      LimitOf(counts) - static_cast<double>(counts.retries.size());
  const int n = std::clamp(static_cast<int>(left * kLentShare), 0, wanted);
  counts.retries.insert(counts.retries.end(), static_cast<size_t>(n), now);
  return n;
}

void RetryLimit::OnBorrowed(const std::string& service,
                            int n,
                            base::Millis now) {
  auto& borrowed = services_[service].borrowed;
  borrowed.insert(borrowed.end(), static_cast<size_t>(std::max(n, 0)), now);
}

}  // namespace daisypond::forward

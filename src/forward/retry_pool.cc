#include "forward/retry_pool.h"

#include <algorithm>

namespace daisypond::forward {

void RetryPool::RemoveExpired(WindowSum* sum, base::Millis now) const {
  while (!sum->counts.empty() && sum->counts.front().at + window_ <= now) {
    sum->total -= sum->counts.front().n;
    sum->counts.pop_front();
  }
}

void RetryPool::Add(WindowSum* sum, int n, base::Millis now) {
  sum->counts.push_back({now, n});
  sum->total += n;
}

void RetryPool::OnRequests(const std::string& service,
                           int n,
                           base::Millis now) {
  WindowSum& requests = services_[service].requests;
  RemoveExpired(&requests, now);
  if (n > 0) {
    Add(&requests, n, now);
  }
}

int RetryPool::GrantRetries(const std::string& service,
                            int wanted,
                            base::Millis now) {
  Service& counts = services_[service];
  RemoveExpired(&counts.requests, now);
  RemoveExpired(&counts.granted, now);
  const double allowance = now < allowance_from_ ? 0 : allowance_;
  const double left = ratio_ * static_cast<double>(counts.requests.total) +
                      allowance - static_cast<double>(counts.granted.total);
  const int n = std::clamp(static_cast<int>(left), 0, std::max(wanted, 0));
  if (n > 0) {
    Add(&counts.granted, n, now);
  }
  return n;
}

}  // namespace daisypond::forward

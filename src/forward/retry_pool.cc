#include "forward/retry_pool.h"

#include <algorithm>

namespace daisypond::forward {

void RetryPool::Expire(Sum* sum, base::Millis now) const {
  while (!sum->counts.empty() && sum->counts.front().at + window_ <= now) {
    sum->total -= sum->counts.front().n;
    sum->counts.pop_front();
  }
}

void RetryPool::Add(Sum* sum, int n, base::Millis now) {
  sum->counts.push_back({now, n});
  sum->total += n;
}

void RetryPool::OnRequests(const std::string& service,
                           int n,
                           base::Millis now) {
  Sum& requests = services_[service].requests;
  Expire(&requests, now);
  if (n > 0) {
    Add(&requests, n, now);
  }
}

int RetryPool::Take(const std::string& service, int wanted, base::Millis now) {
  Service& counts = services_[service];
  Expire(&counts.requests, now);
  Expire(&counts.taken, now);
  const double left = ratio_ * static_cast<double>(counts.requests.total) +
                      allowance_ - static_cast<double>(counts.taken.total);
  const int n = std::clamp(static_cast<int>(left), 0, std::max(wanted, 0));
  if (n > 0) {
    Add(&counts.taken, n, now);
  }
  return n;
}

}  // namespace daisypond::forward

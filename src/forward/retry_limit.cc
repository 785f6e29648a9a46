#include "forward/retry_limit.h"

#include <algorithm>
#include <utility>

namespace daisypond::forward {

void RetryLimit::Expire(Counts* counts, base::Millis now) const {
  auto& requests = counts->requests;
  while (!requests.empty() && requests.front().at + options_.window <= now) {
    counts->request_shares -= requests.front().share;
    requests.pop_front();
  }
  auto& retries = counts->retries;
  while (!retries.empty() && retries.front() + options_.window <= now) {
    retries.pop_front();
  }
}

void RetryLimit::OnRequest(const std::string& service, base::Millis now) {
  Counts& counts = services_[service];
  Expire(&counts, now);
  const double share = is_pooled_ ? 1 - options_.pooled_share : 1;
  counts.requests.push_back({now, share});
  counts.request_shares += share;
  counts.unreported += is_pooled_ ? 1 : 0;
}

std::map<std::string, int> RetryLimit::TakeUnreported() {
  std::map<std::string, int> unreported;
  for (auto& it : services_) {
    if (it.second.unreported > 0) {
      unreported[it.first] = std::exchange(it.second.unreported, 0);
    }
  }
  return unreported;
}

double RetryLimit::LimitOf(const Counts& counts) const {
  return options_.ratio * counts.request_shares + options_.allowance;
}

bool RetryLimit::TakeRetry(const std::string& service,
                           RetryUse use,
                           base::Millis now) {
  Counts& counts = services_[service];
  Expire(&counts, now);
  // Rescues draw on the pool when there is one.
  const bool is_shared = use == RetryUse::kImprove && !is_pooled_;
  const double share = is_shared ? options_.improve_share : 1.0;
  if (static_cast<double>(counts.retries.size()) + 1 <=
      LimitOf(counts) * share) {
    counts.retries.push_back(now);
    return true;
  }
  ExpireBorrowed(&counts, now);
  if (use == RetryUse::kImprove || counts.borrowed.empty()) {
    return false;
  }
  counts.borrowed.pop_front();
  return true;
}

void RetryLimit::ExpireBorrowed(Counts* counts, base::Millis now) const {
  auto& borrowed = counts->borrowed;
  while (!borrowed.empty() &&
         borrowed.front() + options_.borrowed_life <= now) {
    borrowed.pop_front();
  }
}

int RetryLimit::Borrowed(const std::string& service, base::Millis now) {
  Counts& counts = services_[service];
  ExpireBorrowed(&counts, now);
  return static_cast<int>(counts.borrowed.size());
}

void RetryLimit::OnBorrowed(const std::string& service,
                            int n,
                            base::Millis now) {
  auto& borrowed = services_[service].borrowed;
  borrowed.insert(borrowed.end(), static_cast<size_t>(std::max(n, 0)), now);
}

}  // namespace daisypond::forward

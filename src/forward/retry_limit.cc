#include "forward/retry_limit.h"

#include <algorithm>
#include <utility>

namespace daisypond::forward {

void RetryLimit::RemoveExpired(ServiceCounts* counts, base::Millis now) const {
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
  ServiceCounts& counts = services_[service];
  RemoveExpired(&counts, now);
  const double share = uses_pool_ ? 1 - options_.pooled_share : 1;
  counts.requests.push_back({now, share});
  counts.request_shares += share;
  counts.unreported += uses_pool_ ? 1 : 0;
}

std::map<std::string, int> RetryLimit::TakeUnreportedRequests() {
  std::map<std::string, int> unreported;
  for (auto& it : services_) {
    if (it.second.unreported > 0) {
      unreported[it.first] = std::exchange(it.second.unreported, 0);
    }
  }
  return unreported;
}

double RetryLimit::LocalLimit(const ServiceCounts& counts,
                              base::Millis now) const {
  return options_.ratio * counts.request_shares +
         (now < options_.allowance_from ? 0 : options_.allowance);
}

bool RetryLimit::TakeRetry(const std::string& service,
                           RetryPurpose purpose,
                           base::Millis now) {
  ServiceCounts& counts = services_[service];
  RemoveExpired(&counts, now);
  // While a pool is in use, kResumeLostWork can borrow retries, so no part of
  // the limit is reserved for it.
  const bool is_limited_to_share =
      purpose == RetryPurpose::kReplaceErrorAnswer && !uses_pool_;
  const double share =
      is_limited_to_share ? options_.error_replacement_share : 1.0;
  if (static_cast<double>(counts.retries.size()) + 1 <=
      LocalLimit(counts, now) * share) {
    counts.retries.push_back(now);
    return true;
  }
  RemoveExpiredBorrowed(&counts, now);
  if (purpose == RetryPurpose::kReplaceErrorAnswer || counts.borrowed.empty()) {
    return false;
  }
  counts.borrowed.pop_front();
  return true;
}

void RetryLimit::RemoveExpiredBorrowed(ServiceCounts* counts,
                                       base::Millis now) const {
  auto& borrowed = counts->borrowed;
  while (!borrowed.empty() &&
         borrowed.front() + options_.borrowed_retry_lifetime <= now) {
    borrowed.pop_front();
  }
}

int RetryLimit::UnusedBorrowedRetries(const std::string& service,
                                      base::Millis now) {
  ServiceCounts& counts = services_[service];
  RemoveExpiredBorrowed(&counts, now);
  return static_cast<int>(counts.borrowed.size());
}

void RetryLimit::AddBorrowedRetries(const std::string& service,
                                    int n,
                                    base::Millis now) {
  auto& borrowed = services_[service].borrowed;
  borrowed.insert(borrowed.end(), static_cast<size_t>(std::max(n, 0)), now);
}

}  // namespace daisypond::forward

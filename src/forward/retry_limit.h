#ifndef DAISYPOND_FORWARD_RETRY_LIMIT_H_
#define DAISYPOND_FORWARD_RETRY_LIMIT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace daisypond::forward {

/// How much a repeated send is worth.
enum class RetryPurpose : uint8_t {
  /// Continues work that would be lost otherwise.
  kResumeLostWork,
  /// May turn a failed answer into a good one.
  kReplaceErrorAnswer,
};

struct RetryLimitOptions {
  base::Millis window{10'000};
  /// Repeated sends for each request within the window.
  double ratio = 0.5;
  /// Repeated sends beyond that.
  double allowance = 2;
  /// UnusedBorrowedRetries sends are made within this time or not at all, so
  /// that they fall into the window in which the peer counts them.
  base::Millis borrowed_retry_lifetime{1000};
  /// Part of the limit that kReplaceErrorAnswer may purpose without a pool; the
  /// rest is kept for rescues.
  double error_replacement_share = 0.6;
  /// Part of what a request adds to the limit that this instance gives to the
  /// shared pool while it has one.
  double pooled_share = 0.75;
};

/// Bounds the repeated sends to each service by the requests for it in a
/// sliding window. Each instance keeps to its own requests and gives up what
/// it passes to a shared pool, so the bound holds for all instances together
/// without agreement.
class RetryLimit {
 public:
  explicit RetryLimit(RetryLimitOptions options) : options_(options) {}

  void SetAllowance(double allowance) { options_.allowance = allowance; }

  /// Whether requests from now on count in part for the shared pool.
  void SetUsesPool(bool is_pooled) { is_pooled_ = is_pooled; }

  /// Requests since the last call that count in part for the pool.
  std::map<std::string, int> TakeUnreportedRequests();

  void OnRequest(const std::string& service, base::Millis now);

  /// ServiceCounts a repeated send; false when it would go over the limit.
  bool TakeRetry(const std::string& service,
                 RetryPurpose purpose,
                 base::Millis now);

  /// Repeated sends that the pool has granted and that are not made yet.
  int UnusedBorrowedRetries(const std::string& service, base::Millis now);

  /// Takes over repeated sends that the pool has counted.
  void AddBorrowedRetries(const std::string& service, int n, base::Millis now);

 private:
  struct CountedRequest {
    base::Millis at;
    /// Part of the ratio that it adds to this instance's own limit.
    double share = 1;
  };

  struct ServiceCounts {
    std::deque<CountedRequest> requests;
    double request_shares = 0;
    std::deque<base::Millis> retries;
    /// When sends were borrowed that have not been made yet.
    std::deque<base::Millis> borrowed;
    int unreported = 0;
  };

  double LocalLimit(const ServiceCounts& counts) const;

  void RemoveExpired(ServiceCounts* counts, base::Millis now) const;
  void RemoveExpiredBorrowed(ServiceCounts* counts, base::Millis now) const;

  RetryLimitOptions options_;
  bool is_pooled_ = false;
  std::map<std::string, ServiceCounts> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RETRY_LIMIT_H_

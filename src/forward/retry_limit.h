#ifndef DAISYPOND_FORWARD_RETRY_LIMIT_H_
#define DAISYPOND_FORWARD_RETRY_LIMIT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace daisypond::forward {

/// What a retry is for. Retries that resume lost work take precedence.
enum class RetryPurpose : uint8_t {
  /// Continues work that would otherwise be lost.
  kResumeLostWork,
  /// Retries a request that got an error response, in case another target
  /// succeeds.
  kReplaceErrorAnswer,
};

struct RetryLimitOptions {
  base::Millis window{10'000};
  /// Retries allowed per request within the window.
  double ratio = 0.5;
  /// Retries allowed within the window in addition to the ratio.
  double allowance = 2;
  /// Borrowed retries expire after this time, so that they are used within the
  /// window in which the peer counts them.
  base::Millis borrowed_retry_lifetime{1000};
  /// Share of the limit that kReplaceErrorAnswer may use when there is no pool;
  /// the rest is reserved for kResumeLostWork.
  double error_replacement_share = 0.6;
  /// Share of the ratio that each request adds to the shared pool instead of to
  /// the local limit, while a pool is in use.
  double pooled_share = 0.75;
};

/// Limits the retries to each service in proportion to the requests for it in a
/// sliding window. Each instance counts only its own requests and subtracts the
/// share that it contributes to the shared pool. The limit therefore holds for
/// all instances together without coordination.
class RetryLimit {
 public:
  explicit RetryLimit(RetryLimitOptions options) : options_(options) {}

  void SetAllowance(double allowance) { options_.allowance = allowance; }

  /// Sets whether requests from now on contribute a share to the shared pool.
  void SetUsesPool(bool uses_pool) { uses_pool_ = uses_pool; }

  /// Returns the number of requests by service that contribute to the pool and
  /// were not returned by an earlier call.
  std::map<std::string, int> TakeUnreportedRequests();

  void OnRequest(const std::string& service, base::Millis now);

  /// Counts a retry. Returns false, without counting it, when it would exceed
  /// the limit.
  bool TakeRetry(const std::string& service,
                 RetryPurpose purpose,
                 base::Millis now);

  /// Retries that the pool has granted and that are neither used nor expired.
  int UnusedBorrowedRetries(const std::string& service, base::Millis now);

  /// Adds `n` retries that the pool has granted. The pool has already counted
  /// them.
  void AddBorrowedRetries(const std::string& service, int n, base::Millis now);

 private:
  struct CountedRequest {
    base::Millis at;
    /// Share of the ratio that the request adds to this instance's own limit.
    double share = 1;
  };

  struct ServiceCounts {
    std::deque<CountedRequest> requests;
    double request_shares = 0;
    std::deque<base::Millis> retries;
    /// Times at which the unused borrowed retries were granted.
    std::deque<base::Millis> borrowed;
    int unreported = 0;
  };

  double LocalLimit(const ServiceCounts& counts) const;

  void RemoveExpired(ServiceCounts* counts, base::Millis now) const;
  void RemoveExpiredBorrowed(ServiceCounts* counts, base::Millis now) const;

  RetryLimitOptions options_;
  bool uses_pool_ = false;
  std::map<std::string, ServiceCounts> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RETRY_LIMIT_H_

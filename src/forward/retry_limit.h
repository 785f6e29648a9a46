#ifndef DAISYPOND_FORWARD_RETRY_LIMIT_H_
#define DAISYPOND_FORWARD_RETRY_LIMIT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace daisypond::forward {

/// The purpose of a retry. Part of the retry limit can be used only by
/// kResumeLostWork.
enum class RetryPurpose : uint8_t {
  /// Continues work that would otherwise be lost.
  kResumeLostWork,
  /// Retries a request that got an error response, in case another target
  /// succeeds.
  kReplaceErrorAnswer,
};

struct RetryLimitOptions {
  /// Length of the sliding window in which requests and retries are counted.
  base::Millis window{10'000};
  /// Retries allowed per request within the window.
  double ratio = 0.5;
  /// Retries allowed within the window in addition to those that `ratio`
  /// allows.
  double allowance = 2;
  /// No such retries are allowed before this time: a process does not know how
  /// many it made before a restart.
  base::Millis allowance_from;
  /// A borrowed retry expires after this time. The pool counts a retry when it
  /// grants it, so the retry must be used soon after that.
  base::Millis borrowed_retry_lifetime{1000};
  /// Share of the limit that kReplaceErrorAnswer may use while no shared pool
  /// is in use; the rest is reserved for kResumeLostWork.
  double error_replacement_share = 0.6;
  /// While a shared pool is in use: share of the retries allowed per request
  /// that goes to the pool instead of to the limit of this instance.
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

  /// Sets whether a shared pool is in use. Later requests then contribute
  /// `pooled_share` to the pool.
  void SetUsesPool(bool uses_pool) { uses_pool_ = uses_pool; }

  /// Returns, by service, the number of requests that contribute to the shared
  /// pool and were counted since the last call.
  std::map<std::string, int> TakeUnreportedRequests();

  void OnRequest(const std::string& service, base::Millis now);

  /// Counts a retry. Returns false, without counting it, when it would exceed
  /// the limit.
  bool TakeRetry(const std::string& service,
                 RetryPurpose purpose,
                 base::Millis now);

  /// Returns the number of retries that the pool has granted and that are
  /// neither used nor expired.
  int UnusedBorrowedRetries(const std::string& service, base::Millis now);

  /// Adds `n` retries that the pool has granted. They do not count towards the
  /// limit of this instance, because the pool counts them.
  void AddBorrowedRetries(const std::string& service, int n, base::Millis now);

 private:
  struct CountedRequest {
    base::Millis at;
    /// Each request raises the number of allowed retries by `ratio`. This
    /// fraction of the increase counts for the limit of this instance, the rest
    /// for the shared pool.
    double share = 1;
  };

  struct ServiceCounts {
    std::deque<CountedRequest> requests;
    /// Sum of the shares of `requests`.
    double request_shares = 0;
    /// Times of the retries within the window, without borrowed ones.
    std::deque<base::Millis> retries;
    /// Times at which the unused borrowed retries were granted.
    std::deque<base::Millis> borrowed;
    /// Number of requests to be returned by TakeUnreportedRequests().
    int unreported = 0;
  };

  double LocalLimit(const ServiceCounts& counts, base::Millis now) const;

  void RemoveExpired(ServiceCounts* counts, base::Millis now) const;
  void RemoveExpiredBorrowed(ServiceCounts* counts, base::Millis now) const;

  RetryLimitOptions options_;
  bool uses_pool_ = false;
  std::map<std::string, ServiceCounts> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RETRY_LIMIT_H_

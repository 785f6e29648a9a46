#ifndef DAISYPOND_FORWARD_RETRY_POOL_H_
#define DAISYPOND_FORWARD_RETRY_POOL_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace daisypond::forward {

/// A pool of retries that instances share. Each instance reports the requests
/// that it receives; they increase the number of retries in the pool. Any
/// instance may borrow these retries, regardless of how many requests it
/// reported. The pool is needed when all engines of a failure domain crash
/// together: the instances that lose many streams then need more retries than
/// their own limits allow. The pool is empty after a restart of the process, so
/// a restart can only reduce the number of retries. Reads no clock; all methods
/// get the time as an argument.
class RetryPool {
 public:
  RetryPool(base::Millis window, double ratio)
      : window_(window), ratio_(ratio) {}

  /// Sets the number of retries allowed within the window in addition to those
  /// that the ratio allows. None are allowed before `from`: it must be a window
  /// after the retries granted by another holder, or by this one before a
  /// restart, which this pool does not know.
  void SetAllowance(double allowance, base::Millis from) {
    allowance_ = allowance;
    allowance_from_ = from;
  }

  /// Counts `n` requests that an instance received since its last report.
  void OnRequests(const std::string& service, int n, base::Millis now);

  /// Grants and counts up to `wanted` retries. Returns the number granted.
  int GrantRetries(const std::string& service, int wanted, base::Millis now);

 private:
  /// A number of requests or retries that were counted at the same time.
  struct TimedCount {
    base::Millis at;
    int n = 0;
  };

  /// The counts made within the window, and their total.
  struct WindowSum {
    std::deque<TimedCount> counts;
    int64_t total = 0;
  };

  struct Service {
    WindowSum requests;
    /// Retries granted to all instances.
    WindowSum granted;
  };

  void RemoveExpired(WindowSum* sum, base::Millis now) const;
  static void Add(WindowSum* sum, int n, base::Millis now);

  base::Millis window_;
  double ratio_;
  double allowance_ = 0;
  base::Millis allowance_from_;
  std::map<std::string, Service> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RETRY_POOL_H_

#ifndef DAISYPOND_FORWARD_RETRY_POOL_H_
#define DAISYPOND_FORWARD_RETRY_POOL_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace daisypond::forward {

/// Repeated sends that instances draw from together. Instances report the
/// requests that they have granted and get repeated sends in return, whoever
/// needs them. Answers the load in which a failure domain's engines crash
/// together: the instances that lose many streams then are not those that
/// have sends left. State is lost with the process, which errs low. Pure: time
/// comes in as an argument.
class RetryPool {
 public:
  RetryPool(base::Millis window, double ratio)
      : window_(window), ratio_(ratio) {}

  /// Repeated sends beyond the ratio.
  void SetAllowance(double allowance) { allowance_ = allowance; }

  /// An instance has granted `n` requests since its last report.
  void OnRequests(const std::string& service, int n, base::Millis now);

  /// Counts up to `wanted` repeated sends. Returns how many may be made.
  int GrantRetries(const std::string& service, int wanted, base::Millis now);

 private:
  struct TimedCount {
    base::Millis at;
    int n = 0;
  };

  /// Counts within the window, with their sum.
  struct WindowSum {
    std::deque<TimedCount> counts;
    int64_t total = 0;
  };

  struct Service {
    WindowSum requests;
    WindowSum granted;
  };

  void RemoveExpired(WindowSum* sum, base::Millis now) const;
  static void Add(WindowSum* sum, int n, base::Millis now);

  base::Millis window_;
  double ratio_;
  double allowance_ = 0;
  std::map<std::string, Service> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RETRY_POOL_H_

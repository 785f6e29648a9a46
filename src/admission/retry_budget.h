#ifndef DAISYPOND_ADMISSION_RETRY_BUDGET_H_
#define DAISYPOND_ADMISSION_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>
#include <mutex>

namespace daisypond::admission {

/// Limits retries to a percentage of the first attempts, so that target losses
/// under load do not multiply the load. Thread-safe.
class RetryBudget {
 public:
  /// Sets how many retries are allowed per 100 first attempts.
  void Configure(int64_t percent) {
    const std::lock_guard lock(mutex_);
    percent_ = static_cast<double>(percent);
  }

  void OnFirstAttempt() {
    const std::lock_guard lock(mutex_);
    credit_ = std::min(kMaximumCredit, credit_ + percent_ / kPercentDivisor);
  }

  /// Takes one retry from the budget. Returns false if less than one retry is
  /// left.
  bool TakeRetry() {
    const std::lock_guard lock(mutex_);
    if (credit_ < 1) {
      return false;
    }
    credit_ -= 1;
    return true;
  }

 private:
  static constexpr double kPercentDivisor = 100;
  // Maximum number of unused retries that accumulate. Covers one retry for each
  // stream of one lost target.
  static constexpr double kMaximumCredit = 32;

  std::mutex mutex_;
  double percent_ = 10;
  double credit_ = kMaximumCredit;
};

}  // namespace daisypond::admission

#endif  // DAISYPOND_ADMISSION_RETRY_BUDGET_H_

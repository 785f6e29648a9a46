#ifndef DAISYPOND_FORWARD_RETRY_LIMIT_H_
#define DAISYPOND_FORWARD_RETRY_LIMIT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace daisypond::forward {

/// How much a repeated send is worth.
enum class RetryUse : uint8_t {
  /// Continues work that would be lost otherwise.
  kRescue,
  /// May turn a failed answer into a good one.
  kImprove,
};

struct RetryLimitOptions {
  base::Millis window{10'000};
  /// Repeated sends for each request within the window.
  double ratio = 0.5;
  /// Repeated sends beyond that.
  double allowance = 2;
  /// Borrowed sends are made within this time or not at all, so that they fall
  /// into the window in which the peer counts them.
  base::Millis borrowed_life{1000};
  /// Part of the limit that kImprove may use; the rest is kept for rescues.
  double improve_share = 0.6;
};

/// Bounds the repeated sends to each service by the requests for it in a
/// sliding window. Each instance keeps its own ratio, so the bound holds for
/// all instances together without agreement.
class RetryLimit {
 public:
  explicit RetryLimit(RetryLimitOptions options) : options_(options) {}

  void SetAllowance(double allowance) { options_.allowance = allowance; }

  void OnRequest(const std::string& service, base::Millis now);

  /// Counts a repeated send; false when it would go over the limit.
  bool TakeRetry(const std::string& service, RetryUse use, base::Millis now);

  /// Counts up to `wanted` repeated sends that a peer makes, as far as half of
  /// what is left allows. Returns how many.
  int Lend(const std::string& service, int wanted, base::Millis now);

  /// Takes over repeated sends that a peer has counted.
  void OnBorrowed(const std::string& service, int n, base::Millis now);

 private:
  struct Counts {
    std::deque<base::Millis> requests;
    std::deque<base::Millis> retries;
    /// When sends were borrowed that have not been made yet.
    std::deque<base::Millis> borrowed;
  };

  double LimitOf(const Counts& counts) const;

  void Expire(std::deque<base::Millis>* times, base::Millis now) const;

  RetryLimitOptions options_;
  std::map<std::string, Counts> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RETRY_LIMIT_H_

#include "forward/request_permit_pool.h"

#include <algorithm>

namespace daisypond::forward {

namespace {

constexpr double kMillisPerSecond = 1000;
// The longest wait that is asked of an instance. A limit may be raised or
// lifted at any time.
constexpr base::Millis kMaximumWait{2000};

}  // namespace

RequestPermit RequestPermitPool::Take(const TargetProcess& target,
                                      double limit,
                                      base::Millis now) {
  std::erase_if(buckets_, [&](const auto& it) {
    return now - it.second.updated_at >= kRetentionPeriod;
  });
  const auto [it, is_new] = buckets_.try_emplace(target);
  Bucket& bucket = it->second;
  const double rate =
      std::max(limit, kMinimumPermitsPerSecond) / kMillisPerSecond;
  if (!is_new) {
    bucket.permits = std::min(
        kMaximumUnusedPermits,
        bucket.permits +
            rate * static_cast<double>((now - bucket.updated_at).count));
  }
  bucket.updated_at = now;
  if (bucket.permits >= 1) {
    bucket.permits -= 1;
    bucket.refused = 0;
    return {true, {}};
  }
  ++bucket.refused;
  // Instances that are refused one after the other come back in turn.
  const double wait = (bucket.refused - bucket.permits) / rate;
  return {false,
          std::min(kMaximumWait, base::Millis{static_cast<int64_t>(wait) + 1})};
}

}  // namespace daisypond::forward

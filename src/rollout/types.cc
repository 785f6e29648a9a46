#include "rollout/types.h"

#include <algorithm>
#include <cmath>

namespace daisypond::rollout {

size_t LatencyBucket(base::Millis latency) {
  if (latency.count <= 1) {
    return 0;
  }
  const double power = 2 * std::log2(static_cast<double>(latency.count));
  return std::min(static_cast<size_t>(power), LatencyCounts::kBuckets - 1);
}

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& other) {
  answered += other.answered;
  failed += other.failed;
  for (size_t i = 0; i < LatencyCounts::kBuckets; ++i) {
    latencies.counts[i] += other.latencies.counts[i];
  }
  return *this;
}

}  // namespace daisypond::rollout

#include "gateway/forwarder_options.h"

#include <algorithm>

namespace daisypond::gateway {

namespace {

// Instances count requests and retries in sliding windows that are not aligned
// with each other, so the ratio is reduced to stay within the total limit.
constexpr double kRatioSafetyFactor = 0.95;
// Shares of the slack that all instances together may use directly and through
// the shared pools. The rest covers instances that have not discovered the
// others yet, and groups that a network partition separates.
constexpr double kLocalSlackShare = 0.2;
constexpr double kPooledSlackShare = 0.4;
// Group size assumed until the other instances are known. No deployment has
// many more instances.
constexpr size_t kAssumedMemberCount = 350;

}  // namespace

forward::ForwarderOptions MakeForwarderOptions(const Settings& settings) {
  forward::ForwarderOptions options;
  options.instance = settings.instance;
  options.failure_domain = settings.failure_domain;
  options.retries.window = settings.retries.window;
  options.retries.ratio = settings.retries.ratio * kRatioSafetyFactor;
  options.retries.allowance =
      RetryAllowancePerMember(settings, kAssumedMemberCount);
  return options;
}

forward::RetryPool MakeRetryPool(const Settings& settings) {
  const forward::RetryLimitOptions options;
  forward::RetryPool pool(
      settings.retries.window,
      settings.retries.ratio * kRatioSafetyFactor * options.pooled_share);
  pool.SetAllowance(settings.retries.slack * kPooledSlackShare /
                    static_cast<double>(kPoolHolderCount));
  return pool;
}

double RetryAllowancePerMember(const Settings& settings, size_t members) {
  return settings.retries.slack * kLocalSlackShare /
         static_cast<double>(std::max<size_t>(members, 1));
}

}  // namespace daisypond::gateway

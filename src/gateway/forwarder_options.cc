#include "gateway/forwarder_options.h"

#include <algorithm>

namespace daisypond::gateway {

namespace {

// Instances count requests and retries in sliding windows that are not aligned
// with each other, so the ratio is reduced to stay within the total limit.
constexpr double kRatioSafetyFactor = 0.95;
// Shares of RetrySettings::slack (retries allowed in addition to the ratio):
// kLocalSlackShare is divided among all instances, kPooledSlackShare among the
// shared pools. The rest covers retries that exceed these shares while some
// instances have not discovered the others or a network partition separates
// them.
constexpr double kLocalSlackShare = 0.2;
constexpr double kPooledSlackShare = 0.4;
// Number of instances that is assumed until the other instances are known. No
// deployment has many more.
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

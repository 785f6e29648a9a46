#include "gateway/forwarder_options.h"

#include <algorithm>

namespace daisypond::gateway {

namespace {

// Requests and repeated sends are counted in windows that other instances
// place differently.
constexpr double kRatioShare = 0.95;
// Parts of the slack that all instances use by themselves and from the pools.
// The rest covers instances that have not noticed others yet, and groups that
// are cut off from each other.
constexpr double kOwnSlackShare = 0.2;
constexpr double kPooledSlackShare = 0.4;
// Until others are known; no deployment has many more instances.
constexpr size_t kAssumedMembers = 350;

}  // namespace

forward::ForwarderOptions ForwarderOptionsOf(const Settings& settings) {
  forward::ForwarderOptions options;
  options.instance = settings.instance;
  options.failure_domain = settings.failure_domain;
  options.retries.window = settings.retries.window;
  options.retries.ratio = settings.retries.ratio * kRatioShare;
  options.retries.allowance = AllowanceOf(settings, kAssumedMembers);
  return options;
}

forward::RetryPool RetryPoolOf(const Settings& settings) {
  const forward::RetryLimitOptions options;
  forward::RetryPool pool(
      settings.retries.window,
      settings.retries.ratio * kRatioShare * options.pooled_share);
  pool.SetAllowance(settings.retries.slack * kPooledSlackShare /
                    static_cast<double>(kPoolHolders));
  return pool;
}

double AllowanceOf(const Settings& settings, size_t members) {
  return settings.retries.slack * kOwnSlackShare /
         static_cast<double>(std::max<size_t>(members, 1));
}

}  // namespace daisypond::gateway

#include "gateway/forwarder_options.h"

#include <algorithm>

namespace daisypond::gateway {

namespace {

// Factor applied to RetrySettings::ratio (retries allowed per request). Each
// instance counts requests and retries in its own sliding window, and these
// windows are not aligned. The factor keeps the retries of all instances
// together within the configured ratio in spite of that.
constexpr double kRatioSafetyFactor = 0.95;
// Shares of RetrySettings::slack (retries allowed in addition to the ratio):
// kLocalSlackShare is divided among all instances, kPooledSlackShare among the
// shared pools of retries. The rest is kept in reserve, because instances
// exceed these shares while they have not discovered all others or while a
// network partition separates them.
constexpr double kLocalSlackShare = 0.2;
constexpr double kPooledSlackShare = 0.4;
// Assumed number of instances until this instance has discovered the others. No
// deployment has many more instances than this.
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

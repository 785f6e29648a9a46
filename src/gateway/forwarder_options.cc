#include "gateway/forwarder_options.h"

#include <algorithm>

namespace daisypond::gateway {

namespace {

// Requests and repeated sends are counted in windows that other instances
// place differently.
constexpr double kRatioShare = 0.95;
// The rest covers instances that have not noticed others yet.
constexpr double kSlackShare = 0.6;
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
  return {settings.retries.window,
          settings.retries.ratio * kRatioShare * options.pooled_share};
}

double AllowanceOf(const Settings& settings, size_t members) {
  return settings.retries.slack * kSlackShare /
         static_cast<double>(std::max<size_t>(members, 1));
}

}  // namespace daisypond::gateway

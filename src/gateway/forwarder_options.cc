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
// Assumed number of instances until this instance has discovered another one.
// No deployment has many more instances than this.
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
  options.retries.allowance_from = base::Clock::Now() + settings.retries.window;
  if (settings.memory_mb > 0) {
    options.room =
        intake::MakeRoomPlan(static_cast<size_t>(settings.memory_mb) << 20);
  }
  return options;
}

forward::RetryPool MakeRetryPool(const Settings& settings) {
  const forward::RetryLimitOptions options;
  return forward::RetryPool(
      settings.retries.window,
      settings.retries.ratio * kRatioSafetyFactor * options.pooled_share);
}

double RetryAllowancePerPool(const Settings& settings) {
  return settings.retries.slack * kPooledSlackShare /
         static_cast<double>(kPoolHolderCount);
}

double RetryAllowancePerMember(const Settings& settings, size_t members) {
  const bool is_only_instance =
      members <= 1 &&
      std::all_of(settings.seed_peers.begin(), settings.seed_peers.end(),
                  [&](const auto& it) { return it == settings.peer_listen; });
  const size_t n =
      members > 1 || is_only_instance ? members : kAssumedMemberCount;
  return settings.retries.slack * kLocalSlackShare /
         static_cast<double>(std::max<size_t>(n, 1));
}

}  // namespace daisypond::gateway

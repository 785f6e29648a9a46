#include "gateway/connection_plan.h"

#include <algorithm>

namespace daisypond::gateway {

namespace {

// Descriptors for files and pipes. The platform keeps as many of them apart.
constexpr size_t kFileDescriptors = 200;
constexpr size_t kFileShare = 8;
// Descriptors for the table service, the status server and the connections of a
// group of 300 instances.
constexpr size_t kControlDescriptors = 600;
constexpr size_t kControlShare = 4;
constexpr size_t kMaximumTunnels = 512;
constexpr size_t kTunnelShare = 12;
// What a tunnel takes (buffers, coroutines, and received bytes that wait for a
// slow side), and the part of the memory that tunnels may use.
constexpr size_t kTunnelBytes = 96u << 10;
constexpr size_t kTunnelMemoryShare = 6;
// The same for a caller's connection that is idle.
constexpr size_t kCallerBytes = 8u << 10;
constexpr size_t kCallerMemoryShare = 8;
// Of the descriptors for callers and targets, callers leave at least this share
// to targets.
constexpr size_t kTargetsShare = 8;
constexpr size_t kBatchShare = 64;

}  // namespace

ConnectionPlan MakeConnectionPlan(size_t descriptors, size_t memory_bytes) {
  const size_t usable =
      descriptors - std::min(kFileDescriptors, descriptors / kFileShare);
  const size_t control = std::min(kControlDescriptors, usable / kControlShare);
  ConnectionPlan plan;
  plan.tunnels = std::min({kMaximumTunnels, usable / kTunnelShare,
                           memory_bytes / kTunnelMemoryShare / kTunnelBytes});
  plan.shared = usable - control - 2 * plan.tunnels;
  plan.targets_reserve = plan.shared / kTargetsShare;
  plan.callers = std::max<size_t>(
      1, std::min(plan.shared - 2 * plan.targets_reserve,
                  memory_bytes / kCallerMemoryShare / kCallerBytes));
  return plan;
}

size_t ExcessCallers(const ConnectionPlan& plan, const OpenConnections& open) {
  const size_t n_shared = open.callers + open.targets + plan.targets_reserve;
  const size_t beyond_callers =
      open.callers + 1 - std::min(open.callers + 1, plan.callers);
  const size_t beyond_shared =
      n_shared + 1 - std::min(n_shared + 1, plan.shared);
  return std::max(beyond_callers, beyond_shared);
}

bool FitsTarget(const ConnectionPlan& plan, const OpenConnections& open) {
  return open.callers + open.targets < plan.shared;
}

size_t CloseBatch(const ConnectionPlan& plan) {
  return std::max<size_t>(1, plan.callers / kBatchShare);
}

}  // namespace daisypond::gateway

#ifndef DAISYPOND_GATEWAY_FORWARDER_OPTIONS_H_
#define DAISYPOND_GATEWAY_FORWARDER_OPTIONS_H_

#include "forward/forwarder.h"
#include "forward/retry_pool.h"
#include "gateway/settings.h"

namespace daisypond::gateway {

/// Derives the forwarder's options. The retry limits are this instance's share
/// of the limits that hold for all instances together.
forward::ForwarderOptions MakeForwarderOptions(const Settings& settings);

/// Number of instances that each hold a pool of retries for the group. With
/// four, the requests of several hundred instances that lose a target at the
/// same time are answered within milliseconds, and the loss of one pool costs
/// little.
inline constexpr size_t kPoolHolderCount = 4;

/// Creates the pool from which this instance grants retries to the group.
forward::RetryPool MakeRetryPool(const Settings& settings);

/// Returns the retries beyond the ratio that one of `members` instances may
/// make within the window.
double RetryAllowancePerMember(const Settings& settings, size_t members);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_FORWARDER_OPTIONS_H_

#ifndef DAISYPOND_GATEWAY_FORWARDER_OPTIONS_H_
#define DAISYPOND_GATEWAY_FORWARDER_OPTIONS_H_

#include "forward/forwarder.h"
#include "forward/retry_pool.h"
#include "gateway/settings.h"

namespace daisypond::gateway {

/// Derives the forwarder's options. The retry limits are this instance's share
/// of the limits that hold for all instances together.
forward::ForwarderOptions MakeForwarderOptions(const Settings& settings);

/// Number of instances that hold a pool of retries, from which all instances
/// borrow. Four holders answer within milliseconds when several hundred
/// instances lose a target at the same time and borrow retries for it, and only
/// a small part of the retries is lost with one holder.
inline constexpr size_t kPoolHolderCount = 4;

/// Creates the pool from which this instance grants retries to other instances.
forward::RetryPool MakeRetryPool(const Settings& settings);

/// Returns the number of retries that each of `members` instances may make
/// within the retry window, in addition to the ratio of retries to requests.
double RetryAllowancePerMember(const Settings& settings, size_t members);

/// Returns the same number for the pool of each holder while all members reach
/// each other.
double RetryAllowancePerPool(const Settings& settings);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_FORWARDER_OPTIONS_H_

#ifndef DAISYPOND_GATEWAY_FORWARDER_OPTIONS_H_
#define DAISYPOND_GATEWAY_FORWARDER_OPTIONS_H_

#include "forward/forwarder.h"
#include "forward/retry_pool.h"
#include "gateway/settings.h"

namespace daisypond::gateway {

/// What this instance takes of the bounds that hold for all together.
forward::ForwarderOptions MakeForwarderOptions(const Settings& settings);

/// Members that keep a pool: enough that questions of some hundred members
/// after a common loss are answered within milliseconds, and that the loss of
/// one costs little.
inline constexpr size_t kPoolHolderCount = 4;

/// The pool that an instance keeps for others.
forward::RetryPool MakeRetryPool(const Settings& settings);

/// Repeated sends beyond the ratio for one of `members` instances.
double RetryAllowancePerMember(const Settings& settings, size_t members);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_FORWARDER_OPTIONS_H_

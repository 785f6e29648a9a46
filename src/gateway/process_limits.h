#ifndef DAISYPOND_GATEWAY_PROCESS_LIMITS_H_
#define DAISYPOND_GATEWAY_PROCESS_LIMITS_H_

#include <cstddef>

#include "gateway/settings.h"

namespace daisypond::gateway {

/// Number of descriptors that this process may have open: what the settings
/// state, and at most what the system allows.
size_t UsableDescriptors(const Settings& settings);

/// Bytes of memory that this process may use.
size_t MemoryBytes(const Settings& settings);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_PROCESS_LIMITS_H_

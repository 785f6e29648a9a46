#include "gateway/process_limits.h"

#include <algorithm>

#include <sys/resource.h>

#include "intake/room_plan.h"

namespace daisypond::gateway {

namespace {

// Descriptors of a process when nothing states how many it may use.
constexpr size_t kDefaultDescriptors = 4096;

}  // namespace

size_t UsableDescriptors(const Settings& settings) {
  size_t n = settings.maximum_descriptors > 0
                 ? static_cast<size_t>(settings.maximum_descriptors)
                 : kDefaultDescriptors;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
      limit.rlim_cur != RLIM_INFINITY) {
    n = std::min(n, static_cast<size_t>(limit.rlim_cur));
  }
  return n;
}

size_t MemoryBytes(const Settings& settings) {
  return settings.memory_mb > 0 ? static_cast<size_t>(settings.memory_mb) << 20
                                : intake::kDefaultMemoryBytes;
}

}  // namespace daisypond::gateway

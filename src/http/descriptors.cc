#include "http/descriptors.h"

#include <sys/resource.h>

#include <algorithm>

namespace daisypond::http {

namespace {

constexpr size_t kReserve = 128;
constexpr size_t kShortestQueue = 16;
constexpr size_t kLongestQueue = 1024;

}  // namespace

size_t DescriptorLimit() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : 0;
}

size_t QueueLength(size_t threads, size_t descriptors) {
  const size_t used = 2 * threads + kReserve;
  const size_t left = descriptors > used ? descriptors - used : 0;
  return std::clamp(left, kShortestQueue, kLongestQueue);
}

}  // namespace daisypond::http

#include "intake/room_plan.h"

#include <algorithm>

namespace daisypond::intake {

namespace {

// Memory of a process that serves requests, without what it holds for callers.
constexpr size_t kProcessBytes = 48u << 20;
// A small instance keeps this part of its memory for callers in any case.
constexpr size_t kMinimumShare = 4;

}  // namespace

RoomPlan MakeRoomPlan(size_t memory_bytes) {
  const size_t left =
      memory_bytes > kProcessBytes ? memory_bytes - kProcessBytes : 0;
  const size_t headroom = std::max(left, memory_bytes / kMinimumShare);
  RoomPlan plan;
  // The other half is for what the allocator adds and for copies that exist for
  // a moment.
  plan.total_bytes = headroom / 2;
  plan.small_reserve_bytes = plan.total_bytes / 4;
  plan.small_bytes = std::min(plan.small_bytes, plan.small_reserve_bytes / 8);
  plan.largest_bytes = headroom / 4 * 3;
  return plan;
}

}  // namespace daisypond::intake

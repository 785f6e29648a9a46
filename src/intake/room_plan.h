#ifndef DAISYPOND_INTAKE_ROOM_PLAN_H_
#define DAISYPOND_INTAKE_ROOM_PLAN_H_

#include <cstddef>

#include "base/clock.h"

namespace daisypond::intake {

/// Memory of an instance when nothing states it.
inline constexpr size_t kDefaultMemoryBytes = 120u << 20;

/// How much memory an instance holds for its callers, in bytes, and how long a
/// caller may take.
struct RoomPlan {
  /// Everything that is held for callers together.
  size_t total_bytes = 0;
  /// The part of `total_bytes` that holders of more than `small_bytes` leave
  /// free.
  size_t small_reserve_bytes = 0;
  /// A holder of at most this size is small.
  size_t small_bytes = 64u << 10;
  /// The largest single holder. One that does not fit beside
  /// `small_reserve_bytes` is granted only while no other large one exists.
  size_t largest_bytes = 0;
  /// How long a holder may wait for room.
  base::Millis maximum_wait{1500};
  size_t maximum_waiting = 64;
  /// While others wait for room, a caller must send or take `progress_bytes`
  /// in every `stall_time`.
  base::Millis stall_time{1000};
  size_t progress_bytes = 4u << 10;
};

/// Derives the plan from the memory that the instance may use.
RoomPlan MakeRoomPlan(size_t memory_bytes);

}  // namespace daisypond::intake

#endif  // DAISYPOND_INTAKE_ROOM_PLAN_H_

#ifndef DAISYPOND_BASE_CLOCK_H_
#define DAISYPOND_BASE_CLOCK_H_

#include <chrono>
#include <compare>
#include <cstdint>

namespace daisypond::base {

/// A duration, or a point in time relative to the epoch of the clock that it
/// was read from, in whole milliseconds.
struct Millis {
  int64_t count = 0;

  auto operator<=>(const Millis&) const = default;
  Millis operator+(Millis other) const { return {count + other.count}; }
  Millis operator-(Millis other) const { return {count - other.count}; }
  Millis operator*(int64_t factor) const { return {count * factor}; }
  Millis operator/(int64_t divisor) const { return {count / divisor}; }
  std::chrono::milliseconds ToChrono() const {
    return std::chrono::milliseconds(count);
  }
};

/// Reads the system's clocks. Code that makes decisions by the time takes the
/// current time as an argument instead, so that tests can set it.
class Clock {
 public:
  /// Monotonic time: milliseconds since an arbitrary fixed point.
  static Millis Now() {
    const auto span = std::chrono::steady_clock::now().time_since_epoch();
    return {
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count()};
  }

  /// Milliseconds since the Unix epoch, for display and for numbers that
  /// should increase across restarts of a process. No safety property depends
  /// on this clock being right.
  static Millis UnixNow() {
    const auto span = std::chrono::system_clock::now().time_since_epoch();
    return {
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count()};
  }
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_CLOCK_H_

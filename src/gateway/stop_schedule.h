#ifndef DAISYPOND_GATEWAY_STOP_SCHEDULE_H_
#define DAISYPOND_GATEWAY_STOP_SCHEDULE_H_

#include <cstdint>

#include "base/clock.h"
#include "base/name_table.h"

namespace daisypond::gateway {

/// What an instance does at present to stop without losing a request.
enum class StopPhase : uint8_t {
  /// Serves all connections: the load balancer may still send new ones.
  kLeavingRotation,
  /// Closes idle connections, serves the others.
  kDraining,
  /// Takes no connections; open requests are ended with a verdict.
  kEnding,
  /// Closes what is still open.
  kClosing,
};

inline constexpr base::NameTable<StopPhase, 4>
    kStopPhaseNames("leaving_rotation", "draining", "ending", "closing");

/// When the phases of a stop begin. The process is killed `grace` after the
/// stop signal, and it may get little processor time until then.
class StopSchedule {
 public:
  StopSchedule() = default;
  StopSchedule(base::Millis began_at, base::Millis grace)
      : began_at_(began_at), grace_(grace) {}

  base::Millis BeganAt() const { return began_at_; }
  /// When the load balancer has stopped sending new connections.
  base::Millis OutOfRotationAt() const { return began_at_ + kRotationDelay; }
  /// When requests that are still open are ended.
  base::Millis EndRequestsAt() const {
    return began_at_ + grace_ - grace_ / kEndingShare;
  }
  /// When connections that are still open are closed.
  base::Millis CloseAt() const {
    return began_at_ + grace_ - grace_ / kClosingShare;
  }

  StopPhase PhaseAt(base::Millis now) const {
    if (now >= CloseAt()) {
      return StopPhase::kClosing;
    }
    if (now >= EndRequestsAt()) {
      return StopPhase::kEnding;
    }
    return now >= OutOfRotationAt() ? StopPhase::kDraining
                                    : StopPhase::kLeavingRotation;
  }

  /// True when a process without open connections may end: the load balancer
  /// has sent its last new connection some time ago.
  bool MayEndEarly(base::Millis now) const {
    return now >= OutOfRotationAt() + kQuietPeriod;
  }

 private:
  // The load balancer sends new connections until two checks of /readyz, one
  // second apart, have failed.
  static constexpr base::Millis kRotationDelay{2500};
  static constexpr base::Millis kQuietPeriod{1000};
  // The last seventh of the grace is for answers to what is ended, the last
  // twelfth for the end of the process.
  static constexpr int64_t kEndingShare = 7;
  static constexpr int64_t kClosingShare = 12;

  base::Millis began_at_;
  base::Millis grace_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_STOP_SCHEDULE_H_

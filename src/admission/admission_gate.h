#ifndef DAISYPOND_ADMISSION_ADMISSION_GATE_H_
#define DAISYPOND_ADMISSION_ADMISSION_GATE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "admission/admission_controller.h"
#include "base/clock.h"
#include "base/verdict.h"

namespace daisypond::admission {

/// Blocks the threads that serve requests until their requests are admitted.
/// Thread-safe.
class AdmissionGate {
 public:
  /// `free_slots(pool)` returns how many more requests the pool can take.
  using FreeSlots = std::function<int64_t(const std::string& pool)>;

  explicit AdmissionGate(FreeSlots free_slots)
      : free_slots_(std::move(free_slots)) {}

  void Configure(const intents::Configuration& configuration);

  /// Called several times a second while a request waits. Returns false if the
  /// caller has disconnected, which ends the wait.
  using ShouldKeepWaiting = std::function<bool()>;

  /// Blocks until the request may start. Each returned ticket must be passed to
  /// ReleaseTicket(). Returns an error if the request is refused, or if it
  /// cannot start before `start_by`, its caller disconnects or the gate is
  /// stopped while the request waits.
  base::Result<TicketId> WaitForAdmission(
      const AdmissionRequest& request,
      const ShouldKeepWaiting& should_keep_waiting);

  void ReleaseTicket(TicketId ticket);

  /// Refuses all waiting requests and all later ones.
  void Stop();

  /// Starts waiting requests for which slots are free. ReleaseTicket() also
  /// does this. Must be called when slots become free for any other reason.
  void AdmitWaiting();

  int64_t RunningCount() const;
  int64_t QueuedCount() const;

 private:
  enum class WaiterState : uint8_t { kWaiting, kStarted, kExpired };

  struct Waiter {
    WaiterState state = WaiterState::kWaiting;
    base::Millis retry_after;
    std::condition_variable changed;
  };

  void AdmitWaitingLocked();

  FreeSlots free_slots_;
  mutable std::mutex mutex_;
  AdmissionController controller_;
  std::map<TicketId, Waiter*> waiters_;
  bool is_stopping_ = false;
};

}  // namespace daisypond::admission

#endif  // DAISYPOND_ADMISSION_ADMISSION_GATE_H_

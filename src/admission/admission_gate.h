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

/// Lets traffic threads wait for their turn. Thread-safe.
class AdmissionGate {
 public:
  /// `free_places(pool)` tells how many more requests a pool can take.
  using FreeSlots = std::function<int64_t(const std::string& pool)>;

  explicit AdmissionGate(FreeSlots free_slots)
      : free_slots_(std::move(free_slots)) {}

  void Configure(const intents::Configuration& configuration);

  /// Asked several times a second while a request waits; false when it need
  /// not wait any longer, because its caller has gone.
  using ShouldKeepWaiting = std::function<bool()>;

  /// Returns when the request may start, or at once with a refusal. Each
  /// ticket must be given back with Leave().
  base::Result<TicketId> WaitForAdmission(
      const AdmissionRequest& request,
      const ShouldKeepWaiting& should_keep_waiting);

  void ReleaseTicket(TicketId ticket);

  /// Refuses everything that waits and all that comes.
  void Stop();

  /// Lets waiting requests start when places have become free elsewhere.
  void AdmitWaiting();

  int64_t Running() const;
  int64_t Queued() const;

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

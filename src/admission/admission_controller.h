#ifndef DAISYPOND_ADMISSION_ADMISSION_CONTROLLER_H_
#define DAISYPOND_ADMISSION_ADMISSION_CONTROLLER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/verdict.h"
#include "intents/configuration.h"

namespace daisypond::admission {

/// Names a request between its arrival and its end.
struct TicketId {
  uint64_t value = 0;
  auto operator<=>(const TicketId&) const = default;
};

/// What the decision depends on.
struct AdmissionRequest {
  std::string workspace;
  intents::Priority priority = intents::Priority::kNormal;
  /// Latest time to start; from the request's own bounds.
  base::Millis start_by;
  /// Targets of one kind share a pool: "model:version" or a service's name.
  std::string pool;
};

enum class ArrivalOutcome : uint8_t { kQueued, kRefused };

struct ArrivalResult {
  ArrivalOutcome outcome = ArrivalOutcome::kRefused;
  TicketId ticket;
  base::Reason reason = base::Reason::kNone;
  base::Millis retry_after;
};

/// A queued request that was given up on.
struct ExpiredTicket {
  TicketId ticket;
  base::Millis retry_after;
};

/// Decides which request runs next. Each workspace has a rate, a bound for
/// requests at once and a weight; within one priority workspaces share in
/// proportion to their weights (start-time fair queueing, Goyal et al. 1996).
/// Queues are bounded, and a request that cannot start in time is refused when
/// it arrives. Pure: time comes in as an argument.
class AdmissionController {
 public:
  void Configure(const intents::Configuration& configuration);

  ArrivalResult OnArrival(const AdmissionRequest& request, base::Millis now);

  /// Requests that may start now, given the free places of each pool.
  /// `has_place(pool)` is asked once for each request that it lets start.
  template <typename HasFreeSlot>
  std::vector<TicketId> StartQueuedRequests(HasFreeSlot has_free_slot,
                                            base::Millis now) {
    std::vector<TicketId> started;
    for (size_t i = 0; i < queues_.size(); ++i) {
      while (running_ < limits_.concurrent_streams) {
        const auto ticket = PopNextTicket(i, has_free_slot);
        if (!ticket) {
          break;
        }
        RecordStart(*ticket, now);
        started.push_back(*ticket);
      }
    }
    return started;
  }

  /// Queued requests whose time has run out.
  std::vector<ExpiredTicket> RemoveExpired(base::Millis now);

  /// The end of a request that had started, or of one that left the queue.
  void RemoveTicket(TicketId ticket);

  int64_t Running() const { return running_; }
  int64_t Queued() const { return queued_; }

 private:
  struct WorkspaceState {
    double rate_tokens = 0;
    base::Millis refilled_at;
    int64_t running = 0;
    int64_t queued = 0;
    /// Virtual time at which the workspace's next request starts.
    double finish_tag = 0;
  };

  struct Ticket {
    AdmissionRequest request;
    bool is_running = false;
    double start_tag = 0;
  };

  /// Waiting tickets of one priority: those of one workspace keep their order.
  using Queue = std::map<std::string, std::deque<TicketId>>;

  template <typename HasFreeSlot>
  std::optional<TicketId> PopNextTicket(size_t priority,
                                        HasFreeSlot has_free_slot) {
    Queue& queue = queues_[priority];
    std::vector<Queue::iterator> order = QueuesInFairOrder(queue);
    for (const auto& it : order) {
      const TicketId id = it->second.front();
      if (!has_free_slot(tickets_.at(id).request.pool)) {
        continue;
      }
      it->second.pop_front();
      if (it->second.empty()) {
        queue.erase(it);
      }
      return id;
    }
    return std::nullopt;
  }

  std::vector<Queue::iterator> QueuesInFairOrder(Queue& queue);
  void RecordStart(TicketId id, base::Millis now);
  void RemoveFromQueue(TicketId id);
  bool TakeRateToken(const intents::Workspace& settings,
                     WorkspaceState* state,
                     base::Millis now);
  base::Millis ExpectedWait() const;

  intents::InstanceLimits limits_;
  std::map<std::string, intents::Workspace> workspace_settings_;
  std::map<std::string, WorkspaceState> workspaces_;
  std::map<TicketId, Ticket> tickets_;
  std::array<Queue, intents::kPriorityNames.Size()> queues_;
  uint64_t last_ticket_ = 0;
  int64_t running_ = 0;
  int64_t queued_ = 0;
  double virtual_time_ = 0;
  /// Smoothed time between two starts from the queue, in milliseconds.
  double start_interval_ms_ = 0;
  base::Millis last_start_;
  /// Requests were left waiting after the last start.
  bool has_backlog_ = false;
};

}  // namespace daisypond::admission

#endif  // DAISYPOND_ADMISSION_ADMISSION_CONTROLLER_H_

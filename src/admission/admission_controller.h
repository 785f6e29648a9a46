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

/// Identifies an accepted request from its arrival until it ends or is removed
/// from the queue.
struct TicketId {
  uint64_t value = 0;
  auto operator<=>(const TicketId&) const = default;
};

/// The properties of a request on which its admission depends.
struct AdmissionRequest {
  std::string workspace;
  intents::Priority priority = intents::Priority::kNormal;
  /// Latest time at which the request may start. Follows from the request's own
  /// time limits.
  base::Millis start_by;
  /// Name of the group of targets that can run the request: "MODEL:VERSION" for
  /// engines, or "service/NAME" for the targets of a service.
  std::string pool;
};

enum class ArrivalOutcome : uint8_t { kQueued, kRefused };

struct ArrivalResult {
  ArrivalOutcome outcome = ArrivalOutcome::kRefused;
  TicketId ticket;
  base::Reason reason = base::Reason::kNone;
  base::Millis retry_after;
};

/// A queued request that was removed because it could not start in time.
struct ExpiredTicket {
  TicketId ticket;
  base::Millis retry_after;
};

/// Decides which queued request starts next. Each workspace has a rate limit, a
/// limit of concurrent requests and a weight. Within one priority, requests of
/// the workspaces start in proportion to the weights (start-time fair queueing,
/// Goyal et al. 1996). Queues are bounded, and a request that is not expected
/// to start in time is refused on arrival if its workspace already uses its
/// share of the queue. Reads no clock: the time is passed as an argument.
class AdmissionController {
 public:
  void Configure(const intents::Configuration& configuration);

  ArrivalResult OnArrival(const AdmissionRequest& request, base::Millis now);

  /// Starts queued requests while the instance is below its limit of concurrent
  /// streams and the requests' pools have free slots. Returns the tickets of
  /// the started requests. Each call of `has_free_slot(pool)` that returns true
  /// starts one request, so the callback must count that slot as taken.
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

  /// Removes and returns the queued requests whose `start_by` has passed.
  std::vector<ExpiredTicket> RemoveExpired(base::Millis now);

  /// Removes a request that has ended, or that leaves the queue without having
  /// been started.
  void RemoveTicket(TicketId ticket);

  int64_t RunningCount() const { return running_; }
  int64_t QueuedCount() const { return queued_; }

 private:
  struct WorkspaceState {
    /// Number of tokens in the token bucket that enforces the workspace's rate
    /// limit.
    double rate_tokens = 0;
    base::Millis refilled_at;
    int64_t running = 0;
    int64_t queued = 0;
    /// Virtual finish time of the request that the workspace queued last, which
    /// is the earliest virtual start time of its next request.
    double finish_tag = 0;
  };

  struct Ticket {
    AdmissionRequest request;
    bool is_running = false;
    /// Virtual start time of the request.
    double start_tag = 0;
  };

  /// Queued tickets of one priority by workspace, each in order of arrival.
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
  /// The ticket ID that was assigned last. IDs are assigned in rising order.
  uint64_t last_ticket_id_ = 0;
  int64_t running_ = 0;
  int64_t queued_ = 0;
  double virtual_time_ = 0;
  /// Smoothed time between two starts from a backlogged queue, in milliseconds.
  double start_interval_ms_ = 0;
  base::Millis last_start_;
  /// True if requests were still queued after the last start.
  bool has_backlog_ = false;
};

}  // namespace daisypond::admission

#endif  // DAISYPOND_ADMISSION_ADMISSION_CONTROLLER_H_

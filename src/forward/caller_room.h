#ifndef DAISYPOND_FORWARD_CALLER_ROOM_H_
#define DAISYPOND_FORWARD_CALLER_ROOM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "base/clock.h"
#include "base/metrics.h"
#include "intake/room_lease.h"
#include "net/timed_socket.h"

namespace daisypond::forward {

/// Keeps a function that closes a caller, until the end of this object. May
/// outlive the CallerRoom.
class RoomCloser {
 public:
  using Table = std::unordered_map<intake::HolderId, std::function<void()>>;

  RoomCloser() = default;
  RoomCloser(std::shared_ptr<Table> table, intake::HolderId id)
      : table_(std::move(table)), id_(id) {}
  ~RoomCloser() { Release(); }
  RoomCloser(RoomCloser&&) noexcept = default;
  RoomCloser& operator=(RoomCloser&& other) noexcept {
    Release();
    table_ = std::move(other.table_);
    id_ = other.id_;
    return *this;
  }
  RoomCloser(const RoomCloser&) = delete;
  RoomCloser& operator=(const RoomCloser&) = delete;

  void Release() {
    if (table_ != nullptr) {
      table_->erase(id_);
      table_.reset();
    }
  }

 private:
  std::shared_ptr<Table> table_;
  intake::HolderId id_ = 0;
};

/// The memory that the traffic thread holds for callers: waits for room on
/// behalf of requests, and closes stalled callers for those that wait.
class CallerRoom {
 public:
  CallerRoom(net::asio::any_io_executor executor,
             const intake::RoomPlan& plan,
             base::Metrics* metrics);

  /// Begins to hold room for a caller; see RoomLedger::Add() for `owner`.
  intake::RoomLease Hold(intake::RoomKind kind, std::string owner);

  /// Gets `bytes` in all for `lease`, which may take RoomPlan::maximum_wait.
  /// Returns false if there is no room.
  net::asio::awaitable<bool> Acquire(intake::RoomLease* lease, size_t bytes);

  /// Calls `close` once if the caller of `lease` is to be closed because it
  /// makes no progress while others wait for room.
  [[nodiscard]] RoomCloser CloseOnDemand(const intake::RoomLease& lease,
                                         std::function<void()> close);

  /// To be called when a caller was closed because it was too slow.
  void OnClosedForSlowness(base::Millis now);

  const intake::RoomLedger& Ledger() const { return *ledger_; }

  /// Publishes the bytes held by kind.
  void UpdateMetrics() const;

 private:
  void CloseStalled(base::Millis now);
  /// Logs `event`, once a second at most.
  void LogShortage(std::string_view event, base::Millis now);

  net::asio::any_io_executor executor_;
  base::Metrics* metrics_;
  std::shared_ptr<intake::RoomLedger> ledger_;
  std::shared_ptr<RoomCloser::Table> closers_;
  base::Millis swept_at_;
  base::Millis logged_at_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CALLER_ROOM_H_

#ifndef DAISYPOND_NET_OPERATION_DEADLINE_H_
#define DAISYPOND_NET_OPERATION_DEADLINE_H_

#include <cstdint>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/clock.h"

namespace daisypond::net {

namespace asio = boost::asio;

/// Asio completion token that returns error codes as values instead of throwing
/// exceptions.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// Cancels one operation when a deadline passes, and no other operation of the
/// same socket. Must only be used on the thread of its executor, and must exist
/// until the operation has ended.
class OperationDeadline {
 public:
  explicit OperationDeadline(const asio::any_io_executor& executor);
  ~OperationDeadline();
  OperationDeadline(const OperationDeadline&) = delete;
  OperationDeadline& operator=(const OperationDeadline&) = delete;

  /// Replaces an earlier deadline.
  void Set(base::Millis deadline);
  void Clear();

  /// True when the deadline of the last Set() has passed before Clear() was
  /// called.
  bool HasPassed() const { return has_passed_; }

  /// Completion token of the operation that the deadline cancels, also if it
  /// has passed already. An operation that is begun with the token replaces the
  /// one before.
  auto Token() {
    if (is_set_ && has_passed_) {
      StartTimer(base::Clock::Now());
    }
    return asio::bind_cancellation_slot(signal_.slot(), kAsTuple);
  }

 private:
  void StartTimer(base::Millis deadline);

  asio::steady_timer timer_;
  asio::cancellation_signal signal_;
  // Incremented whenever the timer is started or cancelled, so that an earlier
  // handler does nothing.
  std::shared_ptr<uint64_t> generation_;
  bool is_set_ = false;
  bool has_passed_ = false;
};

}  // namespace daisypond::net

#endif  // DAISYPOND_NET_OPERATION_DEADLINE_H_

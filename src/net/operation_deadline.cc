#include "net/operation_deadline.h"

#include <boost/system/error_code.hpp>

namespace daisypond::net {

OperationDeadline::OperationDeadline(const asio::any_io_executor& executor)
    : timer_(executor), generation_(std::make_shared<uint64_t>(0)) {}

OperationDeadline::~OperationDeadline() {
  ++*generation_;
}

void OperationDeadline::Set(base::Millis deadline) {
  has_passed_ = false;
  is_set_ = true;
  StartTimer(deadline);
}

void OperationDeadline::StartTimer(base::Millis deadline) {
  const uint64_t generation = ++*generation_;
  timer_.expires_at(std::chrono::steady_clock::time_point(deadline.ToChrono()));
  timer_.async_wait([this, generation, current = generation_](
                        const boost::system::error_code& ec) {
    if (ec || *current != generation) {
      return;
    }
    has_passed_ = true;
    signal_.emit(asio::cancellation_type::terminal);
  });
}

void OperationDeadline::Clear() {
  is_set_ = false;
  ++*generation_;
  timer_.cancel();
}

}  // namespace daisypond::net

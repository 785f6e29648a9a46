#include "forward/target_connection.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace daisypond::forward {

TargetConnection::TargetConnection(const net::asio::any_io_executor& executor,
                                   std::string target,
                                   std::string address)
    : socket_(executor),
      buffer_(kMaximumUnparsedBytes),
      target_(std::move(target)),
      address_(std::move(address)) {}

void TargetConnection::StartWrite(std::string bytes) {
  write_buffer_ = std::move(bytes);
  is_write_done_ = false;
  written_bytes_ = 0;
  ++request_count_;
  net::asio::async_write(
      socket_.Raw(), net::asio::buffer(write_buffer_),
      [self = shared_from_this()](net::ErrorCode /*ec*/, size_t n) {
        // A write error also fails the read that waits for the response.
        self->is_write_done_ = true;
        self->written_bytes_ = n;
        self->write_buffer_.clear();
      });
}

}  // namespace daisypond::forward

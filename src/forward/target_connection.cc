#include "forward/target_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>

#include "base/log.h"

namespace daisypond::forward {

namespace {

constexpr size_t kMaximumReadBytes = 64u << 10;
constexpr size_t kFrameReadBytes = 8u << 10;
constexpr size_t kMaximumWriteBytes = 64u << 10;
// After a larger request a tunnel is not used for another one.
constexpr size_t kMaximumRelayedBytes = 64u << 10;

/// True if a write that ended with `ec` was the first to learn that the
/// connection was lost.
bool IsConnectionLoss(const net::ErrorCode& ec) {
  // A broken pipe means a reset that followed the end of the target's data;
  // an aborted write was cancelled on this side.
  return ec && ec != net::asio::error::broken_pipe &&
         ec != net::asio::error::operation_aborted;
}

}  // namespace

TargetConnection::TargetConnection(const net::asio::any_io_executor& executor,
                                   std::string target,
                                   std::string address)
    : socket_(executor),
      buffer_(kMaximumUnparsedBytes),
      target_(std::move(target)),
      address_(std::move(address)) {}

void TargetConnection::StartWrite(std::string header,
                                  std::shared_ptr<const std::string> body) {
  write_header_ = std::move(header);
  write_body_ = std::move(body);
  is_write_done_ = false;
  write_error_.clear();
  written_bytes_ = 0;
  total_bytes_ =
      write_header_.size() + (write_body_ == nullptr ? 0 : write_body_->size());
  ++request_count_;
  net::asio::async_write(
      socket_.Raw(),
      std::array<net::asio::const_buffer, 2>{
          net::asio::buffer(write_header_),
          write_body_ == nullptr ? net::asio::const_buffer()
                                 : net::asio::buffer(*write_body_)},
      [self = shared_from_this()](net::ErrorCode ec, size_t n) {
        self->written_bytes_ = n;
        return ec ? 0 : kMaximumWriteBytes;
      },
      [self = shared_from_this()](net::ErrorCode ec, size_t n) {
        self->is_write_done_ = true;
        self->write_error_ = ec;
        self->written_bytes_ = n;
        self->write_header_.clear();
        self->write_body_.reset();
      });
}

void TargetConnection::OnTunnelOpened(tunnel::Framing framing) {
  decoder_.reset();
  if (framing == tunnel::Framing::kFrames) {
    decoder_.emplace();
  }
}

bool TargetConnection::IsReadyForRequest() {
  // A peer acknowledges what it has not passed on yet.
  const bool may_be_held_by_peer = Route() == ConnectionRoute::kTunnel &&
                                   total_bytes_ > kMaximumRelayedBytes;
  return is_write_done_ && !write_error_ && !may_be_held_by_peer &&
         socket_.UnacknowledgedBytes() == 0 && IsBetweenResponses();
}

net::asio::awaitable<net::ErrorCode> TargetConnection::Receive() {
  if (decoder_) {
    co_return co_await ReceiveFrames();
  }
  const net::ErrorCode ec = co_await ReceiveBytes();
  if (ec != net::asio::error::eof) {
    co_return ec;
  }
  if (Route() == ConnectionRoute::kTunnel) {
    co_return net::asio::error::make_error_code(
        net::asio::error::connection_aborted);
  }
  // The system reports a reset once. If the write has got it, this read finds
  // the end of data instead.
  if (!is_write_done_) {
    // The handler of the write may be queued behind this one.
    co_await net::asio::post(socket_.Raw().get_executor(),
                             net::asio::use_awaitable);
  }
  co_return IsConnectionLoss(write_error_) ? write_error_ : ec;
}

net::asio::awaitable<net::ErrorCode> TargetConnection::ReceiveBytes() {
  const size_t size = boost::beast::read_size(buffer_, kMaximumReadBytes);
  if (size == 0) {
    co_return net::asio::error::make_error_code(
        net::asio::error::no_buffer_space);
  }
  const auto [ec, n] = co_await socket_.Raw().async_read_some(
      buffer_.prepare(size), socket_.ReadDeadline().Token());
  buffer_.commit(n);
  last_heard_at = n > 0 ? base::Clock::Now() : last_heard_at;
  co_return ec;
}

net::asio::awaitable<net::ErrorCode> TargetConnection::ReceiveFrames() {
  std::array<char, kFrameReadBytes> buf;
  std::string data;
  while (data.empty()) {
    if (decoder_->HasEnded()) {
      co_return net::asio::error::make_error_code(net::asio::error::eof);
    }
    const auto [ec, n] = co_await socket_.Raw().async_read_some(
        net::asio::buffer(buf), socket_.ReadDeadline().Token());
    if (ec) {
      co_return ec == net::asio::error::eof
          ? net::asio::error::make_error_code(
                net::asio::error::connection_aborted)
          : ec;
    }
    if (!decoder_->Decode({buf.data(), n}, &data) ||
        buffer_.size() + data.size() > buffer_.max_size()) {
      co_return net::asio::error::make_error_code(
          net::asio::error::connection_aborted);
    }
  }
  net::asio::buffer_copy(buffer_.prepare(data.size()), net::asio::buffer(data));
  buffer_.commit(data.size());
  last_heard_at = base::Clock::Now();
  co_return net::ErrorCode();
}

void LogIfPartlyWritten(std::string_view request,
                        const TargetConnection& connection) {
  if (connection.IsWriteDone() && !connection.WriteError()) {
    return;
  }
  base::Log(base::LogLevel::kInfo, "request_unwritten",
            {{"request", request},
             {"target", connection.Target()},
             {"in_progress", !connection.IsWriteDone()},
             {"written_bytes", connection.WrittenBytes()},
             {"total_bytes", connection.TotalBytes()},
             {"error", connection.WriteError().message()}});
}

}  // namespace daisypond::forward

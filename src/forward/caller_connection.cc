#include "forward/caller_connection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace daisypond::forward {

namespace {

// When a caller sends its next request early, the socket stays readable and
// waiting for readability no longer reveals a disconnect. The socket is then
// polled at this interval.
constexpr base::Millis kDisconnectPollPeriod{200};
constexpr size_t kWritePieceBytes = 16u << 10;

}  // namespace

CallerConnection::CallerConnection(net::Tcp::socket socket)
    : socket_(std::move(socket)) {
  socket_.SetTcpOptions(net::DeadPeerDetection::kUnacknowledgedDataOnly);
}

net::asio::awaitable<bool> CallerConnection::Write(std::string_view bytes,
                                                   base::Millis deadline) {
  socket_.WriteDeadline().Set(deadline);
  const auto [ec, n] = co_await net::asio::async_write(
      socket_.Raw(), net::asio::buffer(bytes.data(), bytes.size()),
      socket_.WriteDeadline().Token());
  socket_.WriteDeadline().Clear();
  if (ec) {
    OnWriteFailed(ec);
  }
  co_return !ec;
}

void CallerConnection::OnWriteFailed(const net::ErrorCode& ec) {
  OnDisconnected(socket_.WriteDeadline().HasPassed()
                     ? DisconnectSign::kWriteTimedOut
                     : DisconnectSign::kWriteFailed,
                 ec);
}

net::asio::awaitable<bool> CallerConnection::WriteByProgress(
    std::string_view bytes,
    base::Millis timeout,
    std::function<void(size_t)> on_progress) {
  size_t n_left_of_piece = 0;
  base::Millis deadline;
  while (!bytes.empty()) {
    if (n_left_of_piece == 0) {
      n_left_of_piece = std::min(bytes.size(), kWritePieceBytes);
      deadline = base::Clock::Now() + timeout;
    }
    socket_.WriteDeadline().Set(deadline);
    const auto [ec, n] = co_await socket_.Raw().async_write_some(
        net::asio::buffer(bytes.data(), n_left_of_piece),
        socket_.WriteDeadline().Token());
    socket_.WriteDeadline().Clear();
    if (ec) {
      OnWriteFailed(ec);
      co_return false;
    }
    on_progress(n);
    n_left_of_piece -= n;
    bytes.remove_prefix(n);
  }
  co_return true;
}

bool CallerConnection::HasDisconnected() {
  const net::ErrorCode end = socket_.EndOfInput();
  if (end) {
    OnDisconnected(DisconnectSign::kInputEnded, end);
  }
  return disconnect_sign_ != DisconnectSign::kNone;
}

void CallerConnection::StartDisconnectWatch(
    std::function<void()> on_disconnect) {
  on_disconnect_ = std::move(on_disconnect);
  WaitForReadable(++watch_generation_);
}

void CallerConnection::StopDisconnectWatch() {
  ++watch_generation_;
  on_disconnect_ = nullptr;
}

void CallerConnection::OnDisconnected(DisconnectSign sign,
                                      const net::ErrorCode& ec) {
  if (disconnect_sign_ == DisconnectSign::kNone) {
    disconnect_sign_ = sign;
    disconnect_error_ = ec;
  }
}

void CallerConnection::WaitForReadable(uint64_t generation) {
  socket_.Raw().async_wait(
      net::Tcp::socket::wait_read,
      [self = shared_from_this(), generation](net::ErrorCode ec) {
        if (generation != self->watch_generation_) {
          return;
        }
        if (ec == net::asio::error::operation_aborted) {
          // All pending operations of the socket were cancelled, not only this
          // wait.
          if (self->socket_.Raw().is_open()) {
            self->WaitForReadable(generation);
          }
          return;
        }
        const net::ErrorCode end = ec ? ec : self->socket_.EndOfInput();
        if (end) {
          self->OnDisconnected(
              ec ? DisconnectSign::kWaitFailed : DisconnectSign::kInputEnded,
              end);
          if (self->on_disconnect_) {
            std::exchange(self->on_disconnect_, nullptr)();
          }
          return;
        }
        auto timer = std::make_shared<net::asio::steady_timer>(
            self->socket_.Raw().get_executor(),
            kDisconnectPollPeriod.ToChrono());
        timer->async_wait([self, generation, timer](net::ErrorCode /*ec*/) {
          if (generation == self->watch_generation_) {
            self->WaitForReadable(generation);
          }
        });
      });
}

}  // namespace daisypond::forward

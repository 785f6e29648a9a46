#include "forward/caller_channel.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace daisypond::forward {

namespace {

// A caller may send its next request early; its leaving is then looked for
// this often.
constexpr base::Millis kPollWithInput{200};

}  // namespace

CallerChannel::CallerChannel(net::Tcp::socket socket)
    : socket_(std::move(socket)) {
  socket_.Configure(net::Liveness::kWritesOnly);
}

net::asio::awaitable<bool> CallerChannel::Write(std::string_view bytes,
                                                base::Millis limit) {
  socket_.Arm(limit);
  const auto [ec, n] = co_await net::asio::async_write(
      socket_.Raw(), net::asio::buffer(bytes.data(), bytes.size()),
      net::kAsTuple);
  socket_.Disarm();
  co_return !ec;
}

void CallerChannel::StartWatch(std::function<void()> on_gone) {
  on_gone_ = std::move(on_gone);
  WaitForInput(++watch_generation_);
}

void CallerChannel::StopWatch() {
  ++watch_generation_;
  on_gone_ = nullptr;
}

void CallerChannel::WaitForInput(uint64_t generation) {
  socket_.Raw().async_wait(
      net::Tcp::socket::wait_read,
      [self = shared_from_this(), generation](net::ErrorCode ec) {
        if (generation != self->watch_generation_) {
          return;
        }
        if (ec == net::asio::error::operation_aborted) {
          // A write's time limit cancels this wait as well.
          if (self->socket_.Raw().is_open()) {
            self->WaitForInput(generation);
          }
          return;
        }
        if (ec || self->socket_.IsClosedByPeer()) {
          self->is_gone_ = true;
          if (self->on_gone_) {
            std::exchange(self->on_gone_, nullptr)();
          }
          return;
        }
        auto timer = std::make_shared<net::asio::steady_timer>(
            self->socket_.Raw().get_executor(), kPollWithInput.ToChrono());
        timer->async_wait([self, generation, timer](net::ErrorCode /*ec*/) {
          if (generation == self->watch_generation_) {
            self->WaitForInput(generation);
          }
        });
      });
}

}  // namespace daisypond::forward

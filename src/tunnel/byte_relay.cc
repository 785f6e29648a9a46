#include "tunnel/byte_relay.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "net/spawn.h"
#include "tunnel/frame.h"

namespace daisypond::tunnel {

static_assert(ByteRelay::kBufferBytes <= kMaximumFrameBytes);

ByteRelay::ByteRelay(std::unique_ptr<net::TimedSocket> requester,
                     std::unique_ptr<net::TimedSocket> target,
                     Framing framing)
    : requester_(std::move(requester)),
      target_(std::move(target)),
      to_target_{requester_.get(), target_.get(), RelayEnd::kRequesterFailed,
                 RelayEnd::kTargetFailed, &result_.bytes_to_target},
      from_target_{target_.get(),
                   requester_.get(),
                   RelayEnd::kTargetFailed,
                   RelayEnd::kRequesterFailed,
                   &result_.bytes_from_target,
                   framing} {
  if (framing == Framing::kNone) {
    requester_->SetCloseMode(net::CloseMode::kReset);
  }
}

void ByteRelay::Start(std::string_view first_bytes,
                      std::function<void(const RelayResult&)> on_ended) {
  on_ended_ = std::move(on_ended);
  to_target_.n_pending = std::min(first_bytes.size(), kBufferBytes);
  std::copy_n(first_bytes.begin(), to_target_.n_pending,
              to_target_.buf.begin());
  for (Flow* it : {&to_target_, &from_target_}) {
    ++n_running_;
    net::Spawn(it->from->Raw().get_executor(), "tunnel_relay",
               [self = shared_from_this(), it] { return self->Run(it); });
  }
}

net::asio::awaitable<void> ByteRelay::Run(Flow* flow) {
  const RelayEnd end = co_await Copy(flow);
  if (end == RelayEnd::kClosed) {
    flow->to->SetCloseMode(net::CloseMode::kOrderly);
    net::ErrorCode ignored;
    flow->to->Raw().shutdown(net::Tcp::socket::shutdown_send, ignored);
  } else {
    OnFailed(end);
  }
  if (--n_running_ == 0) {
    requester_->Close();
    target_->Close();
    on_ended_(result_);
  }
}

net::asio::awaitable<RelayEnd> ByteRelay::Copy(Flow* flow) {
  while (true) {
    const net::ErrorCode write_ec = co_await Write(flow);
    if (write_ec) {
      co_return flow->write_failure;
    }
    const auto [read_ec, n_read] = co_await flow->from->Raw().async_read_some(
        net::asio::buffer(flow->buf), net::kAsTuple);
    if (read_ec == net::asio::error::eof) {
      // The system reports a reset once. If a write of the other direction has
      // got it, its handler may be queued behind this one.
      co_await net::asio::post(flow->from->Raw().get_executor(),
                               net::asio::use_awaitable);
      if (result_.end != RelayEnd::kClosed) {
        co_return flow->read_failure;
      }
      const net::ErrorCode end_ec = co_await WriteEnd(flow);
      co_return end_ec ? flow->write_failure : RelayEnd::kClosed;
    }
    if (read_ec) {
      co_return flow->read_failure;
    }
    flow->n_pending = n_read;
  }
}

net::asio::awaitable<net::ErrorCode> ByteRelay::Write(Flow* flow) {
  if (flow->n_pending == 0) {
    co_return net::ErrorCode();
  }
  const auto header = FormatFrameHeader(flow->n_pending);
  const size_t n_header = flow->framing == Framing::kFrames ? header.size() : 0;
  const std::array<net::asio::const_buffer, 2> parts{
      net::asio::buffer(header.data(), n_header),
      net::asio::buffer(flow->buf.data(), flow->n_pending)};
  const auto [ec, n] =
      co_await net::asio::async_write(flow->to->Raw(), parts, net::kAsTuple);
  *flow->n_written += n - std::min(n, n_header);
  co_return ec;
}

net::asio::awaitable<net::ErrorCode> ByteRelay::WriteEnd(Flow* flow) {
  if (flow->framing == Framing::kNone) {
    co_return net::ErrorCode();
  }
  const auto end_mark = FormatFrameHeader(0);
  const auto [ec, n] = co_await net::asio::async_write(
      flow->to->Raw(), net::asio::buffer(end_mark), net::kAsTuple);
  co_return ec;
}

void ByteRelay::OnFailed(RelayEnd end) {
  if (result_.end != RelayEnd::kClosed) {
    return;
  }
  result_.end = end;
  requester_->Reset();
  target_->Reset();
}

}  // namespace daisypond::tunnel

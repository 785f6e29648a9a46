#include "tunnel/server.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "base/log.h"
#include "net/address.h"
#include "net/spawn.h"
#include "tunnel/handshake.h"

namespace daisypond::tunnel {

namespace {

using net::asio::awaitable;

// Connections beyond this number whose request has not arrived yet are reset.
constexpr size_t kMaximumHandshakes = 128;
constexpr base::Millis kAcceptRetryDelay{100};
constexpr base::Millis kLogPeriod{1000};
// Receive and send buffer of each socket. Bounds what the system holds for a
// tunnel whose other side reads slowly.
constexpr int kSocketBufferBytes = 64 << 10;

template <typename Socket>
void LimitSocketBuffers(Socket& socket) {
  net::ErrorCode ignored;
  socket.set_option(
      net::asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  socket.set_option(
      net::asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
}

void LogRefused(const ConnectRequest& request, std::string_view outcome) {
  base::Log(base::LogLevel::kInfo, "tunnel_refused",
            {{"instance", request.instance},
             {"target", request.target},
             {"outcome", outcome}});
}

void LogOpened(const ConnectRequest& request, base::Millis took) {
  base::Log(base::LogLevel::kInfo, "tunnel_opened",
            {{"instance", request.instance},
             {"target", request.target},
             {"outcome", kStatusNames.NameOf(Status::kOpen)},
             {"took_ms", took.count}});
}

void LogEnded(const ConnectRequest& request,
              const RelayResult& result,
              base::Millis duration) {
  base::Log(base::LogLevel::kInfo, "tunnel_ended",
            {{"instance", request.instance},
             {"target", request.target},
             {"outcome", kRelayEndNames.NameOf(result.end)},
             {"to_target_bytes", result.bytes_to_target},
             {"from_target_bytes", result.bytes_from_target},
             {"duration_ms", duration.count}});
}

/// Sends the answer. Returns false when the connection failed.
awaitable<bool> SendAnswer(net::TimedSocket* requester,
                           Status status,
                           Framing framing = Framing::kNone) {
  const std::string answer = FormatAnswer(status, framing);
  const auto [ec, n] = co_await net::asio::async_write(
      requester->Raw(), net::asio::buffer(answer), net::kAsTuple);
  co_return !ec;
}

}  // namespace

Server::Server(const net::asio::any_io_executor& executor,
               FindAddress find_address,
               size_t maximum_tunnels)
    : executor_(executor),
      find_address_(std::move(find_address)),
      maximum_tunnels_(maximum_tunnels),
      acceptor_(executor) {}

bool Server::Listen(const std::string& address) {
  const auto endpoint = net::ParseAddress(address);
  if (!endpoint) {
    return false;
  }
  net::ErrorCode ec;
  acceptor_.open(endpoint->protocol(), ec);
  acceptor_.set_option(net::asio::socket_base::reuse_address(true), ec);
  // Accepted connections inherit the limit.
  LimitSocketBuffers(acceptor_);
  acceptor_.bind(*endpoint, ec);
  if (!ec) {
    acceptor_.listen(net::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return false;
  }
  net::Spawn(executor_, "tunnel_accept", AcceptConnections());
  return true;
}

awaitable<void> Server::AcceptConnections() {
  while (true) {
    auto [ec, socket] = co_await acceptor_.async_accept(net::kAsTuple);
    if (ec) {
      OnAcceptFailed(ec);
      net::asio::steady_timer timer(executor_, kAcceptRetryDelay.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
      continue;
    }
    if (n_handshakes_ >= kMaximumHandshakes) {
      net::TimedSocket(std::move(socket)).Reset();
      continue;
    }
    net::Spawn(executor_, "tunnel_handshake",
               ServeConnection(std::move(socket)));
  }
}

void Server::OnAcceptFailed(const net::ErrorCode& ec) {
  const base::Millis now = base::Clock::Now();
  ++n_failed_;
  if (now - failure_logged_at_ >= kLogPeriod) {
    failure_logged_at_ = now;
    base::Log(
        base::LogLevel::kWarning, "tunnel_accept_failed",
        {{"error", ec.message()}, {"failed", std::exchange(n_failed_, 0)}});
  }
}

awaitable<void> Server::ServeConnection(net::Tcp::socket socket) {
  Handshake handshake;
  handshake.began_at = base::Clock::Now();
  handshake.requester = std::make_unique<net::TimedSocket>(std::move(socket));
  handshake.requester->SetTcpOptions(net::DeadPeerDetection::kKeepAliveProbes);
  ++n_handshakes_;
  const bool is_received = co_await ReadRequest(&handshake);
  --n_handshakes_;
  if (!is_received) {
    LogRefused(handshake.request, "no_request");
    handshake.requester->Reset();
    co_return;
  }
  auto address = Admit(handshake.request);
  if (!address) {
    co_await Refuse(std::move(handshake), address.error());
    co_return;
  }
  ++n_tunnels_;
  co_await OpenTunnel(std::move(handshake), std::move(*address));
}

awaitable<bool> Server::ReadRequest(Handshake* handshake) {
  std::string received;
  std::array<char, kMaximumHandshakeBytes> buf{};
  net::TimedSocket* requester = handshake->requester.get();
  net::OperationDeadline& deadline = requester->ReadDeadline();
  deadline.Set(handshake->began_at + kRequestTimeout);
  while (!deadline.HasPassed()) {
    const auto [ec, n] = co_await requester->Raw().async_read_some(
        net::asio::buffer(buf), deadline.Token());
    if (ec) {
      break;
    }
    received.append(buf.data(), n);
    auto parsed = ParseRequest(received);
    if (parsed) {
      deadline.Clear();
      handshake->request = std::move(parsed->request);
      handshake->first_bytes = received.substr(parsed->size);
      co_return true;
    }
    if (parsed.error() == ParseError::kMalformed) {
      break;
    }
  }
  co_return false;
}

tl::expected<std::string, Status> Server::Admit(const ConnectRequest& request) {
  if (admission_ == Admission::kStopped || n_tunnels_ >= maximum_tunnels_) {
    return tl::unexpected(Status::kRefused);
  }
  return find_address_(request);
}

awaitable<void> Server::OpenTunnel(Handshake handshake, std::string address) {
  auto target = std::make_unique<net::TimedSocket>(executor_);
  net::ErrorCode ec;
  target->Raw().open(net::Tcp::v4(), ec);
  LimitSocketBuffers(target->Raw());
  ec = co_await target->Connect(address, base::Clock::Now() + kConnectTimeout);
  if (ec) {
    --n_tunnels_;
    target->Reset();
    co_await Refuse(std::move(handshake), Status::kTargetUnreachable);
    co_return;
  }
  const bool is_answered = co_await SendAnswer(
      handshake.requester.get(), Status::kOpen, handshake.request.framing);
  if (!is_answered) {
    --n_tunnels_;
    target->Reset();
    LogRefused(handshake.request, "requester_gone");
    co_return;
  }
  target->SetTcpOptions(net::DeadPeerDetection::kKeepAliveProbes);
  StartRelay(std::move(handshake), std::move(target));
}

awaitable<void> Server::Refuse(Handshake handshake, Status status) {
  LogRefused(handshake.request, kStatusNames.NameOf(status));
  co_await SendAnswer(handshake.requester.get(), status);
}

void Server::StartRelay(Handshake handshake,
                        std::unique_ptr<net::TimedSocket> target) {
  const base::Millis opened_at = base::Clock::Now();
  LogOpened(handshake.request, opened_at - handshake.began_at);
  const auto relay =
      std::make_shared<ByteRelay>(std::move(handshake.requester),
                                  std::move(target), handshake.request.framing);
  relay->Start(handshake.first_bytes,
               [this, request = std::move(handshake.request),
                opened_at](const RelayResult& result) {
                 --n_tunnels_;
                 LogEnded(request, result, base::Clock::Now() - opened_at);
               });
}

}  // namespace daisypond::tunnel

#include "tunnel/client.h"

#include <array>
#include <optional>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <tl/expected.hpp>

#include "tunnel/handshake.h"

namespace daisypond::tunnel {

namespace {

using net::asio::awaitable;

/// Returns how many bytes of `received`, which follow the answer's first part
/// `answer`, belong to the answer as well.
size_t CountAnswerBytes(const std::string& answer, std::string_view received) {
  const auto parsed = ParseAnswer(answer + std::string(received));
  return parsed ? parsed->size - answer.size() : received.size();
}

/// Reads up to the end of the answer and no further, because the bytes after it
/// belong to the target.
awaitable<OpenResult> ReadAnswer(net::TimedSocket* socket) {
  std::string answer;
  std::array<char, kMaximumHandshakeBytes> buf{};
  net::OperationDeadline& deadline = socket->ReadDeadline();
  while (!deadline.HasPassed()) {
    const auto [ec, n] = co_await socket->Raw().async_receive(
        net::asio::buffer(buf), net::Tcp::socket::message_peek,
        deadline.Token());
    if (ec) {
      break;
    }
    const size_t n_answer =
        CountAnswerBytes(answer, std::string_view(buf.data(), n));
    // The bytes have arrived already, so this read does not wait.
    const auto [read_ec, n_read] = co_await net::asio::async_read(
        socket->Raw(), net::asio::buffer(buf.data(), n_answer),
        deadline.Token());
    if (read_ec) {
      break;
    }
    answer.append(buf.data(), n_read);
    const auto parsed = ParseAnswer(answer);
    if (parsed) {
      co_return OpenResult{parsed->status, parsed->framing};
    }
    if (parsed.error() == ParseError::kMalformed) {
      break;
    }
  }
  co_return OpenResult{Status::kPeerUnreachable, Framing::kNone};
}

awaitable<OpenResult> Connect(net::TimedSocket* socket,
                              const std::string& peer_address,
                              const std::string& request,
                              base::Millis deadline) {
  const net::ErrorCode ec = co_await socket->Connect(peer_address, deadline);
  if (ec) {
    co_return OpenResult{Status::kPeerUnreachable, Framing::kNone};
  }
  socket->SetTcpOptions(net::DeadPeerDetection::kKeepAliveProbes);
  socket->WriteDeadline().Set(deadline);
  const auto [write_ec, n] =
      co_await net::asio::async_write(socket->Raw(), net::asio::buffer(request),
                                      socket->WriteDeadline().Token());
  socket->WriteDeadline().Clear();
  if (write_ec) {
    co_return OpenResult{Status::kPeerUnreachable, Framing::kNone};
  }
  socket->ReadDeadline().Set(deadline);
  const OpenResult result = co_await ReadAnswer(socket);
  socket->ReadDeadline().Clear();
  co_return result;
}

}  // namespace

awaitable<OpenResult> Open(net::TimedSocket* socket,
                           std::string peer_address,
                           ConnectRequest request,
                           base::Millis deadline) {
  const std::optional<std::string> text = FormatRequest(request);
  OpenResult result;
  if (text) {
    result = co_await Connect(socket, peer_address, *text, deadline);
  }
  if (result.status != Status::kOpen) {
    socket->Reset();
  }
  co_return result;
}

}  // namespace daisypond::tunnel

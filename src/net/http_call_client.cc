#include "net/http_call_client.h"

#include <algorithm>
#include <utility>

namespace daisypond::net {

namespace {

// Time allowed for opening a connection. A lost first packet is retransmitted
// after one second; the other 200 ms are for the round trip to a server in the
// same region.
constexpr base::Millis kConnectTimeout{1200};
// The largest responses are pages of table rows, which hold at most 1 MB before
// encoding.
constexpr uint64_t kMaximumResponseBytes = 4u << 20;
constexpr int kHttp11 = 11;
constexpr uint64_t kMillisPerSecond = 1000;

}  // namespace

base::Millis ResponseDeadline(base::Millis deadline,
                              uint64_t received,
                              base::Millis now) {
  const base::Millis earned{static_cast<int64_t>(received * kMillisPerSecond /
                                                 kMinimumBytesPerSecond)};
  return std::max(deadline, std::min(deadline + earned, now + kMaximumPause));
}

HttpCallClient::HttpCallClient(const asio::any_io_executor& executor,
                               std::string address)
    : executor_(executor),
      address_(std::move(address)),
      buffer_(kMaximumResponseBytes) {}

asio::awaitable<bool> HttpCallClient::OpenConnection(base::Millis deadline) {
  buffer_.clear();
  socket_ = std::make_unique<TimedSocket>(executor_);
  const base::Millis connect_deadline =
      std::min(deadline, base::Clock::Now() + kConnectTimeout);
  const ErrorCode ec = co_await socket_->Connect(address_, connect_deadline);
  if (!ec) {
    socket_->SetTcpOptions(DeadPeerDetection::kKeepAliveProbes);
  }
  co_return !ec;
}

HttpCallError HttpCallClient::CloseAfterError() {
  const bool has_timed_out = socket_->WriteDeadline().HasPassed() ||
                             socket_->ReadDeadline().HasPassed();
  socket_.reset();
  return has_timed_out ? HttpCallError::kTimedOut : HttpCallError::kBroken;
}

asio::awaitable<ErrorCode> HttpCallClient::ReadResponse(
    bhttp::response_parser<bhttp::string_body>* parser,
    base::Millis deadline) {
  base::Millis present = deadline;
  while (!parser->is_done()) {
    const auto [ec, n] = co_await bhttp::async_read_some(
        socket_->Raw(), buffer_, *parser, socket_->ReadDeadline().Token());
    if (ec) {
      co_return ec;
    }
    received_bytes_ += n;
    const base::Millis next =
        ResponseDeadline(deadline, received_bytes_, base::Clock::Now());
    if (next > present) {
      socket_->ReadDeadline().Set(next);
      present = next;
    }
  }
  co_return ErrorCode();
}

asio::awaitable<tl::expected<HttpResponse, HttpCallError>>
HttpCallClient::SendOnce(const Request& request, base::Millis deadline) {
  received_bytes_ = 0;
  if (socket_ == nullptr && !co_await OpenConnection(deadline)) {
    const bool has_timed_out = socket_->WriteDeadline().HasPassed();
    socket_.reset();
    co_return tl::unexpected(has_timed_out ? HttpCallError::kTimedOut
                                           : HttpCallError::kUnreachable);
  }
  socket_->WriteDeadline().Set(deadline);
  const auto [write_ec, written] = co_await bhttp::async_write(
      socket_->Raw(), request, socket_->WriteDeadline().Token());
  socket_->WriteDeadline().Clear();
  if (write_ec) {
    co_return tl::unexpected(CloseAfterError());
  }
  socket_->ReadDeadline().Set(deadline);
  bhttp::response_parser<bhttp::string_body> parser;
  parser.body_limit(kMaximumResponseBytes);
  if (co_await ReadResponse(&parser, deadline)) {
    co_return tl::unexpected(CloseAfterError());
  }
  socket_->ReadDeadline().Clear();
  if (!parser.keep_alive()) {
    socket_.reset();
  }
  co_return parser.release();
}

asio::awaitable<tl::expected<HttpResponse, HttpCallError>> HttpCallClient::Get(
    const std::string& path_and_query,
    base::Millis timeout) {
  co_return co_await Send(Request(bhttp::verb::get, path_and_query, kHttp11),
                          timeout);
}

asio::awaitable<tl::expected<HttpResponse, HttpCallError>> HttpCallClient::Post(
    const std::string& path,
    std::string body,
    base::Millis timeout) {
  Request request(bhttp::verb::post, path, kHttp11);
  request.set(bhttp::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  co_return co_await Send(std::move(request), timeout);
}

asio::awaitable<tl::expected<HttpResponse, HttpCallError>> HttpCallClient::Send(
    Request request,
    base::Millis timeout) {
  const base::Millis deadline = base::Clock::Now() + timeout;
  request.set(bhttp::field::host, address_);
  const bool is_reused_connection = socket_ != nullptr;
  auto response = co_await SendOnce(request, deadline);
  if (!response && is_reused_connection &&
      response.error() == HttpCallError::kBroken &&
      base::Clock::Now() < deadline) {
    response = co_await SendOnce(request, deadline);
  }
  co_return response;
}

}  // namespace daisypond::net

#include "net/http_call.h"

#include <algorithm>
#include <utility>

namespace daisypond::net {

namespace {

// Covers a lost first packet in the own region.
constexpr base::Millis kConnectTimeout{1200};
// A page of rows holds at most 1 MB before its encoding.
constexpr uint64_t kMaximumAnswerBytes = 4u << 20;
constexpr int kHttp11 = 11;

}  // namespace

HttpCaller::HttpCaller(const asio::any_io_executor& executor,
                       std::string address)
    : executor_(executor), address_(std::move(address)) {}

asio::awaitable<bool> HttpCaller::Open(base::Millis limit) {
  buffer_.clear();
  socket_ = std::make_unique<TimedSocket>(executor_);
  const base::Millis bound =
      std::min(limit, base::Clock::Now() + kConnectTimeout);
  const ErrorCode ec = co_await socket_->Connect(address_, bound);
  if (!ec) {
    socket_->Configure(Liveness::kProbed);
  }
  co_return !ec;
}

CallFault HttpCaller::Fail() {
  const bool has_expired = socket_->HasExpired();
  socket_.reset();
  return has_expired ? CallFault::kTimedOut : CallFault::kBroken;
}

asio::awaitable<tl::expected<CallAnswer, CallFault>> HttpCaller::Try(
    const bhttp::request<bhttp::empty_body>& request,
    base::Millis limit) {
  if (socket_ == nullptr && !co_await Open(limit)) {
    const bool has_expired = socket_->HasExpired();
    socket_.reset();
    co_return tl::unexpected(has_expired ? CallFault::kTimedOut
                                         : CallFault::kUnreachable);
  }
  socket_->Arm(limit);
  const auto [write_ec, written] =
      co_await bhttp::async_write(socket_->Raw(), request, kAsTuple);
  if (write_ec) {
    co_return tl::unexpected(Fail());
  }
  bhttp::response_parser<bhttp::string_body> parser;
  parser.body_limit(kMaximumAnswerBytes);
  const auto [ec, n] =
      co_await bhttp::async_read(socket_->Raw(), buffer_, parser, kAsTuple);
  if (ec) {
    co_return tl::unexpected(Fail());
  }
  socket_->Disarm();
  if (!parser.keep_alive()) {
    socket_.reset();
  }
  co_return parser.release();
}

asio::awaitable<tl::expected<CallAnswer, CallFault>> HttpCaller::Get(
    const std::string& target,
    base::Millis timeout) {
  const base::Millis limit = base::Clock::Now() + timeout;
  bhttp::request<bhttp::empty_body> request(bhttp::verb::get, target, kHttp11);
  request.set(bhttp::field::host, address_);
  const bool is_kept = socket_ != nullptr;
  auto answer = co_await Try(request, limit);
  if (!answer && is_kept && answer.error() == CallFault::kBroken &&
      base::Clock::Now() < limit) {
    answer = co_await Try(request, limit);
  }
  co_return answer;
}

}  // namespace daisypond::net

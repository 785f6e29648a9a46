#include "forward/request_reader.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "forward/http_text.h"

namespace daisypond::forward {

namespace {

using Parser = bhttp::request_parser<bhttp::string_body>;

// A caller that sends a body slower than this is not waited for.
constexpr base::Millis kBodyTimeout{30'000};
constexpr std::string_view kContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned kHttp10 = 10;

RequestFault FaultOf(const net::ErrorCode& ec, bool has_expired) {
  if (has_expired) {
    return RequestFault::kTimedOut;
  }
  if (ec == bhttp::error::header_limit) {
    return RequestFault::kHeaderTooLarge;
  }
  if (ec == bhttp::error::body_limit) {
    return RequestFault::kBodyTooLarge;
  }
  if (ec == bhttp::error::end_of_stream ||
      ec == bhttp::error::partial_message ||
      ec.category() == boost::system::system_category() ||
      ec.category() == net::asio::error::get_misc_category()) {
    return RequestFault::kClosed;
  }
  return RequestFault::kMalformed;
}

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

CallerRequest RequestOf(const Parser& parser) {
  const auto& message = parser.get();
  CallerRequest request;
  request.arrived_at = base::Clock::Now();
  request.method = View(message.method_string());
  request.target = View(message.target());
  request.host = HostOf(View(message[bhttp::field::host]));
  request.is_chunked = parser.chunked();
  request.has_length = parser.content_length().has_value();
  request.wants_close = !parser.keep_alive();
  request.is_http10 = message.version() <= kHttp10;
  request.fields = message;
  RemoveConnectionFields(&request.fields);
  return request;
}

}  // namespace

std::optional<base::Verdict> VerdictOf(RequestFault fault) {
  const auto refuse = [](base::Reason reason, const char* detail) {
    return base::Verdict{base::Execution::kNotRun,
                         reason,
                         detail,
                         {},
                         base::VerdictScope::kThisAttempt};
  };
  switch (fault) {
    case RequestFault::kMalformed:
      return refuse(base::Reason::kBadRequest,
                    "the request can't be read or can be read in two ways");
    case RequestFault::kHeaderTooLarge:
      return refuse(base::Reason::kHeaderTooLarge, "the header is too large");
    case RequestFault::kBodyTooLarge:
      return refuse(base::Reason::kBodyTooLarge, "the body is too large");
    case RequestFault::kClosed:
    case RequestFault::kTimedOut:
      break;
  }
  return std::nullopt;
}

net::asio::awaitable<tl::expected<CallerRequest, RequestFault>>
RequestReader::Read() {
  Parser parser;
  parser.header_limit(static_cast<uint32_t>(limits_.header_bytes));
  parser.body_limit(limits_.body_bytes);
  net::TimedSocket& socket = channel_->Socket();
  socket.Arm(base::Clock::Now() + limits_.header_timeout);
  const auto [head_ec, head_n] = co_await bhttp::async_read_header(
      socket.Raw(), channel_->Buffer(), parser, net::kAsTuple);
  socket.Disarm();
  if (head_ec) {
    co_return tl::unexpected(FaultOf(head_ec, socket.HasExpired()));
  }
  // Fields that follow a chunked body are left out on purpose.
  CallerRequest request = RequestOf(parser);
  if (!request.target.starts_with('/') ||
      parser.get().count(bhttp::field::host) != 1) {
    co_return tl::unexpected(RequestFault::kMalformed);
  }
  if (boost::beast::iequals(parser.get()[bhttp::field::expect],
                            "100-continue") &&
      !co_await channel_->Write(kContinueAnswer,
                                base::Clock::Now() + limits_.header_timeout)) {
    co_return tl::unexpected(RequestFault::kClosed);
  }
  if (!parser.is_done()) {
    socket.Arm(base::Clock::Now() + kBodyTimeout);
    const auto [ec, n] = co_await bhttp::async_read(
        socket.Raw(), channel_->Buffer(), parser, net::kAsTuple);
    socket.Disarm();
    if (ec) {
      co_return tl::unexpected(FaultOf(ec, socket.HasExpired()));
    }
  }
  request.body = std::move(parser.get().body());
  co_return request;
}

}  // namespace daisypond::forward

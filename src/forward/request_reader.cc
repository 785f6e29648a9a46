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

// Maximum time for reading the body of a request.
constexpr base::Millis kBodyTimeout{30'000};
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned kHttp10 = 10;

RequestReadError ReadErrorOf(const net::ErrorCode& ec, bool has_timed_out) {
  if (has_timed_out) {
    return RequestReadError::kTimedOut;
  }
  if (ec == bhttp::error::header_limit) {
    return RequestReadError::kHeaderTooLarge;
  }
  if (ec == bhttp::error::body_limit) {
    return RequestReadError::kBodyTooLarge;
  }
  if (ec == bhttp::error::end_of_stream ||
      ec == bhttp::error::partial_message ||
      ec.category() == boost::system::system_category() ||
      ec.category() == net::asio::error::get_misc_category()) {
    return RequestReadError::kClosed;
  }
  return RequestReadError::kMalformed;
}

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

CallerRequest MakeCallerRequest(const Parser& parser) {
  const auto& message = parser.get();
  CallerRequest request;
  request.arrived_at = base::Clock::Now();
  request.method = ToStringView(message.method_string());
  request.target = ToStringView(message.target());
  request.host = HostWithoutPort(ToStringView(message[bhttp::field::host]));
  request.is_chunked = parser.chunked();
  request.has_length = parser.content_length().has_value();
  request.wants_close = !parser.keep_alive();
  request.is_http10 = message.version() <= kHttp10;
  request.fields = message;
  RemoveConnectionFields(&request.fields);
  return request;
}

}  // namespace

std::optional<base::Verdict> VerdictForReadError(RequestReadError read_error) {
  const auto refuse = [](base::Reason reason, const char* detail) {
    return base::Verdict{base::Execution::kNotRun,
                         reason,
                         detail,
                         {},
                         base::VerdictScope::kThisAttempt};
  };
  switch (read_error) {
    case RequestReadError::kMalformed:
      return refuse(base::Reason::kBadRequest,
                    "the request can't be read or can be read in two ways");
    case RequestReadError::kHeaderTooLarge:
      return refuse(base::Reason::kHeaderTooLarge, "the header is too large");
    case RequestReadError::kBodyTooLarge:
      return refuse(base::Reason::kBodyTooLarge, "the body is too large");
    case RequestReadError::kClosed:
    case RequestReadError::kTimedOut:
      break;
  }
  return std::nullopt;
}

net::asio::awaitable<tl::expected<CallerRequest, RequestReadError>>
RequestReader::Read() {
  Parser parser;
  parser.header_limit(static_cast<uint32_t>(limits_.header_bytes));
  parser.body_limit(limits_.body_bytes);
  net::TimedSocket& socket = connection_->Socket();
  socket.SetDeadline(base::Clock::Now() + limits_.header_timeout);
  const auto [header_ec, header_n] = co_await bhttp::async_read_header(
      socket.Raw(), connection_->Buffer(), parser, net::kAsTuple);
  socket.ClearDeadline();
  if (header_ec) {
    co_return tl::unexpected(ReadErrorOf(header_ec, socket.HasTimedOut()));
  }
  // The header fields are copied before the body is read, so that the trailer
  // fields of a chunked body are not forwarded.
  CallerRequest request = MakeCallerRequest(parser);
  if (!request.target.starts_with('/') ||
      parser.get().count(bhttp::field::host) != 1) {
    co_return tl::unexpected(RequestReadError::kMalformed);
  }
  if (boost::beast::iequals(parser.get()[bhttp::field::expect],
                            "100-continue") &&
      !co_await connection_->Write(
          kContinueResponse, base::Clock::Now() + limits_.header_timeout)) {
    co_return tl::unexpected(RequestReadError::kClosed);
  }
  if (!parser.is_done()) {
    socket.SetDeadline(base::Clock::Now() + kBodyTimeout);
    const auto [ec, n] = co_await bhttp::async_read(
        socket.Raw(), connection_->Buffer(), parser, net::kAsTuple);
    socket.ClearDeadline();
    if (ec) {
      co_return tl::unexpected(ReadErrorOf(ec, socket.HasTimedOut()));
    }
  }
  request.body = std::move(parser.get().body());
  co_return request;
}

}  // namespace daisypond::forward

#ifndef DAISYPOND_NET_HTTP_CALL_CLIENT_H_
#define DAISYPOND_NET_HTTP_CALL_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/name_table.h"
#include "net/timed_socket.h"

namespace daisypond::net {

namespace bhttp = boost::beast::http;

/// Why a call got no response.
enum class HttpCallError : uint8_t { kUnreachable, kTimedOut, kBroken };

inline constexpr base::NameTable<HttpCallError, 3>
    kHttpCallErrorNames("unreachable", "timed_out", "broken");

using HttpResponse = bhttp::response<bhttp::string_body>;

/// A response that arrives faster is not given up for taking long: what has
/// been transferred would be lost, and the next call would take as long.
inline constexpr uint64_t kMinimumBytesPerSecond = 64u << 10;
/// A response that pauses for longer is given up.
inline constexpr base::Millis kMaximumPause{1000};

/// Returns until when more of a response must arrive, of which `received` bytes
/// have arrived, the last ones at `now`. `deadline` is that of the call.
base::Millis ResponseDeadline(base::Millis deadline,
                              uint64_t received,
                              base::Millis now);

/// Sends requests to one address, one at a time, over a persistent connection.
/// When a reused connection fails, the request is sent once more
/// over a new connection. Requests must therefore be safe to repeat.
class HttpCallClient {
 public:
  HttpCallClient(const asio::any_io_executor& executor, std::string address);

  /// Sends a GET request and reads the response. It must begin within
  /// `timeout`, and is complete within that time or arrives at no less than
  /// kMinimumBytesPerSecond without a pause of kMaximumPause.
  asio::awaitable<tl::expected<HttpResponse, HttpCallError>> Get(
      const std::string& path_and_query,
      base::Millis timeout);

  /// Sends a POST request with a JSON body and reads the response, as Get()
  /// does.
  asio::awaitable<tl::expected<HttpResponse, HttpCallError>>
  Post(const std::string& path, std::string body, base::Millis timeout);

  /// Bytes of the response to the last request that have been received, also
  /// when the call has failed.
  uint64_t ReceivedBytes() const { return received_bytes_; }

 private:
  using Request = bhttp::request<bhttp::string_body>;

  asio::awaitable<tl::expected<HttpResponse, HttpCallError>> Send(
      Request request,
      base::Millis timeout);
  asio::awaitable<tl::expected<HttpResponse, HttpCallError>> SendOnce(
      const Request& request,
      base::Millis deadline);
  asio::awaitable<bool> OpenConnection(base::Millis deadline);
  asio::awaitable<ErrorCode> ReadResponse(
      bhttp::response_parser<bhttp::string_body>* parser,
      base::Millis deadline);
  HttpCallError CloseAfterError();

  asio::any_io_executor executor_;
  std::string address_;
  std::unique_ptr<TimedSocket> socket_;
  boost::beast::flat_buffer buffer_;
  uint64_t received_bytes_ = 0;
};

}  // namespace daisypond::net

#endif  // DAISYPOND_NET_HTTP_CALL_CLIENT_H_

#ifndef DAISYPOND_FORWARD_CALLER_CONNECTION_H_
#define DAISYPOND_FORWARD_CALLER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include "net/timed_socket.h"

namespace daisypond::forward {

namespace bhttp = boost::beast::http;

/// Whether the connection to a caller stays open for another request after a
/// response.
enum class ConnectionReuse : uint8_t { kKeepOpen, kClose };

/// An HTTP request that has been read completely from a caller.
struct CallerRequest {
  std::string method;
  /// The request target (path and query), exactly as sent in the request line.
  std::string target;
  /// Header fields without the hop-by-hop ones (Connection, Transfer-Encoding
  /// and so on).
  bhttp::fields fields;
  /// Value of the Host field in lower case, without the port.
  std::string host;
  std::string body;
  bool is_chunked = false;
  /// True when the request has a Content-Length field.
  bool has_length = false;
  /// True when the caller wants the connection closed after the response.
  bool wants_close = false;
  bool is_http10 = false;
  base::Millis arrived_at;
};

/// The connection to one caller. Writes responses and detects when the caller
/// disconnects.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  explicit CallerConnection(net::Tcp::socket socket);

  net::TimedSocket& Socket() { return socket_; }
  boost::beast::flat_buffer& Buffer() { return buffer_; }

  /// Writes all bytes before `deadline`. Returns false when the caller has
  /// disconnected or does not read fast enough.
  net::asio::awaitable<bool> Write(std::string_view bytes,
                                   base::Millis deadline);

  /// Calls `on_disconnect` once when the caller disconnects, unless
  /// StopDisconnectWatch() is called first.
  void StartDisconnectWatch(std::function<void()> on_disconnect);
  void StopDisconnectWatch();

  bool IsDisconnected() const { return is_disconnected_; }

 private:
  void WaitForReadable(uint64_t generation);

  net::TimedSocket socket_;
  boost::beast::flat_buffer buffer_;
  std::function<void()> on_disconnect_;
  uint64_t watch_generation_ = 0;
  bool is_disconnected_ = false;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CALLER_CONNECTION_H_

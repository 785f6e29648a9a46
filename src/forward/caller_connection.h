#ifndef DAISYPOND_FORWARD_CALLER_CONNECTION_H_
#define DAISYPOND_FORWARD_CALLER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include "base/name_table.h"
#include "intake/room_lease.h"
#include "net/timed_socket.h"

namespace daisypond::forward {

namespace bhttp = boost::beast::http;

/// Whether the connection to a caller stays open for another request after a
/// response.
enum class ConnectionReuse : uint8_t { kKeepOpen, kClose };

/// What showed that a caller does not wait for its answer any more.
enum class DisconnectSign : uint8_t {
  kNone,
  /// The wait for input failed.
  kWaitFailed,
  /// The caller has ended its data, or the connection has failed.
  kInputEnded,
  kWriteFailed,
  /// The caller did not read fast enough.
  kWriteTimedOut,
};

inline constexpr base::NameTable<DisconnectSign, 5> kDisconnectSignNames(
    "none",
    "wait_failed",
    "input_ended",
    "write_failed",
    "write_timed_out");

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
  /// Null when the request has no body. Holds room for it as long as it exists.
  std::shared_ptr<const std::string> body;
  /// Room for everything but the body.
  intake::RoomLease header_room;
  bool is_chunked = false;
  /// True when the request has a Content-Length field.
  bool has_length = false;
  /// True when the caller wants the connection closed after the response.
  bool wants_close = false;
  bool is_http10 = false;
  base::Millis arrived_at;

  std::string_view Body() const {
    return body == nullptr ? std::string_view() : std::string_view(*body);
  }
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

  /// Writes all bytes in small pieces, each within `timeout`: a caller is
  /// judged by its progress, so that a slow one gets a large answer. Calls
  /// `on_progress` with the number of bytes after each piece. Returns false
  /// when the caller has disconnected or makes too little progress.
  net::asio::awaitable<bool> WriteByProgress(
      std::string_view bytes,
      base::Millis timeout,
      std::function<void(size_t)> on_progress);

  /// Calls `on_disconnect` once when the caller disconnects, unless
  /// StopDisconnectWatch() is called first.
  void StartDisconnectWatch(std::function<void()> on_disconnect);
  void StopDisconnectWatch();

  /// True when the caller has ended its data or the connection has failed. Also
  /// detects what the watch has not reported yet.
  bool HasDisconnected();

  /// The first sign that the caller has disconnected, and the error of the
  /// socket that came with it.
  DisconnectSign FirstDisconnectSign() const { return disconnect_sign_; }
  const net::ErrorCode& DisconnectError() const { return disconnect_error_; }

  /// True when the caller may still read: the connection has not failed. A
  /// caller that has ended its data may have closed only its own direction.
  bool MayStillRead() const {
    return disconnect_sign_ == DisconnectSign::kNone ||
           (disconnect_sign_ == DisconnectSign::kInputEnded &&
            disconnect_error_ == net::asio::error::eof);
  }

 private:
  void WaitForReadable(uint64_t generation);
  void OnDisconnected(DisconnectSign sign, const net::ErrorCode& ec);
  void OnWriteFailed(const net::ErrorCode& ec);

  net::TimedSocket socket_;
  boost::beast::flat_buffer buffer_;
  std::function<void()> on_disconnect_;
  uint64_t watch_generation_ = 0;
  DisconnectSign disconnect_sign_ = DisconnectSign::kNone;
  net::ErrorCode disconnect_error_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CALLER_CONNECTION_H_

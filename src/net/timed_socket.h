#ifndef DAISYPOND_NET_TIMED_SOCKET_H_
#define DAISYPOND_NET_TIMED_SOCKET_H_

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/clock.h"
#include "net/operation_deadline.h"

namespace daisypond::net {

using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// How the failure of the other end is detected when it does not close the
/// connection.
enum class DeadPeerDetection : uint8_t {
  /// The connection fails only when sent data stays unacknowledged for too
  /// long.
  kUnacknowledgedDataOnly,
  /// In addition, TCP keep-alive probes check a connection that has no
  /// unacknowledged data.
  kKeepAliveProbes,
};

/// What the other end of a connection sees when a socket is closed.
enum class CloseMode : uint8_t {
  /// The end of data, after all bytes that were written.
  kOrderly,
  kReset,
};

/// A TCP socket with a deadline for each direction. Must only be used on the
/// thread of its executor.
class TimedSocket {
 public:
  explicit TimedSocket(const asio::any_io_executor& executor);
  explicit TimedSocket(Tcp::socket socket);
  ~TimedSocket() = default;
  TimedSocket(const TimedSocket&) = delete;
  TimedSocket& operator=(const TimedSocket&) = delete;

  Tcp::socket& Raw() { return socket_; }

  /// Deadline of the read that is begun with its token.
  OperationDeadline& ReadDeadline() { return read_deadline_; }
  /// Deadline of the write that is begun with its token, and of Connect().
  OperationDeadline& WriteDeadline() { return write_deadline_; }

  /// Sets TCP options. Errors are ignored, because the connection works without
  /// the options.
  void SetTcpOptions(DeadPeerDetection detection);

  /// Connects to `address` ("IP:PORT") before `deadline`.
  asio::awaitable<ErrorCode> Connect(const std::string& address,
                                     base::Millis deadline);

  /// Closes the socket at once. When there are unread bytes, the other end sees
  /// a reset.
  void Close();

  /// Closes the socket so that the other end sees a reset.
  void Reset();

  /// Sets what the other end sees when the socket is closed by Close() or by
  /// the end of this process.
  void SetCloseMode(CloseMode mode);

  /// True when received bytes wait to be read. Does not block or consume bytes.
  bool HasUnreadBytes();

  /// True when the connection is closed or has unread bytes. Does not block or
  /// consume bytes.
  bool HasInputOrIsClosed();

  /// Number of written bytes that the other end has not acknowledged.
  size_t UnacknowledgedBytes();

  /// Returns why nothing more can be read: asio::error::eof after the orderly
  /// end of the other end's data, or the error of the connection. Returns no
  /// error while the connection is open or has unread bytes. Does not block or
  /// consume bytes.
  ErrorCode EndOfInput();

 private:
  Tcp::socket socket_;
  OperationDeadline read_deadline_;
  OperationDeadline write_deadline_;
};

}  // namespace daisypond::net

#endif  // DAISYPOND_NET_TIMED_SOCKET_H_

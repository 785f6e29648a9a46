#ifndef DAISYPOND_NET_TIMED_SOCKET_H_
#define DAISYPOND_NET_TIMED_SOCKET_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/clock.h"

namespace daisypond::net {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Completion token: the coroutine gets error codes as values.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// How soon a connection whose other end is gone without notice is given up.
enum class DeadPeerDetection : uint8_t {
  /// Acknowledgements only are bounded.
  kUnacknowledgedDataOnly,
  /// Keep-alive probes also watch a connection that waits to read.
  kKeepAliveProbes,
};

/// A TCP socket whose pending reads, writes and connects are cancelled when an
/// armed time deadline passes. Only for the thread of its executor.
class TimedSocket {
 public:
  explicit TimedSocket(const asio::any_io_executor& executor);
  explicit TimedSocket(Tcp::socket socket);
  ~TimedSocket();
  TimedSocket(const TimedSocket&) = delete;
  TimedSocket& operator=(const TimedSocket&) = delete;

  Tcp::socket& Raw() { return socket_; }

  /// Cancels what is pending at `deadline`. Replaces the deadline before.
  void SetDeadline(base::Millis deadline);
  void ClearDeadline();

  /// True when the armed deadline passed since the last SetDeadline().
  bool HasTimedOut() const { return has_timed_out_; }

  /// Sets TCP options; errors are ignored, as the options only help.
  void SetTcpOptions(DeadPeerDetection detection);

  /// Connects to "IP:PORT" by `deadline`.
  asio::awaitable<ErrorCode> Connect(const std::string& address,
                                     base::Millis deadline);

  /// Closes at once. With unread bytes the other end sees a reset.
  void Close();

  /// Closes so that the other end sees a reset.
  void Reset();

  /// True when the other end has closed or sent bytes; false when the
  /// connection is silent. Does not block and takes no bytes.
  bool HasInput();

  /// True when the other end has closed or reset the connection. Does not
  /// block and takes no bytes.
  bool IsClosedByPeer();

 private:
  Tcp::socket socket_;
  asio::steady_timer timer_;
  // Tells a timer's handler of an earlier deadline from the present one's.
  std::shared_ptr<uint64_t> generation_;
  bool has_timed_out_ = false;
};

}  // namespace daisypond::net

#endif  // DAISYPOND_NET_TIMED_SOCKET_H_

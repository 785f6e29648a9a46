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
enum class Liveness : uint8_t {
  /// Acknowledgements only are bounded.
  kWritesOnly,
  /// Keep-alive probes also watch a connection that waits to read.
  kProbed,
};

/// A TCP socket whose pending reads, writes and connects are cancelled when an
/// armed time limit passes. Only for the thread of its executor.
class TimedSocket {
 public:
  explicit TimedSocket(const asio::any_io_executor& executor);
  explicit TimedSocket(Tcp::socket socket);
  ~TimedSocket();
  TimedSocket(const TimedSocket&) = delete;
  TimedSocket& operator=(const TimedSocket&) = delete;

  Tcp::socket& Raw() { return socket_; }

  /// Cancels what is pending at `limit`. Replaces the limit before.
  void Arm(base::Millis limit);
  void Disarm();

  /// True when the armed limit passed since the last Arm().
  bool HasExpired() const { return has_expired_; }

  /// Sets TCP options; errors are ignored, as the options only help.
  void Configure(Liveness liveness);

  /// Connects to "IP:PORT" by `limit`.
  asio::awaitable<ErrorCode> Connect(const std::string& address,
                                     base::Millis limit);

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
  // Tells a timer's handler of an earlier limit from the present one's.
  std::shared_ptr<uint64_t> generation_;
  bool has_expired_ = false;
};

}  // namespace daisypond::net

#endif  // DAISYPOND_NET_TIMED_SOCKET_H_

#include "net/timed_socket.h"

#include <cerrno>
#include <string>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "net/address.h"

namespace daisypond::net {

namespace {

// A connection fails when sent bytes stay unacknowledged for this long. A few
// retransmissions between failure domains take much less time.
constexpr base::Millis kUnacknowledgedTimeout{2500};
// TCP keep-alive: idle time before the first probe, time between two probes,
// and number of unanswered probes after which the connection fails.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

enum class PeekResult : uint8_t { kNoData, kData, kClosed };

/// Looks for received bytes. `end` is set to the reason for kClosed.
PeekResult Peek(int fd, ErrorCode* end) {
  char buf = 0;
  const ssize_t n = recv(fd, &buf, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return PeekResult::kData;
  }
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    return PeekResult::kNoData;
  }
  *end = n == 0 ? asio::error::make_error_code(asio::error::eof)
                : ErrorCode(errno, boost::system::system_category());
  return PeekResult::kClosed;
}

}  // namespace

TimedSocket::TimedSocket(const asio::any_io_executor& executor)
    : socket_(executor), read_deadline_(executor), write_deadline_(executor) {}

TimedSocket::TimedSocket(Tcp::socket socket)
    : socket_(std::move(socket)),
      read_deadline_(socket_.get_executor()),
      write_deadline_(socket_.get_executor()) {}

void TimedSocket::SetTcpOptions(DeadPeerDetection detection) {
  const int fd = socket_.native_handle();
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(kUnacknowledgedTimeout.count));
  if (detection == DeadPeerDetection::kKeepAliveProbes) {
    SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbeCount);
  }
}

asio::awaitable<ErrorCode> TimedSocket::Connect(const std::string& address,
                                                base::Millis deadline) {
  const std::optional<Tcp::endpoint> endpoint = ParseAddress(address);
  if (!endpoint) {
    co_return asio::error::make_error_code(asio::error::invalid_argument);
  }
  write_deadline_.Set(deadline);
  const auto [ec] =
      co_await socket_.async_connect(*endpoint, write_deadline_.Token());
  write_deadline_.Clear();
  co_return ec;
}

void TimedSocket::Close() {
  read_deadline_.Clear();
  write_deadline_.Clear();
  ErrorCode ignored;
  socket_.close(ignored);
}

void TimedSocket::Reset() {
  SetCloseMode(CloseMode::kReset);
  Close();
}

void TimedSocket::SetCloseMode(CloseMode mode) {
  // A linger option that Asio knows of is withdrawn by its destructors.
  const linger option{mode == CloseMode::kReset ? 1 : 0, 0};
  setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &option,
             sizeof(option));
}

bool TimedSocket::HasUnreadBytes() {
  ErrorCode ignored;
  return socket_.is_open() &&
         Peek(socket_.native_handle(), &ignored) == PeekResult::kData;
}

bool TimedSocket::HasInputOrIsClosed() {
  ErrorCode ignored;
  return !socket_.is_open() ||
         Peek(socket_.native_handle(), &ignored) != PeekResult::kNoData;
}

size_t TimedSocket::UnacknowledgedBytes() {
  int n = 0;
  const bool is_known =
      socket_.is_open() && ioctl(socket_.native_handle(), SIOCOUTQ, &n) == 0;
  return is_known && n > 0 ? static_cast<size_t>(n) : 0;
}

ErrorCode TimedSocket::EndOfInput() {
  ErrorCode end;
  if (!socket_.is_open()) {
    return asio::error::make_error_code(asio::error::not_connected);
  }
  Peek(socket_.native_handle(), &end);
  return end;
}

}  // namespace daisypond::net

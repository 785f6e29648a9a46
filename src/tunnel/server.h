#ifndef DAISYPOND_TUNNEL_SERVER_H_
#define DAISYPOND_TUNNEL_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/name_table.h"
#include "net/timed_socket.h"
#include "tunnel/byte_relay.h"
#include "tunnel/connect_request.h"
#include "tunnel/status.h"

namespace daisypond::tunnel {

/// Whether a server opens new tunnels.
enum class Admission : uint8_t { kOpen, kStopped };

/// Carries bytes between other instances and targets. All methods but the
/// constructor run on the thread of the executor. The server must exist until
/// the executor has stopped.
class Server {
 public:
  /// Tunnels that may be open at the same time.
  static constexpr size_t kMaximumTunnels = 512;
  /// Time allowed for connecting to a target.
  static constexpr base::Millis kConnectTimeout{250};
  /// Time allowed for receiving a request.
  static constexpr base::Millis kRequestTimeout{400};

  /// Returns the address ("IP:PORT") of the target, or the status with which
  /// the request is refused.
  using FindAddress = std::function<tl::expected<std::string, Status>(
      const ConnectRequest& request)>;

  Server(const net::asio::any_io_executor& executor,
         FindAddress find_address,
         size_t maximum_tunnels = kMaximumTunnels);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to accept connections at `address` ("IP:PORT"). Returns false when
  /// the address could not be bound. May be called before the executor runs.
  bool Listen(const std::string& address);

  /// Refuses new tunnels from now on. Open ones go on.
  void StopAccepting() { admission_ = Admission::kStopped; }

  /// Number of tunnels that are open or being opened.
  size_t OpenTunnels() const { return n_tunnels_; }

 private:
  /// One request for a tunnel.
  struct Handshake {
    std::unique_ptr<net::TimedSocket> requester;
    ConnectRequest request;
    /// Bytes received after the request.
    std::string first_bytes;
    base::Millis began_at;
  };

  net::asio::awaitable<void> AcceptConnections();
  net::asio::awaitable<void> ServeConnection(net::Tcp::socket socket);
  /// Reads the request. Returns false when there was none in time.
  static net::asio::awaitable<bool> ReadRequest(Handshake* handshake);
  /// Connects to the target of an admitted request and answers it.
  net::asio::awaitable<void> OpenTunnel(Handshake handshake,
                                        std::string address);
  static net::asio::awaitable<void> Refuse(Handshake handshake, Status status);
  void StartRelay(Handshake handshake,
                  std::unique_ptr<net::TimedSocket> target);
  /// Logs failed accepts, at most one a second.
  void OnAcceptFailed(const net::ErrorCode& ec);
  /// Finds the address for a request, unless no new tunnel is admitted.
  tl::expected<std::string, Status> Admit(const ConnectRequest& request);

  net::asio::any_io_executor executor_;
  FindAddress find_address_;
  size_t maximum_tunnels_;
  net::Tcp::acceptor acceptor_;
  Admission admission_ = Admission::kOpen;
  size_t n_tunnels_ = 0;
  /// Connections whose request has not been answered yet.
  size_t n_handshakes_ = 0;
  /// Accepts that failed since the last log line of them.
  size_t n_failed_ = 0;
  base::Millis failure_logged_at_{INT64_MIN / 2};
};

}  // namespace daisypond::tunnel

#endif  // DAISYPOND_TUNNEL_SERVER_H_

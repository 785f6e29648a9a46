#ifndef DAISYPOND_FORWARD_TARGET_CONNECTION_H_
#define DAISYPOND_FORWARD_TARGET_CONNECTION_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>

#include "base/clock.h"
#include "forward/connection_route.h"
#include "net/timed_socket.h"
#include "tunnel/frame.h"
#include "tunnel/framing.h"

namespace daisypond::forward {

/// A connection to a target. Carries one request at a time.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  /// Maximum number of received bytes that await parsing. Headers, chunk
  /// extensions and trailers are parsed as a whole.
  static constexpr size_t kMaximumUnparsedBytes = 128u << 10;

  TargetConnection(const net::asio::any_io_executor& executor,
                   std::string target,
                   std::string address);

  net::TimedSocket& Socket() { return socket_; }
  boost::beast::flat_buffer& Buffer() { return buffer_; }
  const std::string& Target() const { return target_; }
  const std::string& Address() const { return address_; }

  /// Starts to write `header` and then `body`, if any, in the background and
  /// returns at once, so that the response can be read during the write: a
  /// target may respond before it has read the complete request.
  void StartWrite(std::string header,
                  std::shared_ptr<const std::string> body = nullptr);

  /// Waits for the next bytes of the target and appends them to Buffer().
  /// Returns net::asio::error::eof only when the target itself has closed the
  /// connection in order. If it can't be told whether that was the target or
  /// the peer that relays the bytes, returns
  /// net::asio::error::connection_aborted. If the connection was lost under the
  /// write, returns the error of the write.
  net::asio::awaitable<net::ErrorCode> Receive();

  /// To be called when a tunnel has been opened, with the form in which it
  /// carries the target's bytes.
  void OnTunnelOpened(tunnel::Framing framing);

  /// True when the other end has the last request as a whole and no bytes have
  /// arrived beyond the response that was read last. Another request would wait
  /// behind what a target that responds early has not read.
  bool IsReadyForRequest();

  bool IsWriteDone() const { return is_write_done_; }

  /// Why the last write has ended early; no error while it is in progress.
  const net::ErrorCode& WriteError() const { return write_error_; }

  /// Number of bytes that the last write has passed to the system.
  size_t WrittenBytes() const { return written_bytes_; }

  /// Number of bytes of the last request that the other end of the connection
  /// has acknowledged.
  size_t AcknowledgedBytes() {
    return written_bytes_ -
           std::min(written_bytes_, socket_.UnacknowledgedBytes());
  }

  /// Size of the last request in bytes.
  size_t TotalBytes() const { return total_bytes_; }

  /// True when the write has ended, with an error, before any byte was written.
  bool HasWrittenNothing() const {
    return is_write_done_ && written_bytes_ == 0;
  }

  /// Closes the connection because nobody waits for the answer any more.
  void Abandon() {
    is_abandoned_ = true;
    socket_.Close();
  }
  bool IsAbandoned() const { return is_abandoned_; }

  /// Number of requests sent on this connection.
  int RequestCount() const { return request_count_; }

  ConnectionRoute Route() const {
    return tunnel_peer == nullptr ? ConnectionRoute::kDirect
                                  : ConnectionRoute::kTunnel;
  }

  /// Name of the peer that relays the bytes, or an empty string.
  std::string Peer() const {
    return tunnel_peer == nullptr ? "" : *tunnel_peer;
  }

  bool HasBeenHeard() const { return last_heard_at.count > INT64_MIN / 2; }

  /// The way to the target, for log lines.
  std::string Via() const {
    return tunnel_peer == nullptr ? "direct" : *tunnel_peer;
  }

  /// Name of the peer that relays the bytes; null for a direct connection.
  std::shared_ptr<const std::string> tunnel_peer;
  /// When the direct connection was opened.
  base::Millis connected_at{INT64_MIN / 2};
  /// When bytes last arrived.
  base::Millis last_heard_at{INT64_MIN / 2};
  /// How long the target keeps this connection open while it is idle.
  base::Millis idle_timeout{2000};
  /// By this the pool counts the connections that exist.
  std::shared_ptr<const void> pool_reference;
  /// Time at which the connection was last returned to the pool.
  base::Millis idle_since;

 private:
  /// True when no bytes have arrived beyond the response that was read last.
  bool IsBetweenResponses() const {
    return buffer_.size() == 0 && (!decoder_ || (decoder_->IsBetweenFrames() &&
                                                 !decoder_->HasEnded()));
  }

  /// Reads from the socket into Buffer().
  net::asio::awaitable<net::ErrorCode> ReceiveBytes();
  /// Reads frames from the socket and appends their data to Buffer().
  net::asio::awaitable<net::ErrorCode> ReceiveFrames();

  net::TimedSocket socket_;
  boost::beast::flat_buffer buffer_;
  /// Set if the bytes arrive in frames.
  std::optional<tunnel::FrameDecoder> decoder_;
  std::string target_;
  std::string address_;
  std::string write_header_;
  std::shared_ptr<const std::string> write_body_;
  bool is_write_done_ = true;
  /// Set if the last write has ended with an error.
  net::ErrorCode write_error_;
  size_t written_bytes_ = 0;
  size_t total_bytes_ = 0;
  int request_count_ = 0;
  bool is_abandoned_ = false;
};

/// Logs that the request that was sent last was not written as a whole, if so.
void LogIfPartlyWritten(std::string_view request,
                        const TargetConnection& connection);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_CONNECTION_H_

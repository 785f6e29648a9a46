#ifndef DAISYPOND_TUNNEL_BYTE_RELAY_H_
#define DAISYPOND_TUNNEL_BYTE_RELAY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "base/name_table.h"
#include "net/timed_socket.h"
#include "tunnel/framing.h"

namespace daisypond::tunnel {

/// How a tunnel ended.
enum class RelayEnd : uint8_t {
  /// Both sides closed their connections in order.
  kClosed,
  /// The connection of the instance that requested the tunnel failed.
  kRequesterFailed,
  /// The connection to the target failed.
  kTargetFailed,
};

inline constexpr base::NameTable<RelayEnd, 3> kRelayEndNames("closed",
                                                             "requester_failed",
                                                             "target_failed");

struct RelayResult {
  RelayEnd end = RelayEnd::kClosed;
  uint64_t bytes_to_target = 0;
  uint64_t bytes_from_target = 0;
};

/// Copies bytes between the connection of a requesting instance and the
/// connection to a target. Passes on the end of each direction. When one
/// connection fails, resets the other, so that bytes cut off by a failure never
/// look complete. The same holds when this process ends: then the end mark is
/// missing, or without frames the requester's connection is reset. Reads no
/// more than one buffer ahead of the slower side.
class ByteRelay : public std::enable_shared_from_this<ByteRelay> {
 public:
  static constexpr size_t kBufferBytes = 8u << 10;

  /// Both sockets must be connected. `framing` is that of the bytes to the
  /// requester.
  ByteRelay(std::unique_ptr<net::TimedSocket> requester,
            std::unique_ptr<net::TimedSocket> target,
            Framing framing);

  /// Starts to copy and returns at once. `first_bytes`, of at most kBufferBytes
  /// bytes, go to the target first. `on_ended` is called once, when both
  /// directions have ended and both sockets are closed.
  void Start(std::string_view first_bytes,
             std::function<void(const RelayResult&)> on_ended);

 private:
  /// One direction of the tunnel.
  struct Flow {
    net::TimedSocket* from;
    net::TimedSocket* to;
    RelayEnd read_failure;
    RelayEnd write_failure;
    uint64_t* n_written;
    Framing framing = Framing::kNone;
    /// Number of bytes at the start of `buf` that are not written yet.
    size_t n_pending = 0;
    std::array<char, kBufferBytes> buf{};
  };

  net::asio::awaitable<void> Run(Flow* flow);
  /// Copies until the source's end of data. Returns kClosed for that.
  net::asio::awaitable<RelayEnd> Copy(Flow* flow);
  /// Writes the pending bytes, in a frame if the flow has frames.
  static net::asio::awaitable<net::ErrorCode> Write(Flow* flow);
  /// Writes the end mark if the flow has frames.
  static net::asio::awaitable<net::ErrorCode> WriteEnd(Flow* flow);
  void OnFailed(RelayEnd end);

  std::unique_ptr<net::TimedSocket> requester_;
  std::unique_ptr<net::TimedSocket> target_;
  RelayResult result_;
  Flow to_target_;
  Flow from_target_;
  int n_running_ = 0;
  std::function<void(const RelayResult&)> on_ended_;
};

}  // namespace daisypond::tunnel

#endif  // DAISYPOND_TUNNEL_BYTE_RELAY_H_

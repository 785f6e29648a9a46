#ifndef DAISYPOND_HTTP_CALLER_SOCKETS_H_
#define DAISYPOND_HTTP_CALLER_SOCKETS_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>

namespace daisypond::http {

/// What happens to the connection of a caller.
enum class SocketAction : uint8_t {
  kNone,
  /// Nothing more is read; an answer can still be written.
  kEndInput,
  kEnd,
};

/// The connection of a caller, as the system knows it.
struct CallerSocket {
  /// "IP:PORT" of the caller.
  std::string address;
  /// Bytes that have arrived and have not been read.
  int unread_bytes = 0;
};

/// Calls `choose` for each TCP connection that this process has accepted at
/// one of `ports`, and performs the action that it returns. CivetWeb does not
/// tell the descriptors of its connections and does not end a read or write of
/// another thread.
///
/// Costs two system calls for each open descriptor.
void ForEachCallerSocket(
    std::span<const int> ports,
    const std::function<SocketAction(const CallerSocket&)>& choose);

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_CALLER_SOCKETS_H_

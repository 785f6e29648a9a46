#ifndef DAISYPOND_FORWARD_CONNECT_TARGET_H_
#define DAISYPOND_FORWARD_CONNECT_TARGET_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/name_table.h"
#include "forward/forwarder.h"
#include "forward/target_connection.h"

namespace daisypond::forward {

enum class ConnectStatus : uint8_t {
  kConnected,
  kUnreachable,
  /// Nobody waits for the connection any more.
  kAbandoned,
  /// This instance has too many connections to open another one.
  kNoRoom,
};

inline constexpr base::NameTable<ConnectStatus, 4>
    kConnectStatusNames("connected", "unreachable", "abandoned", "no_room");

struct ConnectOutcome {
  ConnectStatus status = ConnectStatus::kUnreachable;
  /// The peer that was last asked to relay the connection; empty for a direct
  /// attempt.
  std::string peer;
};

/// Connects `connection` to its target before `deadline`: directly, or through
/// a peer if this instance has lost its path to the target.
net::asio::awaitable<ConnectOutcome> ConnectTarget(
    Forwarder* forwarder,
    std::shared_ptr<TargetConnection> connection,
    base::Millis deadline);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CONNECT_TARGET_H_

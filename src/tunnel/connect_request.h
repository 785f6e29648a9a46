#ifndef DAISYPOND_TUNNEL_CONNECT_REQUEST_H_
#define DAISYPOND_TUNNEL_CONNECT_REQUEST_H_

#include <cstdint>
#include <string>

#include "tunnel/framing.h"

namespace daisypond::tunnel {

/// What an instance tells a peer to open a tunnel.
struct ConnectRequest {
  /// Id of the target.
  std::string target;
  /// Start time of the target's process in Unix milliseconds; zero when any
  /// process of that id will do.
  int64_t started_at = 0;
  /// Name of the instance that requests the tunnel.
  std::string instance;
  /// The form in which the instance wants the target's bytes. A peer that does
  /// not know it uses kNone.
  Framing framing = Framing::kNone;

  bool operator==(const ConnectRequest&) const = default;
};

}  // namespace daisypond::tunnel

#endif  // DAISYPOND_TUNNEL_CONNECT_REQUEST_H_

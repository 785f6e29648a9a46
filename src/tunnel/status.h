#ifndef DAISYPOND_TUNNEL_STATUS_H_
#define DAISYPOND_TUNNEL_STATUS_H_

#include <cstdint>

#include "base/name_table.h"

namespace daisypond::tunnel {

/// Outcome of an attempt to open a tunnel to a target through a peer. Unless it
/// is kOpen, the target has received no bytes.
enum class Status : uint8_t {
  kOpen,
  /// The peer did not accept the connection or did not answer in time.
  kPeerUnreachable,
  /// The peer does not tunnel to this target: it is stopping, full, has lost
  /// its own path to the targets, or does not know this process of the target.
  kRefused,
  /// The peer could not connect to the target.
  kTargetUnreachable,
};

inline constexpr base::NameTable<Status, 4> kStatusNames("open",
                                                         "peer_unreachable",
                                                         "refused",
                                                         "target_unreachable");

}  // namespace daisypond::tunnel

#endif  // DAISYPOND_TUNNEL_STATUS_H_

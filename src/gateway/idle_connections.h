#ifndef DAISYPOND_GATEWAY_IDLE_CONNECTIONS_H_
#define DAISYPOND_GATEWAY_IDLE_CONNECTIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace daisypond::gateway {

/// A caller's connection that is open.
struct CallerConnectionState {
  uint64_t id = 0;
  /// The caller. Must exist as long as this object.
  std::string_view owner;
  /// Since when the connection has waited for a request; empty while a request
  /// is read or served.
  std::optional<base::Millis> idle_since;
};

/// Returns the ids of up to `n` idle connections that are to make room for
/// others, the first one first: the one that has been idle for longest of the
/// caller with most connections, or of all when that caller has no idle one.
std::vector<uint64_t> ChooseIdleToClose(
    const std::vector<CallerConnectionState>& open,
    size_t n);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_IDLE_CONNECTIONS_H_

#ifndef DAISYPOND_FORWARD_CONNECTION_ROUTE_H_
#define DAISYPOND_FORWARD_CONNECTION_ROUTE_H_

#include <cstdint>

#include "base/name_table.h"

namespace daisypond::forward {

/// How a connection reaches its target.
enum class ConnectionRoute : uint8_t {
  kDirect,
  /// Through a peer that relays the bytes.
  kTunnel,
};

inline constexpr base::NameTable<ConnectionRoute, 2> kConnectionRouteNames(
    "direct",
    "tunnel");

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CONNECTION_ROUTE_H_

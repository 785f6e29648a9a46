#ifndef DAISYPOND_FORWARD_TAKE_PERMIT_H_
#define DAISYPOND_FORWARD_TAKE_PERMIT_H_

#include "base/name_table.h"
#include "forward/forwarder.h"

namespace daisypond::forward {

/// What a send to a target needs a permit for.
enum class PermitKind : uint8_t {
  /// The target limits the requests a second.
  kRequest,
  /// The target is brittle, so its slots are leased.
  kSlot,
};

inline constexpr base::NameTable<PermitKind, 2> kPermitKindNames("request",
                                                                 "slot");

/// Takes a permit to send one request to a target that accepts `limit` requests
/// a second from all instances together. The permit is refused if the answer
/// takes too long. Granted when the forwarder has no source of permits.
net::asio::awaitable<RequestPermit> TakePermit(Forwarder* forwarder,
                                               TargetProcess target,
                                               double limit);

/// Leases a slot of a brittle target. The slot is refused if the answer takes
/// too long. Granted when the forwarder has no source of slots.
net::asio::awaitable<RequestPermit> TakeSlot(Forwarder* forwarder,
                                             SlotRequest request);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TAKE_PERMIT_H_

#ifndef DAISYPOND_FORWARD_TAKE_PERMIT_H_
#define DAISYPOND_FORWARD_TAKE_PERMIT_H_

#include "forward/forwarder.h"

namespace daisypond::forward {

/// Takes a permit to send one request to a target that accepts `limit` requests
/// a second from all instances together. The permit is refused if the answer
/// takes too long. Granted when the forwarder has no source of permits.
net::asio::awaitable<RequestPermit> TakePermit(Forwarder* forwarder,
                                               TargetProcess target,
                                               double limit);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TAKE_PERMIT_H_

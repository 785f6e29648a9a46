#ifndef DAISYPOND_FORWARD_FIND_STREAM_ORIGIN_H_
#define DAISYPOND_FORWARD_FIND_STREAM_ORIGIN_H_

#include <string>

#include "forward/forwarder.h"
#include "forward/stream_record.h"

namespace daisypond::forward {

/// Asks the instances by which version of `service` a stream was begun. `id` is
/// that of the attempt that got its first event. Unknown if the answer takes
/// too long.
net::asio::awaitable<StreamOrigin> FindStreamOrigin(Forwarder* forwarder,
                                                    std::string id,
                                                    std::string service);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_FIND_STREAM_ORIGIN_H_

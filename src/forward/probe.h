#ifndef DAISYPOND_FORWARD_PROBE_H_
#define DAISYPOND_FORWARD_PROBE_H_

#include <string>

#include "base/clock.h"
#include "forward/forwarder.h"

namespace daisypond::forward {

/// Asks a target with a GET of `path`. True when any answer comes by `limit`.
net::asio::awaitable<bool> ProbeTarget(Forwarder* forwarder,
                                       std::string target,
                                       std::string address,
                                       std::string path,
                                       base::Millis limit);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_PROBE_H_

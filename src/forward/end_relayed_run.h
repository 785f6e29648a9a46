#ifndef DAISYPOND_FORWARD_END_RELAYED_RUN_H_
#define DAISYPOND_FORWARD_END_RELAYED_RUN_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/name_table.h"
#include "forward/target_connection.h"

namespace daisypond::forward {

/// How it is known that a target works no longer on a run that was left.
enum class RunEndSign : uint8_t {
  /// The peer has sent the end of the connection or further bytes.
  kAnswered,
  /// The peer that relays the run must have found this instance gone.
  kTimedOut,
};

inline constexpr base::NameTable<RunEndSign, 2> kRunEndSignNames("answered",
                                                                 "timed_out");

/// Time after which a peer that hears nothing of this instance has closed its
/// connection to the target: the keep-alive time of tunnels.
inline constexpr base::Millis kPeerNoticeTime{3000};

/// Leaves a run that a peer relays and waits until its target has read that,
/// but no longer than until `deadline`. The peer may be cut off from this
/// instance and would let the target go on. Returns early when the connection
/// is closed meanwhile.
net::asio::awaitable<void> EndRelayedRun(
    std::string request,
    std::shared_ptr<TargetConnection> connection,
    base::Millis deadline);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_END_RELAYED_RUN_H_

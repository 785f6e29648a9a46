#ifndef DAISYPOND_FORWARD_PROCESS_CHECK_H_
#define DAISYPOND_FORWARD_PROCESS_CHECK_H_

#include <cstdint>
#include <memory>

#include "base/clock.h"
#include "base/name_table.h"
#include "forward/forwarder.h"
#include "forward/target_connection.h"

namespace daisypond::forward {

/// What is known of the process of a target that has closed a connection.
enum class ProcessState : uint8_t {
  kRunning,
  kEnded,
  /// It neither accepted nor refused a connection.
  kUnknown,
};

inline constexpr base::NameTable<ProcessState, 3> kProcessStateNames("running",
                                                                     "ended",
                                                                     "unknown");

/// Finds out whether the process at the other end of `closed` still runs, by
/// opening another connection on the same way before `deadline`. That
/// connection is kept for a later request.
///
/// An answer without framing ends with its connection, and the system closes
/// the connections of a process that was killed in the same way.
net::asio::awaitable<ProcessState> CheckProcess(
    Forwarder* forwarder,
    std::shared_ptr<TargetConnection> closed,
    base::Millis deadline);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_PROCESS_CHECK_H_

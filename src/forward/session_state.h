#ifndef DAISYPOND_FORWARD_SESSION_STATE_H_
#define DAISYPOND_FORWARD_SESSION_STATE_H_

#include <cstdint>

#include "base/name_table.h"

namespace daisypond::forward {

/// What the connection of a caller is used for at present.
enum class SessionState : uint8_t {
  /// No byte of the next request has been read.
  kIdle,
  /// A request has been read in part.
  kReading,
  /// A complete request has been read, its answer is not complete.
  kServing,
  /// The sending direction has ended; received bytes are discarded.
  kClosing,
};

inline constexpr base::NameTable<SessionState, 4> kSessionStateNames("idle",
                                                                     "reading",
                                                                     "serving",
                                                                     "closing");

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SESSION_STATE_H_

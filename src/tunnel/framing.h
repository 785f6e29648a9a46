#ifndef DAISYPOND_TUNNEL_FRAMING_H_
#define DAISYPOND_TUNNEL_FRAMING_H_

#include <cstdint>

#include "base/name_table.h"

namespace daisypond::tunnel {

/// How a tunnel carries the target's bytes to the requesting instance. The
/// bytes to the target are never framed.
enum class Framing : uint8_t {
  /// As they are. The end of the connection may be the target's or the peer's
  /// own. Builds before kFrames know no other form.
  kNone,
  /// In frames, see FrameDecoder. Only the target's end of data is marked.
  kFrames,
};

inline constexpr base::NameTable<Framing, 2> kFramingNames("none", "frames");

}  // namespace daisypond::tunnel

#endif  // DAISYPOND_TUNNEL_FRAMING_H_

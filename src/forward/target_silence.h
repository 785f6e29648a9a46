#ifndef DAISYPOND_FORWARD_TARGET_SILENCE_H_
#define DAISYPOND_FORWARD_TARGET_SILENCE_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/clock.h"
#include "base/name_table.h"
#include "catalog/configuration.h"
#include "forward/target_call.h"

namespace daisypond::forward {

/// What is done about a target that has sent nothing of a stream for a while.
enum class SilenceAction : uint8_t {
  kWait,
  /// A probe is to find out more.
  kProbe,
  kGiveUp,
};

inline constexpr base::NameTable<SilenceAction, 3>
    kSilenceActionNames("wait", "probe", "give_up");

/// Longest silence of a process that may go on with its runs.
inline constexpr base::Millis kLongestStall{2000};

struct TargetSilence {
  base::Millis duration;
  catalog::Repeatability repeatability = catalog::Repeatability::kRunOnce;
  /// True when another target can resume the run from a copy.
  bool is_copied = false;
  /// True when the catalog lists the process of the target.
  bool is_listed = true;
  /// Outcome of the last probe during the silence, if there was one.
  std::optional<CallEnd> probe = std::nullopt;
  /// Silence after which the target counts as lost if it is not known to live.
  base::Millis timeout{0};
  /// Silence after which the target counts as lost though its system takes
  /// connections.
  base::Millis stall_timeout = kLongestStall;
};

/// Decides what to do about the silence of a stream's target. A stream that may
/// run only once gains nothing from an early end: it is given up only if the
/// target has left the catalog as well. Any other stream is given up when it
/// can go on elsewhere and the run is sure to end: the target answers and so
/// reads the end of its connection, or is unreachable. A process that stands
/// still goes on with the run later, for as long as it has not read that end.
SilenceAction ChooseSilenceAction(const TargetSilence& silence);

/// Logs the silence of `target` after event `last_event` of a request.
void LogSilence(std::string_view request,
                std::string_view target,
                int64_t last_event,
                const TargetSilence& silence,
                SilenceAction action);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_SILENCE_H_

#ifndef DAISYPOND_FORWARD_TARGET_SILENCE_H_
#define DAISYPOND_FORWARD_TARGET_SILENCE_H_

#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "base/name_table.h"
#include "catalog/configuration.h"

namespace daisypond::forward {

/// What is done about a target that has sent nothing of a stream for a while.
enum class SilenceAction : uint8_t {
  kWait,
  /// The target counts as lost if it does not answer a probe.
  kProbe,
  kGiveUp,
};

inline constexpr base::NameTable<SilenceAction, 3>
    kSilenceActionNames("wait", "probe", "give_up");

struct TargetSilence {
  base::Millis duration;
  catalog::Repeatability repeatability = catalog::Repeatability::kRunOnce;
  /// True when another target can resume the run from a copy.
  bool is_copied = false;
  /// True when the catalog lists the process of the target.
  bool is_listed = true;
};

/// Decides what to do about a silence that is longer than the silence timeout
/// of the stream. A stream that may run only once gains nothing from an early
/// end: it is given up only if the target has left the catalog as well.
SilenceAction ChooseSilenceAction(const TargetSilence& silence);

/// Logs the silence of `target` after event `last_event` of a request.
void LogSilence(std::string_view request,
                std::string_view target,
                int64_t last_event,
                const TargetSilence& silence,
                SilenceAction action);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_SILENCE_H_

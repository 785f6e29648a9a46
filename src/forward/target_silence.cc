#include "forward/target_silence.h"

#include "base/log.h"

namespace daisypond::forward {

namespace {

// Targets fall silent for a second or so and go on. Some leave the catalog
// before they have finished their work.
constexpr base::Millis kLongestSoundSilence{3000};

}  // namespace

SilenceAction ChooseSilenceAction(const TargetSilence& silence) {
  if (silence.repeatability == catalog::Repeatability::kRunOnce) {
    return silence.is_listed || silence.duration < kLongestSoundSilence
               ? SilenceAction::kWait
               : SilenceAction::kProbe;
  }
  return silence.is_copied ? SilenceAction::kGiveUp : SilenceAction::kProbe;
}

void LogSilence(std::string_view request,
                std::string_view target,
                int64_t last_event,
                const TargetSilence& silence,
                SilenceAction action) {
  base::Log(base::LogLevel::kInfo, "target_silent",
            {{"request", request},
             {"target", target},
             {"event", last_event},
             {"silent_ms", silence.duration.count},
             {"repeatability",
              catalog::kRepeatabilityNames.NameOf(silence.repeatability)},
             {"copied", silence.is_copied},
             {"listed", silence.is_listed},
             {"action", kSilenceActionNames.NameOf(action)}});
}

}  // namespace daisypond::forward

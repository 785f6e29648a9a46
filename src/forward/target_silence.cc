#include "forward/target_silence.h"

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

}  // namespace daisypond::forward

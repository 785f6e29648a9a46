#include "forward/target_silence.h"

#include "base/log.h"

namespace daisypond::forward {

namespace {

// Targets fall silent for a second or so and go on. Some leave the catalog
// before they have finished their work.
constexpr base::Millis kLongestSoundSilence{3000};

SilenceAction ChooseForRunOnce(const TargetSilence& silence) {
  if (silence.is_listed || silence.duration < kLongestSoundSilence) {
    return SilenceAction::kWait;
  }
  if (!silence.probe) {
    return SilenceAction::kProbe;
  }
  return silence.probe == CallEnd::kAnswered ? SilenceAction::kWait
                                             : SilenceAction::kGiveUp;
}

SilenceAction ActionAfterProbe(const TargetSilence& silence) {
  switch (*silence.probe) {
    case CallEnd::kAnswered:
      return silence.is_copied ? SilenceAction::kGiveUp : SilenceAction::kWait;
    case CallEnd::kUnanswered:
      return silence.duration < silence.stall_timeout ? SilenceAction::kWait
                                                      : SilenceAction::kGiveUp;
    case CallEnd::kUnreachable:
      break;
  }
  return SilenceAction::kGiveUp;
}

}  // namespace

SilenceAction ChooseSilenceAction(const TargetSilence& silence) {
  if (silence.repeatability == catalog::Repeatability::kRunOnce) {
    return ChooseForRunOnce(silence);
  }
  if (!silence.probe) {
    return SilenceAction::kProbe;
  }
  return silence.duration < silence.timeout ? SilenceAction::kWait
                                            : ActionAfterProbe(silence);
}

void LogSilence(std::string_view request,
                std::string_view target,
                int64_t last_event,
                const TargetSilence& silence,
                SilenceAction action) {
  base::Log(
      base::LogLevel::kInfo, "target_silent",
      {{"request", request},
       {"target", target},
       {"event", last_event},
       {"silent_ms", silence.duration.count},
       {"repeatability",
        catalog::kRepeatabilityNames.NameOf(silence.repeatability)},
       {"copied", silence.is_copied},
       {"listed", silence.is_listed},
       {"probe", silence.probe ? kCallEndNames.NameOf(*silence.probe) : "none"},
       {"action", kSilenceActionNames.NameOf(action)}});
}

}  // namespace daisypond::forward

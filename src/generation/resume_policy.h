#ifndef DAISYPOND_GENERATION_RESUME_POLICY_H_
#define DAISYPOND_GENERATION_RESUME_POLICY_H_

#include <concepts>
#include <cstdint>
#include <variant>

#include "base/clock.h"
#include "generation/gap_statistics.h"
#include "intents/configuration.h"

namespace daisypond::generation {

/// Whether a generation whose target was lost continues after the tokens it
/// already has or starts again from the first token.
enum class LossHandling : uint8_t { kResumePrefix, kStartAgain };

/// Whether the stream of a silent target is closed when the next attempt has
/// been sent to a target (kReplace), or stays open beside the next attempt
/// until one of the two delivers the next token (kHedge).
enum class SilenceHandling : uint8_t { kReplace, kHedge };

/// Decides how long a target may be silent, and what happens when it is silent
/// for longer or is lost.
template <typename T>
concept ResumePolicy = requires(const T policy,
                                const GapStatistics& gaps,
                                size_t prefix_tokens) {
  { policy.SilenceTimeout(gaps, prefix_tokens) } -> std::same_as<base::Millis>;
  {
    policy.FirstTokenTimeout(gaps, prefix_tokens)
    } -> std::same_as<base::Millis>;
  { policy.OnLoss() } -> std::same_as<LossHandling>;
  { policy.OnSilence() } -> std::same_as<SilenceHandling>;
};

/// Weighs the time spent waiting for a lost target against the tokens that are
/// recomputed needlessly when a target is only slow. The silence timeout t
/// minimises
///   latency_weight * P(loss) * t  +  resource_weight * P(gap > t) * prefix
/// with t in seconds and the prefix in thousands of tokens.
class CostPolicy {
 public:
  explicit CostPolicy(const intents::ResumeSettings& settings);

  base::Millis SilenceTimeout(const GapStatistics& gaps,
                              size_t prefix_tokens) const;
  base::Millis FirstTokenTimeout(const GapStatistics& gaps,
                                 size_t prefix_tokens) const;
  LossHandling OnLoss() const { return LossHandling::kResumePrefix; }
  SilenceHandling OnSilence() const;

 private:
  double latency_weight_;
  double resource_weight_;
};

/// A baseline for comparison: the silence timeout is fixed, whatever gaps have
/// been observed.
class FixedTimeoutPolicy {
 public:
  base::Millis SilenceTimeout(const GapStatistics& gaps,
                              size_t prefix_tokens) const;
  base::Millis FirstTokenTimeout(const GapStatistics& gaps,
                                 size_t prefix_tokens) const;
  LossHandling OnLoss() const { return LossHandling::kResumePrefix; }
  SilenceHandling OnSilence() const { return SilenceHandling::kReplace; }
};

/// A baseline for comparison: after the loss of a target the caller is told to
/// discard the tokens received so far, and the generation starts again.
class RestartPolicy {
 public:
  base::Millis SilenceTimeout(const GapStatistics& gaps,
                              size_t prefix_tokens) const;
  base::Millis FirstTokenTimeout(const GapStatistics& gaps,
                                 size_t prefix_tokens) const;
  LossHandling OnLoss() const { return LossHandling::kStartAgain; }
  SilenceHandling OnSilence() const { return SilenceHandling::kReplace; }
};

static_assert(ResumePolicy<CostPolicy>);
static_assert(ResumePolicy<FixedTimeoutPolicy>);
static_assert(ResumePolicy<RestartPolicy>);

using AnyResumePolicy =
    std::variant<CostPolicy, FixedTimeoutPolicy, RestartPolicy>;

/// Creates the policy that the settings select.
AnyResumePolicy MakeResumePolicy(const intents::ResumeSettings& settings);

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_RESUME_POLICY_H_

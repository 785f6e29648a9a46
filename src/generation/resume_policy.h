#ifndef DAISYPOND_GENERATION_RESUME_POLICY_H_
#define DAISYPOND_GENERATION_RESUME_POLICY_H_

#include <concepts>
#include <cstdint>
#include <variant>

#include "base/clock.h"
#include "generation/gap_statistics.h"
#include "intents/configuration.h"

namespace daisypond::generation {

/// Whether a generation goes on from its tokens or starts anew after a loss.
enum class LossHandling : uint8_t { kResumePrefix, kStartAgain };

/// Whether a silent target's stream stays open beside the next attempt.
enum class SilenceHandling : uint8_t { kReplace, kHedge };

/// Decides when a silent target counts as lost and what is done then.
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

/// Weighs the wait for a lost target against tokens computed in vain for one
/// that is only slow: the bound b minimises
///   latency_weight * P(loss) * b  +  resource_weight * P(gap > b) * prefix.
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

/// Baseline: one bound for every silence.
class FixedTimeoutPolicy {
 public:
  base::Millis SilenceTimeout(const GapStatistics& gaps,
                              size_t prefix_tokens) const;
  base::Millis FirstTokenTimeout(const GapStatistics& gaps,
                                 size_t prefix_tokens) const;
  LossHandling OnLoss() const { return LossHandling::kResumePrefix; }
  SilenceHandling OnSilence() const { return SilenceHandling::kReplace; }
};

/// Baseline: after a loss the caller is told to discard what it has, and the
/// generation starts again.
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

/// The policy that a configuration asks for.
AnyResumePolicy MakeResumePolicy(const intents::ResumeSettings& settings);

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_RESUME_POLICY_H_

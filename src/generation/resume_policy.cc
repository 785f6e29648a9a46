#include "generation/resume_policy.h"

#include <algorithm>

namespace daisypond::generation {

namespace {

constexpr base::Millis kFixedSilenceTimeout{5000};
constexpr base::Millis kFixedFirstTokenTimeout{10'000};
constexpr base::Millis kMinimumFirstTokenTimeout{1000};
constexpr base::Millis kMaximumFirstTokenTimeout{10'000};
constexpr int64_t kFirstTokenTimeoutFactor = 4;
constexpr double kMillisecondsPerSecond = 1000;
// CostPolicy measures the cost of recomputing a prefix in units of this many
// tokens.
constexpr double kPrefixTokensPerCostUnit = 1000;

}  // namespace

CostPolicy::CostPolicy(const intents::ResumeSettings& settings)
    : latency_weight_(settings.latency_weight),
      resource_weight_(settings.resource_weight) {}

base::Millis CostPolicy::SilenceTimeout(const GapStatistics& gaps,
                                        size_t prefix_tokens) const {
  const double prefix_cost_units =
      std::max(static_cast<double>(prefix_tokens), 1.0) /
      kPrefixTokensPerCostUnit;
  const double loss_probability = gaps.LossProbability();
  size_t best_index = 0;
  double best_cost = 0;
  for (size_t i = 0; i < kSilenceTimeoutsMs.size(); ++i) {
    const double timeout_seconds =
        static_cast<double>(kSilenceTimeoutsMs[i]) / kMillisecondsPerSecond;
    const double cost =
        latency_weight_ * loss_probability * timeout_seconds +
        resource_weight_ * gaps.LongerGapProbability(i) * prefix_cost_units;
    if (i == 0 || cost < best_cost) {
      best_index = i;
      best_cost = cost;
    }
  }
  return {kSilenceTimeoutsMs[best_index]};
}

base::Millis CostPolicy::FirstTokenTimeout(const GapStatistics& gaps,
                                           size_t prefix_tokens) const {
  const base::Millis expected =
      gaps.ExpectedFirstTokenDelay(prefix_tokens) * kFirstTokenTimeoutFactor;
  return std::clamp(expected, kMinimumFirstTokenTimeout,
                    kMaximumFirstTokenTimeout);
}

SilenceHandling CostPolicy::OnSilence() const {
  return latency_weight_ > resource_weight_ ? SilenceHandling::kHedge
                                            : SilenceHandling::kReplace;
}

base::Millis FixedTimeoutPolicy::SilenceTimeout(const GapStatistics&,
                                                size_t) const {
  return kFixedSilenceTimeout;
}

base::Millis FixedTimeoutPolicy::FirstTokenTimeout(const GapStatistics&,
                                                   size_t) const {
  return kFixedFirstTokenTimeout;
}

base::Millis RestartPolicy::SilenceTimeout(const GapStatistics&, size_t) const {
  return kFixedSilenceTimeout;
}

base::Millis RestartPolicy::FirstTokenTimeout(const GapStatistics&,
                                              size_t) const {
  return kFixedFirstTokenTimeout;
}

AnyResumePolicy MakeResumePolicy(const intents::ResumeSettings& settings) {
  switch (settings.mode) {
    case intents::ResumeMode::kFixedTimeout:
      return FixedTimeoutPolicy();
    case intents::ResumeMode::kRestart:
      return RestartPolicy();
    default:
      return CostPolicy(settings);
  }
}

}  // namespace daisypond::generation

#include "generation/gap_statistics.h"

#include <algorithm>

namespace daisypond::generation {

namespace {

// All counts are halved when the gap count reaches this value, so that the last
// few thousand gaps weigh most.
constexpr double kHalvingGapCount = 20'000;
constexpr double kFirstTokenSmoothingFactor = 0.1;
// A delay measured with at least this many prefix tokens updates the prefill
// time per token. A delay measured with fewer tokens updates the base delay.
constexpr size_t kLongPrefixTokens = 200;

}  // namespace

void GapStatistics::HalveCounts() {
  gap_count_ /= 2;
  loss_count_ /= 2;
  for (double& it : longer_gap_counts_) {
    it /= 2;
  }
}

void GapStatistics::AddGap(base::Millis gap) {
  gap_count_ += 1;
  for (size_t i = 0; i < kSilenceTimeoutsMs.size(); ++i) {
    longer_gap_counts_[i] += gap.count > kSilenceTimeoutsMs[i] ? 1 : 0;
  }
  if (gap_count_ >= kHalvingGapCount) {
    HalveCounts();
  }
}

void GapStatistics::AddUnfinishedGap() {
  gap_count_ += 1;
  for (double& it : longer_gap_counts_) {
    it += 1;
  }
}

void GapStatistics::AddLoss() {
  loss_count_ += 1;
}

void GapStatistics::AddFirstTokenDelay(base::Millis delay,
                                       size_t prefix_tokens) {
  const auto milliseconds = static_cast<double>(delay.count);
  if (prefix_tokens < kLongPrefixTokens) {
    first_token_delay_ms_ +=
        kFirstTokenSmoothingFactor * (milliseconds - first_token_delay_ms_);
    return;
  }
  const double ms_per_token =
      std::max(0.0, milliseconds - first_token_delay_ms_) /
      static_cast<double>(prefix_tokens);
  prefill_ms_per_token_ +=
      kFirstTokenSmoothingFactor * (ms_per_token - prefill_ms_per_token_);
}

double GapStatistics::LongerGapProbability(size_t i) const {
  return (longer_gap_counts_[i] + 0.5) / (gap_count_ + 1);
}

double GapStatistics::LossProbability() const {
  return (loss_count_ + 0.5) / (gap_count_ + 1);
}

base::Millis GapStatistics::ExpectedFirstTokenDelay(
    size_t prefix_tokens) const {
  return {static_cast<int64_t>(first_token_delay_ms_ +
                               prefill_ms_per_token_ *
                                   static_cast<double>(prefix_tokens))};
}

void GapStatisticsTable::AddGap(const std::string& model_version,
                                base::Millis gap) {
  const std::lock_guard lock(mutex_);
  statistics_[model_version].AddGap(gap);
}

void GapStatisticsTable::AddUnfinishedGap(const std::string& model_version) {
  const std::lock_guard lock(mutex_);
  statistics_[model_version].AddUnfinishedGap();
}

void GapStatisticsTable::AddLoss(const std::string& model_version) {
  const std::lock_guard lock(mutex_);
  statistics_[model_version].AddLoss();
}

void GapStatisticsTable::AddFirstTokenDelay(const std::string& model_version,
                                            base::Millis delay,
                                            size_t prefix_tokens) {
  const std::lock_guard lock(mutex_);
  statistics_[model_version].AddFirstTokenDelay(delay, prefix_tokens);
}

GapStatistics GapStatisticsTable::StatisticsOf(
    const std::string& model_version) const {
  const std::lock_guard lock(mutex_);
  const auto it = statistics_.find(model_version);
  return it == statistics_.end() ? GapStatistics{} : it->second;
}

}  // namespace daisypond::generation

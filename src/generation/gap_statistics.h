#ifndef DAISYPOND_GENERATION_GAP_STATISTICS_H_
#define DAISYPOND_GENERATION_GAP_STATISTICS_H_

#include <array>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace daisypond::generation {

/// The silence timeouts that CostPolicy chooses from, in milliseconds. A target
/// that sends no token for the chosen time counts as silent.
inline constexpr std::array<int64_t, 9> kSilenceTimeoutsMs = {
    200, 300, 450, 700, 1000, 1300, 1600, 2000, 2500};

/// Statistics about one model version: the times between consecutive tokens
/// (gaps), the number of lost targets and the delays of first tokens. Recent
/// observations weigh more than old ones.
class GapStatistics {
 public:
  void AddGap(base::Millis gap);

  /// Counts a gap whose length is unknown because the attempt was cancelled
  /// while its target was silent. It counts as longer than every timeout, so
  /// that the chosen timeout grows until gaps are observed to their end again.
  void AddUnfinishedGap();

  void AddLoss();
  void AddFirstTokenDelay(base::Millis delay, size_t prefix_tokens);

  /// The probability that a gap of a live target is longer than
  /// kSilenceTimeoutsMs[i].
  double LongerGapProbability(size_t i) const;

  /// The probability that a target is lost between one token and the next.
  double LossProbability() const;

  /// The expected time to the first new token of an attempt whose target has to
  /// process `prefix_tokens` earlier tokens first.
  base::Millis ExpectedFirstTokenDelay(size_t prefix_tokens) const;

 private:
  void HalveCounts();

  double gap_count_ = 100;
  // For each timeout in kSilenceTimeoutsMs, the number of gaps that were longer
  // than the timeout. The initial values assume 100 observed gaps, of which 2
  // were longer than the shortest timeout and none was longer than the longest
  // timeout.
  std::array<double, kSilenceTimeoutsMs.size()> longer_gap_counts_ = {
      2, 1.3, 0.8, 0.4, 0.2, 0.1, 0.05, 0.02, 0};
  double loss_count_ = 0;
  double first_token_delay_ms_ = 150;
  double prefill_ms_per_token_ = 0.2;
};

/// Gap statistics for each model version. The parameter `model_version` is the
/// text that ModelVersion::ToString writes. Thread-safe.
class GapStatisticsTable {
 public:
  void AddGap(const std::string& model_version, base::Millis gap);
  void AddUnfinishedGap(const std::string& model_version);
  void AddLoss(const std::string& model_version);
  void AddFirstTokenDelay(const std::string& model_version,
                          base::Millis delay,
                          size_t prefix_tokens);
  GapStatistics StatisticsOf(const std::string& model_version) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, GapStatistics> statistics_;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_GAP_STATISTICS_H_

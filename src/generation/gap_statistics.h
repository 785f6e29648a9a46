#ifndef DAISYPOND_GENERATION_GAP_STATISTICS_H_
#define DAISYPOND_GENERATION_GAP_STATISTICS_H_

#include <array>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace daisypond::generation {

/// Silence bounds that a policy chooses from, in milliseconds.
inline constexpr std::array<int64_t, 9> kSilenceTimeoutsMs = {
    200, 300, 450, 700, 1000, 1300, 1600, 2000, 2500};

/// How long targets of one model pause between tokens, and how often they are
/// lost. Old observations fade.
class GapStatistics {
 public:
  void AddGap(base::Millis gap);

  /// A target was given up on while it was silent, so that nobody knows how
  /// long it would have been. Counted as longer than every bound: the bound
  /// then grows until real gaps are seen again.
  void AddUnfinishedGap();

  void AddLoss();
  void AddFirstToken(base::Millis wait, size_t prefix_tokens);

  /// The chance that a live target is silent for longer than bound `i`.
  double LongerGapProbability(size_t i) const;

  /// The chance for each token that the target is lost before the next one.
  double LossProbability() const;

  /// The expected wait for a first token after `prefix_tokens`.
  base::Millis ExpectedFirstTokenDelay(size_t prefix_tokens) const;

 private:
  void HalveCounts();

  double gap_count_ = 100;
  // Before the first observations: one gap in fifty is longer than the first
  // bound, and fewer are longer than the others.
  std::array<double, kSilenceTimeoutsMs.size()> longer_gap_counts_ = {
      2, 1.3, 0.8, 0.4, 0.2, 0.1, 0.05, 0.02, 0};
  double loss_count_ = 0;
  double first_token_ms_ = 150;
  double prefill_ms_per_token_ = 0.2;
};

/// Statistics by model. Thread-safe.
class GapStatisticsTable {
 public:
  void AddGap(const std::string& identity, base::Millis gap);
  void AddUnfinishedGap(const std::string& identity);
  void AddLoss(const std::string& identity);
  void AddFirstToken(const std::string& identity,
                     base::Millis wait,
                     size_t prefix_tokens);
  GapStatistics StatisticsOf(const std::string& identity) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, GapStatistics> statistics_;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_GAP_STATISTICS_H_

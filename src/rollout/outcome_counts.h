#ifndef DAISYPOND_ROLLOUT_OUTCOME_COUNTS_H_
#define DAISYPOND_ROLLOUT_OUTCOME_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "rollout/types.h"

namespace daisypond::rollout {

/// Identifies the target that answered, and on which route.
struct AnswerSource {
  std::string route;
  std::string failure_domain;
  std::string target;
  Side side = Side::kOld;

  auto operator<=>(const AnswerSource&) const = default;
};

/// Counts for one order what one instance sees. Keeps at most kMaxCells
/// sources between two reports and kMaxRoutes routes; drops further ones.
class OutcomeCollector {
 public:
  explicit OutcomeCollector(const Order& order);

  /// A new request of a caller.
  void CountRequest(const std::string& route);
  /// A send that reached a target.
  void CountSent(Side side);
  /// An answer; `latency` is the time to its first byte. Lost connections are
  /// no answers.
  void CountAnswer(const AnswerSource& source,
                   bool is_failure,
                   base::Millis latency);
  /// The end of a send that was counted by CountSent().
  void CountEnded(Side side, base::Millis duration);

  /// Returns the totals, and the outcomes since the last call.
  Report TakeReport(uint64_t followed, bool is_rolled_back);

  static constexpr size_t kMaxCells = 4096;
  static constexpr size_t kMaxRoutes = 1024;

 private:
  Report report_;
  std::map<AnswerSource, OutcomeCounts> cells_;
};

}  // namespace daisypond::rollout

#endif  // DAISYPOND_ROLLOUT_OUTCOME_COUNTS_H_

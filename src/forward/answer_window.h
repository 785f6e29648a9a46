#ifndef DAISYPOND_FORWARD_ANSWER_WINDOW_H_
#define DAISYPOND_FORWARD_ANSWER_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "base/clock.h"

namespace daisypond::forward {

/// Counts the recent answers to requests with each prompt part. Reads no clock;
/// all methods get the time as an argument.
class AnswerWindow {
 public:
  static constexpr base::Millis kPeriod{60'000};
  /// Maximum number of answers that are remembered; the oldest are dropped
  /// first.
  static constexpr size_t kMaximumAnswers = 4000;

  void Add(uint64_t prompt_part, base::Millis now);

  /// Returns the number of answers within the last kPeriod.
  int Count(uint64_t prompt_part, base::Millis now);

 private:
  void RemoveExpired(base::Millis now);

  std::deque<std::pair<base::Millis, uint64_t>> answers_;
  std::map<uint64_t, int> counts_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_ANSWER_WINDOW_H_

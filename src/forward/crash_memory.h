#ifndef DAISYPOND_FORWARD_CRASH_MEMORY_H_
#define DAISYPOND_FORWARD_CRASH_MEMORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace daisypond::forward {

/// Remembers which requests were at targets that broke off before they had
/// answered anything, here or at peers. A request that has lost kLosses
/// targets so is taken to crash them and is not sent any more. Its caller
/// sends it again to any instance, so the content counts, not the try. A loss
/// speaks against no request when other targets of the failure domain were
/// lost at the same time. Pure: time comes in as an argument.
class CrashMemory {
 public:
  /// Targets that a request may lose. Failure domains that crash one after the
  /// other rarely meet one request three times before its first event.
  static constexpr size_t kLosses = 3;
  /// Losses in one failure domain this close together have another cause.
  static constexpr base::Millis kTogether{500};
  /// Callers come back within their patience of half a minute.
  static constexpr base::Millis kMemory{45'000};
  /// Bounds the memory; the oldest are forgotten.
  static constexpr size_t kMaximumRequests = 2000;

  /// `target` was lost. `content` is a request that it had and had answered
  /// nothing to; zero: none.
  void OnLost(uint64_t content,
              const std::string& target,
              const std::string& failure_domain,
              base::Millis now);

  /// The request got an answer: it does not crash targets.
  void OnAnswered(uint64_t content) { lost_.erase(content); }

  bool IsHeld(uint64_t content, base::Millis now) const;

 private:
  struct Loss {
    std::string target;
    std::string failure_domain;
    base::Millis at;
  };

  struct Losses {
    /// By target.
    std::map<std::string, Loss> targets;
    base::Millis last;
  };

  bool IsAlone(const Loss& loss) const;
  void Forget(base::Millis now);

  std::map<uint64_t, Losses> lost_;
  /// All losses of targets within kMemory, in the order of their times.
  std::deque<Loss> all_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CRASH_MEMORY_H_

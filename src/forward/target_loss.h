#ifndef DAISYPOND_FORWARD_TARGET_LOSS_H_
#define DAISYPOND_FORWARD_TARGET_LOSS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace daisypond::forward {

/// One process of a target. A process that replaces it may have the same id.
struct TargetProcess {
  std::string id;
  /// Start time in Unix milliseconds; zero when not known.
  int64_t started_at = 0;

  auto operator<=>(const TargetProcess&) const = default;
};

/// A target that was found lost: its connection broke, or it was unreachable or
/// silent.
struct TargetLoss {
  TargetProcess process;
  std::string service;
  std::string failure_domain;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_LOSS_H_

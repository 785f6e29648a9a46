#ifndef DAISYPOND_FORWARD_SUSPECTED_REQUEST_H_
#define DAISYPOND_FORWARD_SUSPECTED_REQUEST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "forward/target_loss.h"

namespace daisypond::forward {

/// What an instance knows of a request that is suspected to crash targets, as
/// told to its peers. Ages instead of times, because clocks differ.
struct SuspectedRequest {
  struct Loss {
    TargetLoss target;
    /// Time since the target was lost.
    base::Millis age;
    /// Number of other targets of the service in the failure domain that were
    /// lost at about the same time.
    int simultaneous = 0;
  };

  uint64_t content_hash = 0;
  std::vector<Loss> losses;
  /// Time since a target answered the request; empty if none did.
  std::optional<base::Millis> answer_age;
};

/// Adds `elapsed` to all ages.
std::vector<SuspectedRequest> Aged(std::vector<SuspectedRequest> requests,
                                   base::Millis elapsed);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SUSPECTED_REQUEST_H_

#ifndef DAISYPOND_GENERATION_RELAY_OPTIONS_H_
#define DAISYPOND_GENERATION_RELAY_OPTIONS_H_

#include <string>

#include "base/clock.h"
#include "generation/copy_progress.h"

namespace daisypond::generation {

struct RelayOptions {
  std::string request_id;
  /// Consecutive lost attempts without a new token that are tolerated. One more
  /// lost attempt fails the relay.
  int maximum_failures = 6;
  /// The maximum time from the relay's start to its last token.
  base::Millis maximum_duration{600'000};
  CopyOptions copy_options;
  /// How long the relay waits for a target that can continue a generation.
  base::Millis target_wait_limit{3000};
  /// How long the relay waits for a target when the generation has no token
  /// yet.
  base::Millis start_wait_limit{3000};
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_RELAY_OPTIONS_H_

#ifndef DAISYPOND_GENERATION_RELAY_OPTIONS_H_
#define DAISYPOND_GENERATION_RELAY_OPTIONS_H_

#include <string>

#include "base/clock.h"
#include "generation/copy_progress.h"

namespace daisypond::generation {

struct RelayOptions {
  std::string request_id;
  /// Attempts without a new token before the relay gives up.
  int maximum_failures = 6;
  /// From the relay's start to the last token.
  base::Millis deadline{600'000};
  CopyOptions copy_options;
  /// How long the relay looks for a target that can take a lost generation.
  base::Millis target_wait_limit{3000};
  /// The same for a generation that has no token yet.
  base::Millis start_wait_limit{3000};
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_RELAY_OPTIONS_H_

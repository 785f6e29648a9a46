#ifndef DAISYPOND_LOAD_OPTIONS_H_
#define DAISYPOND_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace daisypond::load {

/// A workspace on whose behalf calls are sent.
struct CallingWorkspace {
  std::string name;
  std::string api_key;
  /// Weight of the workspace in the random distribution of calls.
  double share = 1;
};

/// The settings of a load run; see the flags in main.cc.
struct Options {
  /// IP:PORT of the entry instances that receive the calls.
  std::vector<std::string> entry_addresses;
  std::vector<CallingWorkspace> workspaces;
  std::string model = "default";
  std::string request_kind;
  /// Requested length of each generation.
  int64_t tokens_per_generation = 300;
  size_t prompt_bytes = 400;
  /// Number of distinct prompt prefixes, to exercise the prefix caches of
  /// engines.
  int64_t distinct_prefixes = 20;
  double generations_per_second = 0;
  double postings_per_second = 0;
  double lookups_per_second = 0;
  /// Total number of generations; 0 starts generations for `duration_seconds`
  /// instead.
  int64_t generation_count = 0;
  /// Length of the period in which new calls are started.
  double duration_seconds = 10;
  /// Fraction of generations, 0 to 1, that request the complete text in one
  /// response instead of a stream.
  double non_streaming_share = 0;
  /// Maximum number of attempts and time limit for one generation.
  int maximum_attempts = 20;
  base::Millis caller_timeout{60'000};
  std::string service_name = "records";
  /// The call of the service that must not run more than once per key.
  std::string posting_call = "close-batch";
  /// The call of the service that is idempotent.
  std::string lookup_call = "lookup";
  /// Addresses of the services whose execution counts are read at the end.
  std::vector<std::string> service_addresses;
  /// Appended to each prompt.
  std::string prompt_suffix;
  uint64_t seed = 1;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_OPTIONS_H_

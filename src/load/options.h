#ifndef DAISYPOND_LOAD_OPTIONS_H_
#define DAISYPOND_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace daisypond::load {

/// A workspace that calls, with its share of the calls.
struct CallingWorkspace {
  std::string name;
  std::string api_key;
  double share = 1;
};

struct Options {
  std::vector<std::string> entry_addresses;
  std::vector<CallingWorkspace> workspaces;
  std::string model = "default";
  std::string request_kind;
  int64_t tokens_per_generation = 300;
  size_t prompt_bytes = 400;
  /// Distinct prompt beginnings, for the prefix caches of engines.
  int64_t distinct_prefixes = 20;
  double generations_per_second = 0;
  double postings_per_second = 0;
  double lookups_per_second = 0;
  /// Calls of each kind in all; zero: for as long as `seconds` says.
  int64_t generation_count = 0;
  double duration_seconds = 10;
  /// Share of callers that ask for a whole answer instead of a stream.
  double non_streaming_share = 0;
  /// How often a caller comes back, and for how long.
  int maximum_attempts = 20;
  base::Millis caller_timeout{60'000};
  std::string service_name = "records";
  std::string posting_call = "close-batch";
  std::string lookup_call = "lookup";
  /// Services to ask for their counts at the end.
  std::vector<std::string> service_addresses;
  std::string prompt_suffix;
  uint64_t seed = 1;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_OPTIONS_H_

#ifndef DAISYPOND_FORWARD_MESSAGE_H_
#define DAISYPOND_FORWARD_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "base/clock.h"

namespace daisypond::forward {

/// What a caller's header says, besides what is passed on as it came.
struct RequestMetadata {
  /// Names this try of the caller; a target's answer repeats it.
  std::string id;
  /// How long the caller waits; empty when it does not say.
  std::optional<base::Millis> caller_timeout;
  /// Empty when the caller sent none.
  std::string api_key;
  /// The last event that the caller has of an earlier stream.
  std::optional<int64_t> last_event_id;
  /// Tokens of the prompt; zero when the caller does not say.
  int64_t prompt_tokens = 0;
  /// Most tokens that the answer may have.
  int64_t maximum_output_tokens = 0;
  /// Identifies the prompt: requests with equal texts share all of it. Empty
  /// when the caller does not say.
  std::string prompt;
  /// The caller's guess of the answer's length, in tokens.
  std::optional<int64_t> expected_output_tokens;
};

/// A copy of a run's memory from which another run goes on.
struct KvCopySource {
  std::string address;
  std::string id;
};

/// What one send to a target adds to the caller's header.
struct SendMetadata {
  base::Millis time_left;
  /// The target's id; another target that has its address refuses.
  std::string target_id;
  /// Empty when workspaces are not in use.
  std::string workspace;
  std::optional<int> priority;
  std::optional<int64_t> last_event_id;
  /// Address of the engine that keeps a copy of the run's memory.
  std::string kv_backup_address;
  std::optional<KvCopySource> kv_source;
};

/// What a target says of its load.
struct LoadReport {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;
};

/// What an engine says of itself when it is asked.
struct EngineReport {
  int64_t running = 0;
  int64_t waiting = 0;
  /// Running requests whose prompt is still being read.
  int64_t prefilling = 0;
  /// Tokens of memory that are in use for good, and in all. Zero in all: not
  /// stated.
  int64_t kv_tokens_used = 0;
  int64_t kv_tokens_total = 0;
  /// Unix milliseconds of the process's start; zero: not stated.
  int64_t started_at = 0;
};

/// What a target's answer says in its header.
struct ResponseMetadata {
  /// The id of the request that is answered; empty when not stated.
  std::string id;
  /// The target vouches for status and body.
  bool is_sealed = false;
  /// The target has not begun to run the request and never will.
  bool is_not_run = false;
  /// Another target has the address now.
  bool is_wrong_target = false;
  bool is_event_stream = false;
  /// The body is encoded and so is not the target's own.
  bool is_encoded = false;
  std::optional<LoadReport> load;
  /// How long the target keeps the connection open when it is idle.
  std::optional<base::Millis> keep_alive;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_MESSAGE_H_

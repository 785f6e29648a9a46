#ifndef DAISYPOND_FORWARD_MESSAGE_H_
#define DAISYPOND_FORWARD_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "base/clock.h"

namespace daisypond::forward {

/// Contents of a request header that the forwarder interprets. All other fields
/// are passed on unchanged.
struct RequestMetadata {
  /// Identifies this attempt of the caller. A target repeats it in its
  /// response.
  std::string id;
  /// How long the caller waits for the response; empty when not stated.
  std::optional<base::Millis> caller_timeout;
  /// Empty when the caller sent none.
  std::string api_key;
  /// Id of the last event that the caller received of an earlier stream.
  std::optional<int64_t> last_event_id;
  /// Length of the prompt in tokens; zero when not stated.
  int64_t prompt_tokens = 0;
  /// Maximum length of the response in tokens.
  int64_t maximum_output_tokens = 0;
  /// Identifies the prompt: requests with equal values have the same prompt.
  /// Empty when not stated.
  std::string prompt;
  /// The caller's estimate of the response length, in tokens.
  std::optional<int64_t> expected_output_tokens;
};

/// A copy of the KV cache of a run, from which an engine can continue the run.
struct KvCopySource {
  std::string address;
  std::string id;
};

/// Values that the forwarder adds to the request header for one send to a
/// target.
struct SendMetadata {
  base::Millis time_left;
  /// Id of the intended target. Another target that now has the same address
  /// refuses the request.
  std::string target_id;
  /// Empty when workspaces are not in use.
  std::string workspace;
  std::optional<int> priority;
  std::optional<int64_t> last_event_id;
  /// Address of the engine that the target shall copy its KV cache to while the
  /// run grows; empty when there is none.
  std::string kv_backup_address;
  std::optional<KvCopySource> kv_source;
};

/// Load that a target reports in its response headers.
struct LoadReport {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;
};

/// Load that an engine reports in response to a request for kEngineReportPath.
struct EngineReport {
  int64_t running = 0;
  int64_t waiting = 0;
  /// Running requests that are still in prefill.
  int64_t prefilling = 0;
  /// KV cache tokens that are permanently in use, and in total. A total of zero
  /// means that the engine did not report them.
  int64_t kv_tokens_used = 0;
  int64_t kv_tokens_total = 0;
  /// Start time of the process in Unix milliseconds; zero when not stated.
  int64_t started_at = 0;
};

/// Contents of a response header of a target that the forwarder interprets.
struct ResponseMetadata {
  /// Id of the request that this response belongs to; empty when not stated.
  std::string id;
  /// The target has marked the status and body as its own, unaltered response.
  bool is_sealed = false;
  /// The target states that it has not run the request and never will.
  bool is_not_run = false;
  /// Another target now has the address to which the request was sent.
  bool is_wrong_target = false;
  bool is_event_stream = false;
  /// The body has a content encoding and so isn't the target's original body.
  bool is_encoded = false;
  std::optional<LoadReport> load;
  /// How long the target keeps an idle connection open; empty when not stated.
  std::optional<base::Millis> keep_alive;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_MESSAGE_H_

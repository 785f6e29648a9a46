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
  /// Id that the caller gives to one attempt of a request. A target repeats the
  /// id in its response.
  std::string id;
  /// How long the caller waits for the response; empty when not stated.
  std::optional<base::Millis> caller_timeout;
  /// Empty when the caller sent no API key.
  std::string api_key;
  /// When the caller resumes an interrupted stream: the id of the last event
  /// received.
  std::optional<int64_t> last_event_id;
  /// When the caller resumes an interrupted stream: the id of the attempt that
  /// got its first event; empty when not stated.
  std::string resumed_id;
  /// Length of the prompt in tokens; zero when not stated.
  int64_t prompt_tokens = 0;
  /// Maximum length of the response in tokens.
  int64_t maximum_output_tokens = 0;
  /// Identifies the prompt: requests with equal values have the same prompt.
  /// Empty when not stated.
  std::string prompt;
  /// Hashes of the ids of the prompt's parts, in order, without the last part.
  /// Other requests may have the same parts, except the last one.
  std::vector<uint64_t> shared_prompt_parts;
  /// The caller's estimate of the response length, in tokens.
  std::optional<int64_t> expected_output_tokens;
};

/// Identifies a copy of a run's KV cache, from which an engine can continue the
/// run.
struct KvCopySource {
  std::string address;
  std::string id;
};

/// Values that the forwarder adds to the request header for one send to a
/// target.
struct SendMetadata {
  /// Time until the caller's deadline.
  base::Millis time_left;
  /// Id of the intended target. Another target that now has the same address
  /// refuses the request.
  std::string target_id;
  /// Empty when workspaces are not in use.
  std::string workspace;
  std::optional<int> priority;
  /// Set when the target shall resume a stream: the id of the last event
  /// received.
  std::optional<int64_t> last_event_id;
  /// Address of the engine to which the target shall continuously copy the KV
  /// cache of the run; empty when there is none.
  std::string kv_backup_address;
  /// The KV cache copy from which the target shall resume the run.
  std::optional<KvCopySource> kv_source;
};

/// Load that a target reports in its response headers.
struct LoadReport {
  /// Number of running requests.
  int64_t running = 0;
  /// Number of requests that wait for a free slot.
  int64_t waiting = 0;
  /// Total number of slots, both used and free.
  int64_t slots = 0;
};

/// Load that an engine reports in response to a request for kEngineReportPath.
struct EngineReport {
  /// Number of running requests.
  int64_t running = 0;
  /// Number of requests that wait for a free slot.
  int64_t waiting = 0;
  /// Number of running requests whose prompt is still being prefilled.
  int64_t prefilling = 0;
  /// KV cache tokens that the engine cannot evict, such as those of its runs.
  /// Valid only when `kv_tokens_total` is not zero.
  int64_t kv_tokens_used = 0;
  /// Capacity of the engine's KV cache in tokens. Zero means that the engine
  /// reported neither this value nor `kv_tokens_used`.
  int64_t kv_tokens_total = 0;
  /// Start time of the process in Unix milliseconds; zero when not stated.
  int64_t started_at = 0;
};

/// Contents of a response header of a target that the forwarder interprets.
struct ResponseMetadata {
  /// Id of the request that this response belongs to; empty when not stated.
  std::string id;
  /// The target has marked the response with a seal, which states that the
  /// status and the body come from the target itself and are unaltered.
  bool is_sealed = false;
  /// The target states that it has not run the request and never will.
  bool is_not_run = false;
  /// The request reached another target than the intended one, because that
  /// other target now has the address.
  bool is_wrong_target = false;
  bool is_event_stream = false;
  /// The body has a content encoding, so it is not the original body that the
  /// target created.
  bool is_encoded = false;
  std::optional<LoadReport> load;
  /// Requests a second that the target accepts from all instances together. The
  /// limit holds until a response states none.
  std::optional<double> request_limit;
  /// The response states a limit that cannot be read. The previous one holds.
  bool has_unreadable_limit = false;
  /// The target is brittle: it fails when it has to reject more requests a
  /// second than this, from all instances together. Holds until a response
  /// states none.
  std::optional<double> rejection_limit;
  /// The response states a rejection limit that cannot be read. The previous
  /// one holds.
  bool has_unreadable_rejection_limit = false;
  /// The target's process is leaving: it accepts no new requests.
  bool is_leaving = false;
  /// How long the target keeps an idle connection open; empty when not stated.
  std::optional<base::Millis> keep_alive;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_MESSAGE_H_

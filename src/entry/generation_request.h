#ifndef DAISYPOND_ENTRY_GENERATION_REQUEST_H_
#define DAISYPOND_ENTRY_GENERATION_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/verdict.h"
#include "generation/digest_chain.h"
#include "http/message.h"
#include "intents/configuration.h"
#include "suspects/suspect_tracker.h"

namespace daisypond::entry {

/// How the caller wants its answer.
enum class AnswerMode : uint8_t { kStream, kWhole };

/// Who calls and under which key.
struct CallerIdentity {
  std::string workspace;
  /// The Idempotency-Key, or one that this instance has made up.
  std::string request_id;
  bool is_request_id_minted = false;
  base::AttemptNumber attempt;

  /// Unique over all workspaces.
  std::string Key() const;
};

/// A checked request for a generation.
struct GenerationRequest {
  CallerIdentity caller;
  AnswerMode mode = AnswerMode::kWhole;
  intents::ModelVersion model;
  intents::RequestKind kind;
  /// Latest time at which a target should take it up.
  base::Millis start_by;
  std::string prompt;
  int64_t maximum_tokens = 0;
  /// The place that the caller has reached, when it comes back.
  std::optional<generation::TokenPosition> last_position;
  uint64_t body_digest = 0;
  suspects::ContentDigest content;

  /// The part of the prompt by which engines that share a cache are chosen.
  std::string AffinityKey() const;
};

/// The number of the try as far as the headers tell: 1 for a request without
/// a key, zero when it is not stated.
base::AttemptNumber StatedAttempt(const http::ServerRequest& request);

/// Checks the caller's key and workspace.
base::Result<CallerIdentity> Authenticate(
    const http::ServerRequest& request,
    const intents::Configuration& configuration);

/// Checks a request for POST /v1/completions as a whole.
base::Result<GenerationRequest> ParseGenerationRequest(
    const http::ServerRequest& request,
    const intents::Configuration& configuration);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_GENERATION_REQUEST_H_

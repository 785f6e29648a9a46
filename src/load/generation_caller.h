#ifndef DAISYPOND_LOAD_GENERATION_CALLER_H_
#define DAISYPOND_LOAD_GENERATION_CALLER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "base/clock.h"
#include "base/mailbox.h"
#include "http/client.h"
#include "load/answer_checker.h"
#include "load/options.h"
#include "load/report.h"

namespace daisypond::load {

/// Parameters of one GenerationCaller: the generation that it requests, and for
/// which workspace.
struct CallerParameters {
  CallingWorkspace workspace;
  std::string request_id;
  std::string prompt;
  /// Requests the complete text in one response instead of a stream.
  bool is_non_streaming = false;
  /// Seed of the random number generator with which the caller picks entry
  /// instances and the pauses between attempts.
  uint64_t seed = 0;
};

/// A caller that follows the rules of docs/CALLERS.md: it repeats the request
/// with the same idempotency key and the last event id until its generation is
/// complete or refused.
class GenerationCaller {
 public:
  GenerationCaller(const Options* options,
                   CallerParameters parameters,
                   http::Client* client,
                   Report* report);

  /// Sends the request until the generation is complete or refused, or until
  /// the maximum number of attempts or the time limit is reached.
  void Run();

 private:
  /// The result of one attempt and what the caller does next.
  enum class AttemptOutcome : uint8_t {
    /// The generation is complete.
    kCompleted,
    /// The connection failed or was silent for too long, or the instance asked
    /// the caller to reconnect: repeat the request at once.
    kReconnect,
    /// Retry after the time that the error response contains.
    kRetryLater,
    /// The generation is lost: discard its tokens and request a new generation
    /// with a new key.
    kRestartWithNewKey,
    /// The error response does not allow a retry.
    kRefused,
  };

  /// Sends the request once and reads the response to its end.
  AttemptOutcome RunAttempt();
  AttemptOutcome ReadStream(const http::ClientRequest& request);
  /// Handles an error response or a `verdict` event with this JSON body.
  AttemptOutcome HandleVerdict(const std::string& body, int status);
  void RecordTokenLatency();
  /// Picks a random entry instance. Picks again up to three times if the result
  /// is `avoided_entry_`.
  std::string PickEntry();
  /// The request id as targets see it, prefixed with the workspace.
  std::string QualifiedRequestId() const;
  http::ClientRequest BuildNextRequest();

  const Options* options_;
  CallerParameters parameters_;
  http::Client* client_;
  Report* report_;
  std::mt19937_64 random_;
  AnswerChecker checker_;
  int attempt_ = 0;
  base::Millis started_at_;
  base::Millis last_token_at_;
  /// The longest time between two consecutive tokens.
  base::Millis longest_gap_;
  /// True from a reconnect until the next token.
  bool is_reconnected_ = false;
  /// The retry delay of the last error response; 0 if it allows no retry.
  base::Millis retry_after_;
  /// The entry instance that last refused the connection, failed to respond or
  /// asked the caller to reconnect elsewhere.
  std::string avoided_entry_;
  std::string current_entry_;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_GENERATION_CALLER_H_

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

/// What one caller asks for.
struct CallerParameters {
  CallingWorkspace workspace;
  std::string request_id;
  std::string prompt;
  bool is_non_streaming = false;
  uint64_t seed = 0;
};

/// A caller that follows the rules of docs/CALLERS.md: it comes back with the
/// same key and the last event id until it has its whole answer.
class GenerationCaller {
 public:
  GenerationCaller(const Options* options,
                   CallerParameters parameters,
                   http::Client* client,
                   Report* report);

  /// Returns when the answer is whole or has been given up on.
  void Run();

 private:
  /// How one try ended.
  enum class AttemptOutcome : uint8_t {
    kCompleted,
    kReconnect,
    kRetryLater,
    /// Reset and ask with a new key.
    kRestartWithNewKey,
    kRefused,
  };

  AttemptOutcome RunAttempt();
  AttemptOutcome ReadStream(const http::ClientRequest& request);
  AttemptOutcome HandleVerdict(const std::string& body, int status);
  void RecordTokenLatency();
  std::string PickEntry();
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
  base::Millis longest_gap_;
  bool is_reconnected_ = false;
  base::Millis retry_after_;
  std::string avoided_entry_;
  std::string current_entry_;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_GENERATION_CALLER_H_

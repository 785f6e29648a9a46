#ifndef DAISYPOND_LOAD_ANSWER_CHECKER_H_
#define DAISYPOND_LOAD_ANSWER_CHECKER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "load/report.h"

namespace daisypond::load {

/// Checks the tokens of one generation: none may be missing or repeated, all
/// must belong to this request and to the same generation, and the event ids
/// must contain the correct digest. Errors are counted in a Report.
class AnswerChecker {
 public:
  /// `qualified_request_id` is the request id that entry instances send to
  /// targets: the id of the caller prefixed with its workspace.
  AnswerChecker(const std::string& qualified_request_id, Report* report);

  /// Checks the next token of a stream; `event_id` is the id of the SSE event
  /// that contained it.
  void OnToken(const std::string& event_id, const std::string& text);

  /// Checks the concatenated tokens of a non-streaming response.
  void OnCompleteText(const std::string& text);

  /// Discards the state of the received tokens, for a generation that restarts
  /// from token 0.
  void Reset();

  /// Index of the next expected token.
  int64_t TokenCount() const { return next_index_; }

  /// The Last-Event-ID to reconnect with; empty before the first token.
  const std::string& LastEventId() const { return last_event_id_; }

 private:
  void CheckEventId(const std::string& event_id, const std::string& text);

  uint32_t request_digest_;
  Report* report_;
  int64_t next_index_ = 0;
  uint32_t chain_digest_ = 0;
  /// Nonce of the generation; empty before the first token.
  std::optional<uint32_t> nonce_;
  /// Digest of the received tokens; empty before the first token.
  std::optional<uint64_t> event_id_digest_;
  std::string last_event_id_;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_ANSWER_CHECKER_H_

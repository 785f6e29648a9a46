#ifndef DAISYPOND_LOAD_ANSWER_CHECKER_H_
#define DAISYPOND_LOAD_ANSWER_CHECKER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "load/report.h"

namespace daisypond::load {

/// Checks one generation token by token: that none is missing or repeated,
/// that all are of one generation and of this request, and that event ids
/// carry the right digest.
class AnswerChecker {
 public:
  /// `qualified_request_id` is the request id as targets see it.
  AnswerChecker(const std::string& qualified_request_id, Report* report);

  /// A token with the event id that it came under.
  void OnToken(const std::string& event_id, const std::string& text);

  /// A whole text of joined tokens.
  void OnCompleteText(const std::string& text);

  /// The caller was told to discard what it has.
  void Reset();

  int64_t TokenCount() const { return next_index_; }

  /// The id to come back with; empty before the first token.
  const std::string& LastEventId() const { return last_event_id_; }

 private:
  void CheckEventId(const std::string& event_id, const std::string& text);

  uint32_t request_digest_;
  Report* report_;
  int64_t next_index_ = 0;
  uint32_t chain_digest_ = 0;
  std::optional<uint32_t> nonce_;
  std::optional<uint64_t> event_id_digest_;
  std::string last_event_id_;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_ANSWER_CHECKER_H_

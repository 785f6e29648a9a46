#ifndef DAISYPOND_ENTRY_ANSWER_WRITER_H_
#define DAISYPOND_ENTRY_ANSWER_WRITER_H_

#include <string>

#include "base/clock.h"
#include "base/verdict.h"
#include "entry/generation_request.h"
#include "generation/token_sequence.h"
#include "http/server.h"

namespace daisypond::entry {

/// Sends a verdict as a whole answer, with Retry-After where it applies.
void SendVerdict(const base::Verdict& verdict, http::ResponseStream* stream);

/// Writes the answer to a generation, as events or as one JSON object.
class AnswerWriter {
 public:
  AnswerWriter(const GenerationRequest* request, http::ResponseStream* stream)
      : request_(request), stream_(stream) {}

  /// Sends the head of a stream, once, so that the caller learns its request
  /// id and that it is being served.
  void Begin();

  /// Sends the tokens from `from` to `to`.
  void Send(const generation::TokenSequence& progress, size_t from, size_t to);

  /// Sends a comment when nothing has been sent for a while, so that a caller
  /// can tell a quiet instance from a lost one.
  void KeepAlive(base::Millis now);

  /// Tells the caller to discard what it has.
  void Restart();

  /// Tells the caller to come back to another instance at once.
  void HandOver();

  void Finish(const generation::TokenSequence& progress,
              const std::string& finish_reason);
  void Fail(const base::Verdict& verdict);

  /// True once a write has failed. Whole answers learn it only at the end.
  bool IsCallerGone() const { return is_caller_gone_; }

 private:
  void Write(const std::string& bytes);
  std::string ChunkOf(const std::string& text,
                      const std::string& finish_reason) const;

  const GenerationRequest* request_;
  http::ResponseStream* stream_;
  bool is_caller_gone_ = false;
  base::Millis written_at_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_ANSWER_WRITER_H_

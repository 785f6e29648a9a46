#ifndef DAISYPOND_ENTRY_GENERATION_RESPONSE_WRITER_H_
#define DAISYPOND_ENTRY_GENERATION_RESPONSE_WRITER_H_

#include <string>

#include "base/clock.h"
#include "base/verdict.h"
#include "entry/generation_request.h"
#include "generation/token_sequence.h"
#include "http/server.h"

namespace daisypond::entry {

/// Sends a verdict as the complete HTTP response, with a Retry-After header if
/// the verdict has a retry delay.
void SendVerdict(const base::Verdict& verdict, http::ResponseStream* stream);

/// Writes the HTTP response to a generation request, either as server-sent
/// events or as one JSON object. Used by one thread at a time.
class GenerationResponseWriter {
 public:
  GenerationResponseWriter(const GenerationRequest* request,
                           http::ResponseStream* stream)
      : request_(request), stream_(stream) {}

  /// Sends the status and headers of a streamed response unless they have been
  /// sent already. The headers contain the request id. Does nothing for a JSON
  /// response.
  void BeginStream();

  /// Sends the tokens with indices from `from` up to, but not including, `to`
  /// as one event each. Does nothing for a JSON response.
  void SendTokens(const generation::TokenSequence& progress,
                  size_t from,
                  size_t to);

  /// Sends an SSE comment if the stream has been idle for the keep-alive
  /// period, so that the caller can tell an idle instance from a failed one.
  void SendKeepAlive(base::Millis now);

  /// Sends a `restart` event: the caller must discard the tokens received so
  /// far, because a new generation follows.
  void SendRestart();

  /// Sends a `handover` event: the caller should reconnect to another instance
  /// at once.
  void SendHandover();

  /// Ends a stream, or sends the JSON response with the complete text.
  void FinishResponse(const generation::TokenSequence& progress,
                      const std::string& finish_reason);

  /// Ends the response with a verdict: as an event if the stream has begun, as
  /// an ordinary HTTP error response otherwise.
  void FailResponse(const base::Verdict& verdict);

  /// True once a write to the caller has failed. Stays false for a JSON
  /// response until the response is sent, because nothing is written before
  /// that.
  bool IsCallerGone() const { return is_caller_gone_; }

  /// True if other callers wait for the thread that serves this one.
  bool IsThreadWanted() const { return stream_->IsThreadWanted(); }

 private:
  void Write(const std::string& bytes);
  /// Formats a `text_completion` object as JSON. Its `finish_reason` is null if
  /// the argument is empty.
  std::string CompletionJson(const std::string& text,
                             const std::string& finish_reason) const;

  const GenerationRequest* request_;
  http::ResponseStream* stream_;
  bool is_caller_gone_ = false;
  base::Millis last_write_at_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_GENERATION_RESPONSE_WRITER_H_

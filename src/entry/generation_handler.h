#ifndef DAISYPOND_ENTRY_GENERATION_HANDLER_H_
#define DAISYPOND_ENTRY_GENERATION_HANDLER_H_

#include "entry/generation_request.h"
#include "entry/generation_response_writer.h"
#include "entry/instance.h"
#include "entry/target_death_detector.h"
#include "http/server.h"

namespace daisypond::entry {

/// Handles requests for POST /v1/completions.
class GenerationHandler {
 public:
  explicit GenerationHandler(Instance* instance)
      : instance_(instance), death_detector_(instance) {}

  void Handle(const http::ServerRequest& request, http::ResponseStream* stream);

 private:
  /// Takes over the generation that an earlier attempt of the caller has
  /// started. Empty if there is none and a new generation may start.
  base::Result<std::optional<generation::GenerationCopy>>
  TakeOverEarlierGeneration(const GenerationRequest& request);
  /// Blocks until the request may start on a target. Returns an error if the
  /// request is refused.
  base::Result<admission::TicketId> AdmitRequest(
      const GenerationRequest& request,
      GenerationResponseWriter* writer);
  void RefuseRequest(const base::Verdict& verdict,
                     base::AttemptNumber attempt,
                     http::ResponseStream* stream);
  /// Relays tokens from targets to the caller until the response has ended.
  void RelayTokens(const GenerationRequest& request,
                   std::optional<generation::GenerationCopy> copy,
                   GenerationResponseWriter* writer);

  Instance* instance_;
  TargetDeathDetector death_detector_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_GENERATION_HANDLER_H_

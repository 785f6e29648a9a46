#ifndef DAISYPOND_ENTRY_GENERATION_HANDLER_H_
#define DAISYPOND_ENTRY_GENERATION_HANDLER_H_

#include "entry/answer_writer.h"
#include "entry/death_watch.h"
#include "entry/generation_request.h"
#include "entry/instance.h"
#include "http/server.h"

namespace daisypond::entry {

/// Serves POST /v1/completions.
class GenerationHandler {
 public:
  explicit GenerationHandler(Instance* instance)
      : instance_(instance), death_watch_(instance) {}

  void Handle(const http::ServerRequest& request, http::ResponseStream* stream);

 private:
  base::Result<std::optional<generation::GenerationCopy>> FindEarlierTry(
      const GenerationRequest& request);
  base::Result<admission::TicketId> Admit(const GenerationRequest& request,
                                          AnswerWriter* writer);
  void Refuse(const base::Verdict& verdict,
              base::AttemptNumber attempt,
              http::ResponseStream* stream);
  void Relay(const GenerationRequest& request,
             std::optional<generation::GenerationCopy> copy,
             AnswerWriter* writer);

  Instance* instance_;
  DeathWatch death_watch_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_GENERATION_HANDLER_H_

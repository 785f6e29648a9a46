#ifndef DAISYPOND_ENTRY_UPSTREAM_H_
#define DAISYPOND_ENTRY_UPSTREAM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "base/mailbox.h"
#include "entry/generation_request.h"
#include "generation/relay_message.h"
#include "generation/token_sequence.h"
#include "http/client.h"
#include "routing/target_view.h"

namespace daisypond::entry {

/// The target has accepted an attempt and has reported the index of the first
/// token that it will send.
struct StreamConfirmed {
  generation::AttemptId attempt;
  int64_t first_index = -1;
};

/// The target has sent a token.
struct TokenArrived {
  generation::AttemptId attempt;
  generation::UpstreamToken token;
};

/// The stream of an attempt has ended, with or without an error.
struct StreamEnded {
  generation::AttemptId attempt;
  generation::UpstreamEnding ending;
};

/// The target has sent a load report within the stream of an attempt.
struct LoadReportArrived {
  generation::AttemptId attempt;
  routing::LoadReport report;
};

/// A peer has answered a request to store copied tokens, or the request has
/// failed.
struct CopyResultArrived {
  /// The number that GenerationCopier has given to the request.
  uint64_t copy_number = 0;
  generation::CopyOutcome outcome = generation::CopyOutcome::kFailed;
};

using RelayEvent = std::variant<StreamConfirmed,
                                TokenArrived,
                                StreamEnded,
                                LoadReportArrived,
                                CopyResultArrived>;
using RelayMailbox = base::Mailbox<RelayEvent>;

/// Starts an attempt at the target with the given address and returns at once.
/// Events of the attempt are pushed to the mailbox until the HTTP exchange ends
/// or is cancelled. A few events may still be pushed after a cancellation.
http::ExchangeId StartUpstreamAttempt(http::Client* client,
                                      const std::string& address,
                                      const GenerationRequest& request,
                                      const generation::TokenSequence& progress,
                                      generation::AttemptId attempt,
                                      std::shared_ptr<RelayMailbox> mailbox);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_UPSTREAM_H_

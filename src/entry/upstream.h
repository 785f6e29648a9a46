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

/// A target has accepted an attempt and says where its stream begins.
struct StreamConfirmed {
  generation::AttemptId attempt;
  int64_t first_index = -1;
};

/// A token from a target.
struct TokenArrived {
  generation::AttemptId attempt;
  generation::UpstreamToken token;
};

/// The end of an attempt's stream.
struct StreamEnded {
  generation::AttemptId attempt;
  generation::UpstreamEnding ending;
};

/// What a target says of its load.
struct LoadArrived {
  generation::AttemptId attempt;
  routing::LoadReport report;
};

/// A peer's answer to a copy.
struct CopyAnswered {
  uint64_t ticket = 0;
  generation::CopyOutcome outcome = generation::CopyOutcome::kFailed;
};

using RelayEvent = std::variant<StreamConfirmed,
                                TokenArrived,
                                StreamEnded,
                                LoadArrived,
                                CopyAnswered>;
using RelayMailbox = base::Mailbox<RelayEvent>;

/// Starts an attempt at a target. Its events go to the mailbox until the
/// exchange ends or is cancelled; late ones of a cancelled attempt may follow.
http::ExchangeId StartUpstream(http::Client* client,
                               const std::string& address,
                               const GenerationRequest& request,
                               const generation::TokenSequence& progress,
                               generation::AttemptId attempt,
                               std::shared_ptr<RelayMailbox> mailbox);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_UPSTREAM_H_

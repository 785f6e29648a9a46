#ifndef DAISYPOND_ENTRY_GENERATION_COPIER_H_
#define DAISYPOND_ENTRY_GENERATION_COPIER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "entry/generation_request.h"
#include "entry/instance.h"
#include "entry/upstream.h"
#include "generation/copy_store.h"
#include "generation/token_sequence.h"

namespace daisypond::entry {

/// A generation's tokens and whether they are all.
struct CopySource {
  const generation::TokenSequence& progress;
  bool is_finished = false;
  const std::string& finish_reason;
};

/// Writes one generation's copies: this instance's own and a peer's. Used by
/// the thread of the generation's connection.
class GenerationCopier {
 public:
  /// `taken` is the copy of a takeover; empty for a new generation.
  GenerationCopier(const GenerationRequest& request,
                   const std::optional<generation::GenerationCopy>& taken,
                   Instance* instance,
                   std::shared_ptr<RelayMailbox> mailbox);

  /// Keeps this instance's own copy in step. kSuperseded means that another
  /// try has taken the generation over.
  generation::AppendOutcome SyncOwn(const CopySource& source);

  /// Sends tokens to a peer; the answer comes to the mailbox as CopyAnswered.
  void SendToPeer(const CopySource& source,
                  size_t from,
                  size_t to,
                  generation::CopyPeer peer);

  /// True when the answer belongs to the copy that was sent last.
  bool IsLatest(const CopyAnswered& answer) const {
    return answer.ticket == ticket_;
  }

  base::Millis SentAt() const { return sent_at_; }

  /// The generation starts anew, under the next epoch.
  void Restart();

 private:
  generation::AppendTokens MakeAppend(const CopySource& source,
                                      size_t from,
                                      size_t to) const;

  Instance* instance_;
  std::shared_ptr<RelayMailbox> mailbox_;
  std::string key_;
  std::string identity_;
  uint64_t body_digest_;
  int64_t attempt_;
  uint64_t epoch_;
  size_t synced_ = 0;
  bool is_finish_synced_ = false;
  size_t peer_ = 0;
  uint64_t ticket_ = 0;
  base::Millis sent_at_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_GENERATION_COPIER_H_

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

/// The tokens of a generation so far, and whether the generation is finished.
struct CopySource {
  const generation::TokenSequence& progress;
  bool is_finished = false;
  const std::string& finish_reason;
};

/// Writes the two copies of a generation's tokens, one in this instance and one
/// at a peer. From either copy another instance can resume the generation. Not
/// thread-safe; used by the thread of the caller's connection.
class GenerationCopier {
 public:
  /// `initial_copy` is the copy from which this instance continues an earlier
  /// generation; empty for a new generation.
  GenerationCopier(
      const GenerationRequest& request,
      const std::optional<generation::GenerationCopy>& initial_copy,
      Instance* instance,
      std::shared_ptr<RelayMailbox> mailbox);

  /// Appends new tokens to this instance's own copy. Returns kSuperseded if
  /// another attempt of the caller has taken over the generation.
  generation::AppendOutcome UpdateOwnCopy(const CopySource& source);

  /// Sends the tokens with indices from `from` up to, but not including, `to`
  /// to a peer. The result arrives in the mailbox as CopyResultArrived.
  void SendToPeer(const CopySource& source,
                  size_t from,
                  size_t to,
                  generation::CopyPeer peer);

  /// True if the result belongs to the latest call of SendToPeer().
  bool IsForLatestCopy(const CopyResultArrived& result) const {
    return result.copy_number == last_copy_number_;
  }

  /// The time of the latest call of SendToPeer().
  base::Millis LastSentAt() const { return last_sent_at_; }

  /// Called when the generation restarts from its first token. Appends of the
  /// new epoch replace the tokens that the copies hold from the old epoch.
  void StartNewEpoch();

 private:
  generation::AppendTokens MakeAppend(const CopySource& source,
                                      size_t from,
                                      size_t to) const;

  Instance* instance_;
  std::shared_ptr<RelayMailbox> mailbox_;
  std::string request_key_;
  std::string model_version_;
  uint64_t body_digest_;
  int64_t attempt_;
  uint64_t epoch_;
  /// The number of tokens in this instance's own copy.
  size_t synced_tokens_ = 0;
  /// True if this instance's own copy is marked as finished.
  bool is_finish_synced_ = false;
  /// Selects the peer that receives the copy: an index into the list of ranked
  /// peers, taken modulo the length of the list.
  size_t peer_rank_ = 0;
  /// The number of the latest call of SendToPeer(). Results of earlier calls
  /// are ignored.
  uint64_t last_copy_number_ = 0;
  base::Millis last_sent_at_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_GENERATION_COPIER_H_

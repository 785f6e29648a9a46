#include "entry/generation_copier.h"

#include <utility>

namespace daisypond::entry {

using generation::AppendOutcome;
using generation::AppendTokens;
using generation::CopyOutcome;

GenerationCopier::GenerationCopier(
    const GenerationRequest& request,
    const std::optional<generation::GenerationCopy>& initial_copy,
    Instance* instance,
    std::shared_ptr<RelayMailbox> mailbox)
    : instance_(instance),
      mailbox_(std::move(mailbox)),
      request_key_(request.caller.GlobalKey()),
      model_version_(request.model.ToString()),
      body_digest_(request.body_digest),
      attempt_(request.caller.attempt.value),
      epoch_(initial_copy ? initial_copy->epoch
                          : generation::FirstEpoch(instance->HolderTag())),
      synced_tokens_(initial_copy ? initial_copy->tokens.size() : 0),
      is_finish_synced_(initial_copy && initial_copy->is_finished) {}

AppendTokens GenerationCopier::MakeAppend(const CopySource& source,
                                          size_t from,
                                          size_t to) const {
  const auto& tokens = source.progress.Tokens();
  AppendTokens append;
  append.key = request_key_;
  append.generation = source.progress.Generation();
  append.epoch = epoch_;
  append.body_digest = body_digest_;
  append.model_version = model_version_;
  append.attempt = attempt_;
  append.first_index = from;
  append.prefix_digest = source.progress.DigestBefore(from);
  append.tokens.assign(tokens.begin() + static_cast<long>(from),
                       tokens.begin() + static_cast<long>(to));
  append.is_finished = source.is_finished && to == tokens.size();
  append.finish_reason = source.finish_reason;
  return append;
}

AppendOutcome GenerationCopier::UpdateOwnCopy(const CopySource& source) {
  const size_t size = source.progress.Size();
  const bool has_unsynced_changes =
      size > synced_tokens_ || (source.is_finished && !is_finish_synced_);
  if (!has_unsynced_changes) {
    return AppendOutcome::kStored;
  }
  generation::CopyStore& copies = instance_->copies;
  const base::Millis now = base::Clock::Now();
  auto outcome = copies.Append(MakeAppend(source, synced_tokens_, size), now);
  if (outcome == AppendOutcome::kGap) {
    // The copy store has evicted the copy to free memory: write all tokens
    // again.
    outcome = copies.Append(MakeAppend(source, 0, size), now);
  }
  synced_tokens_ = size;
  is_finish_synced_ = source.is_finished;
  return outcome;
}

void GenerationCopier::SendToPeer(const CopySource& source,
                                  size_t from,
                                  size_t to,
                                  generation::CopyPeer peer) {
  const auto peers = instance_->peers.Current();
  const auto ranked =
      membership::RankCopyPeers(request_key_, instance_->OwnLocation(), *peers);
  if (peer == generation::CopyPeer::kNext) {
    ++peer_rank_;
  }
  ++last_copy_number_;
  last_sent_at_ = base::Clock::Now();
  if (ranked.empty()) {
    mailbox_->Push(CopyResultArrived{last_copy_number_, CopyOutcome::kFailed});
    return;
  }
  instance_->peer_client.AppendCopy(
      ranked[peer_rank_ % ranked.size()].address, MakeAppend(source, from, to),
      [mailbox = mailbox_,
       copy_number = last_copy_number_](CopyOutcome outcome) {
        mailbox->Push(CopyResultArrived{copy_number, outcome});
      });
}

void GenerationCopier::StartNewEpoch() {
  epoch_ = generation::NextEpoch(epoch_, instance_->HolderTag());
  synced_tokens_ = 0;
  is_finish_synced_ = false;
  ++last_copy_number_;
}

}  // namespace daisypond::entry

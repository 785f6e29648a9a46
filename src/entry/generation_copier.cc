#include "entry/generation_copier.h"

#include <utility>

namespace daisypond::entry {

using generation::AppendOutcome;
using generation::AppendTokens;
using generation::CopyOutcome;

GenerationCopier::GenerationCopier(
    const GenerationRequest& request,
    const std::optional<generation::GenerationCopy>& taken,
    Instance* instance,
    std::shared_ptr<RelayMailbox> mailbox)
    : instance_(instance),
      mailbox_(std::move(mailbox)),
      key_(request.caller.Key()),
      identity_(request.model.ToString()),
      body_digest_(request.body_digest),
      attempt_(request.caller.attempt.value),
      epoch_(taken ? taken->epoch
                   : generation::FirstEpoch(instance->HolderTag())),
      synced_(taken ? taken->tokens.size() : 0),
      is_finish_synced_(taken && taken->is_finished) {}

AppendTokens GenerationCopier::MakeAppend(const CopySource& source,
                                          size_t from,
                                          size_t to) const {
  const auto& tokens = source.progress.Tokens();
  AppendTokens append;
  append.key = key_;
  append.generation = source.progress.Generation();
  append.epoch = epoch_;
  append.body_digest = body_digest_;
  append.identity = identity_;
  append.attempt = attempt_;
  append.first_index = from;
  append.prefix_digest = source.progress.DigestBefore(from);
  append.tokens.assign(tokens.begin() + static_cast<long>(from),
                       tokens.begin() + static_cast<long>(to));
  append.is_finished = source.is_finished && to == tokens.size();
  append.finish_reason = source.finish_reason;
  return append;
}

AppendOutcome GenerationCopier::SyncOwn(const CopySource& source) {
  const size_t size = source.progress.Size();
  const bool has_news =
      size > synced_ || (source.is_finished && !is_finish_synced_);
  if (!has_news) {
    return AppendOutcome::kStored;
  }
  generation::CopyStore& copies = instance_->copies;
  const base::Millis now = base::Clock::Now();
  auto outcome = copies.Append(MakeAppend(source, synced_, size), now);
  if (outcome == AppendOutcome::kGap) {
    // The copy was dropped to make room: write all of it again.
    outcome = copies.Append(MakeAppend(source, 0, size), now);
  }
  synced_ = size;
  is_finish_synced_ = source.is_finished;
  return outcome;
}

void GenerationCopier::SendToPeer(const CopySource& source,
                                  size_t from,
                                  size_t to,
                                  generation::CopyPeer peer) {
  const auto peers = instance_->peers.Current();
  const auto ranked =
      membership::RankCopyPeers(key_, instance_->OwnPlace(), *peers);
  if (peer == generation::CopyPeer::kNext) {
    ++peer_;
  }
  ++ticket_;
  sent_at_ = base::Clock::Now();
  if (ranked.empty()) {
    mailbox_->Push(CopyAnswered{ticket_, CopyOutcome::kFailed});
    return;
  }
  instance_->peer_client.AppendCopy(
      ranked[peer_ % ranked.size()].address, MakeAppend(source, from, to),
      [mailbox = mailbox_, ticket = ticket_](CopyOutcome outcome) {
        mailbox->Push(CopyAnswered{ticket, outcome});
      });
}

void GenerationCopier::Restart() {
  epoch_ = generation::NextEpoch(epoch_, instance_->HolderTag());
  synced_ = 0;
  is_finish_synced_ = false;
  ++ticket_;
}

}  // namespace daisypond::entry

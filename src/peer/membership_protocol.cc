#include "peer/membership_protocol.h"

#include <memory>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "peer/convert.h"

namespace daisypond::peer {

namespace {

constexpr base::Millis kProbeTimeout{400};
constexpr base::Millis kIndirectProbeTimeout{800};
constexpr size_t kIndirectProbers = 2;
// How often this instance's new state is sent to a peer that does not answer.
constexpr int kStateTries = 2;
constexpr size_t kMaximumChangesPerMessage = 24;
// Every 30th probe requests the peer's whole table, in case the messages with
// earlier changes were lost.
constexpr int kRoundsPerFullTableRequest = 30;
// Every fifth probe may go to a dead peer, to detect that the peer can be
// reached again, for example after a network partition.
constexpr int kRoundsPerDeadPeerProbe = 5;

}  // namespace

MembershipProtocol::MembershipProtocol(membership::PeerState self,
                                       PeerClient* client,
                                       MembershipCallbacks callbacks)
    : table_(std::move(self),
             membership::PeerTableOptions(),
             base::RandomNumber()),
      client_(client),
      callbacks_(std::move(callbacks)) {}

void MembershipProtocol::ContactPeers(
    const std::vector<std::string>& addresses) {
  for (const std::string& it : addresses) {
    ContactPeer(it);
  }
}

void MembershipProtocol::ContactPeer(const std::string& address) {
  if (address == table_.Self().address) {
    return;
  }
  for (const membership::PeerState& it : table_.Reachable()) {
    if (it.address == address) {
      return;
    }
  }
  ExchangeRequest request = BuildRequest();
  request.set_wants_all(true);
  for (const membership::PeerState& it : table_.All()) {
    // The request contains the state that this instance knows of the receiver.
    // If that state says that the receiver is dead, the receiver can refute it.
    if (it.address == address) {
      *request.add_changes() = ToProto(it);
    }
  }
  client_->Exchange(address, request, kProbeTimeout,
                    [this](std::optional<ExchangeReply> reply) {
                      callbacks_.post([this, reply = std::move(reply)] {
                        if (reply) {
                          ApplyMessage(*reply);
                        }
                      });
                    });
}

template <typename Message>
void MembershipProtocol::FillSenderData(Message* message) {
  table_.SetConfigurationVersion(callbacks_.configuration_version());
  *message->mutable_sender() = ToProto(table_.Self());
  PiggybackedData piggybacked;
  callbacks_.add_piggybacked_data(&piggybacked);
  *message->mutable_condemned() = std::move(piggybacked.condemned);
  *message->mutable_targets() = std::move(piggybacked.targets);
  *message->mutable_suspected() = std::move(piggybacked.suspected);
}

ExchangeRequest MembershipProtocol::BuildRequest() {
  ExchangeRequest request;
  FillSenderData(&request);
  for (const membership::PeerState& it :
       table_.TakeChanges(kMaximumChangesPerMessage)) {
    *request.add_changes() = ToProto(it);
  }
  return request;
}

void MembershipProtocol::ProbeNextPeer() {
  table_.ProcessTimeouts(base::Clock::Now());
  ++probe_rounds_;
  std::optional<membership::PeerState> peer = table_.NextProbe();
  if (probe_rounds_ % kRoundsPerDeadPeerProbe == 0 || !peer) {
    // Probe a dead peer instead (see kRoundsPerDeadPeerProbe).
    for (const membership::PeerState& it : table_.All()) {
      if (it.status == membership::PeerStatus::kDead &&
          (!peer || base::RandomNumber() % 2 == 0)) {
        peer = it;
      }
    }
  }
  callbacks_.on_table_changed();
  if (!peer) {
    return;
  }
  ExchangeRequest request = BuildRequest();
  request.set_wants_all(probe_rounds_ % kRoundsPerFullTableRequest == 1);
  *request.add_changes() = ToProto(*peer);
  client_->Exchange(peer->address, request, kProbeTimeout,
                    [this, peer = *peer](std::optional<ExchangeReply> reply) {
                      callbacks_.post([this, peer, reply = std::move(reply)] {
                        if (reply) {
                          OnProbeResult(peer, reply);
                        } else {
                          ProbeIndirectly(peer);
                        }
                      });
                    });
}

void MembershipProtocol::ProbeIndirectly(const membership::PeerState& peer) {
  const auto probers = table_.IndirectProbers(peer.instance, kIndirectProbers);
  if (probers.empty()) {
    OnProbeResult(peer, std::nullopt);
    return;
  }
  auto remaining = std::make_shared<size_t>(probers.size());
  auto is_answered = std::make_shared<bool>(false);
  ExchangeRequest request = BuildRequest();
  request.set_probe_address(peer.address);
  for (const membership::PeerState& it : probers) {
    client_->Exchange(
        it.address, request, kIndirectProbeTimeout,
        [this, peer, remaining,
         is_answered](const std::optional<ExchangeReply>& reply) {
          const bool has_answer = reply && reply->is_probe_answered();
          callbacks_.post([this, peer, remaining, is_answered, has_answer] {
            *is_answered = *is_answered || has_answer;
            if (--*remaining == 0 && !*is_answered) {
              OnProbeResult(peer, std::nullopt);
            }
          });
        });
  }
}

void MembershipProtocol::OnProbeResult(
    const membership::PeerState& peer,
    const std::optional<ExchangeReply>& reply) {
  const base::Millis now = base::Clock::Now();
  if (!reply) {
    table_.OnProbeFailed(peer.instance, now);
    callbacks_.on_table_changed();
    return;
  }
  table_.OnProbeAnswered(peer.instance, now);
  ApplyMessage(*reply);
}

void MembershipProtocol::ApplyPeerState(const PeerState& message) {
  const membership::PeerState state = FromProto(message);
  if (state.instance.empty() || state.address.empty()) {
    return;
  }
  table_.ApplyUpdate(state, base::Clock::Now());
}

template <typename Message>
void MembershipProtocol::ApplyMessage(const Message& message) {
  ApplyPeerState(message.sender());
  table_.OnProbeAnswered(message.sender().instance(), base::Clock::Now());
  for (const PeerState& it : message.changes()) {
    ApplyPeerState(it);
  }
  callbacks_.on_message_received(
      message.sender(), PiggybackedData{message.condemned(), message.targets(),
                                        message.suspected()});
  callbacks_.on_table_changed();
}

void MembershipProtocol::OnExchange(const ExchangeRequest& request,
                                    std::function<void(ExchangeReply)> done) {
  ApplyMessage(request);
  ExchangeReply reply;
  FillSenderData(&reply);
  const auto changes = request.wants_all()
                           ? table_.All()
                           : table_.TakeChanges(kMaximumChangesPerMessage);
  for (const membership::PeerState& it : changes) {
    *reply.add_changes() = ToProto(it);
  }
  if (request.probe_address().empty()) {
    done(std::move(reply));
    return;
  }
  client_->Exchange(request.probe_address(), BuildRequest(), kProbeTimeout,
                    [reply, done = std::move(done)](
                        const std::optional<ExchangeReply>& answer) mutable {
                      reply.set_is_probe_answered(answer.has_value());
                      done(std::move(reply));
                    });
}

void MembershipProtocol::Broadcast(const PiggybackedData& data) {
  ExchangeRequest request;
  *request.mutable_sender() = ToProto(table_.Self());
  *request.mutable_condemned() = data.condemned;
  *request.mutable_targets() = data.targets;
  *request.mutable_suspected() = data.suspected;
  for (const membership::PeerState& it : table_.Reachable()) {
    client_->Exchange(it.address, request, kProbeTimeout,
                      [](const std::optional<ExchangeReply>&) {});
  }
}

void MembershipProtocol::AnnounceLeaving() {
  table_.SetLeaving();
  for (const membership::PeerState& it : table_.Reachable()) {
    client_->Exchange(it.address, BuildRequest(), kProbeTimeout,
                      [](const std::optional<ExchangeReply>&) {});
  }
}

void MembershipProtocol::AnnouncePathLost(bool is_path_lost) {
  table_.SetPathLost(is_path_lost);
  for (const membership::PeerState& it : table_.Reachable()) {
    SendState(it.address, kStateTries);
  }
}

void MembershipProtocol::SendState(const std::string& address, int n_tries) {
  ExchangeRequest request;
  *request.mutable_sender() = ToProto(table_.Self());
  client_->Exchange(
      address, request, kProbeTimeout,
      [this, address, n_tries](std::optional<ExchangeReply> reply) {
        callbacks_.post([this, address, n_tries, reply = std::move(reply)] {
          if (reply) {
            ApplyMessage(*reply);
          } else if (n_tries > 1) {
            SendState(address, n_tries - 1);
          }
        });
      });
}

std::vector<membership::PeerState> MembershipProtocol::Reachable() {
  table_.SetConfigurationVersion(callbacks_.configuration_version());
  return table_.Reachable();
}

}  // namespace daisypond::peer

#ifndef DAISYPOND_PEER_MEMBERSHIP_PROTOCOL_H_
#define DAISYPOND_PEER_MEMBERSHIP_PROTOCOL_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "membership/peer_table.h"
#include "peer/generated/peers.pb.h"
#include "peer/peer_client.h"

namespace daisypond::peer {

/// Data that membership messages carry in addition to membership changes.
struct PiggybackedData {
  google::protobuf::RepeatedPtrField<Condemned> condemned;
  google::protobuf::RepeatedPtrField<TargetReport> targets;
  google::protobuf::RepeatedPtrField<Suspect> suspected;
};

/// Callbacks into the owner of a MembershipProtocol. All but `post` are called
/// on the control thread.
struct MembershipCallbacks {
  /// Queues a task for the control thread. May be called on any thread.
  std::function<void(std::function<void()>)> post;
  std::function<uint64_t()> configuration_version;
  /// Adds data to a message that is about to be sent.
  std::function<void(PiggybackedData*)> add_piggybacked_data;
  /// Called for each request or reply received from the instance `sender`.
  std::function<void(const PeerState& sender, const PiggybackedData&)>
      on_message_received;
  /// Called when the peer table may have changed.
  std::function<void()> on_table_changed;
};

/// Exchanges membership messages with other instances and keeps the peer table
/// up to date (see membership::PeerTable). All methods run on the control
/// thread and never block; replies are processed as tasks on the same thread.
class MembershipProtocol {
 public:
  static constexpr base::Millis kProbePeriod{1000};
  static constexpr base::Millis kSeedContactPeriod{3000};

  MembershipProtocol(membership::PeerState self,
                     PeerClient* client,
                     MembershipCallbacks callbacks);

  /// Requests the peer table from each of `addresses` that does not belong to a
  /// peer in this instance's table that is reachable.
  void ContactPeers(const std::vector<std::string>& addresses);

  /// Sends a probe to the next peer. Must be called every kProbePeriod.
  void ProbeNextPeer();

  /// Answers a peer's message. `done` may be called after this returns.
  void OnExchange(const ExchangeRequest& request,
                  std::function<void(ExchangeReply)> done);

  /// Sends `data` to all reachable peers.
  void Broadcast(const PiggybackedData& data);

  /// Tells peers that this instance is leaving.
  void AnnounceLeaving();

  /// Tells peers whether this instance has lost its direct path to the targets.
  void AnnouncePathLost(bool is_path_lost);

  const membership::PeerTable& Table() const { return table_; }

  /// Updates this instance's configuration version in the peer table and
  /// returns the reachable peers.
  std::vector<membership::PeerState> Reachable();

 private:
  void ContactPeer(const std::string& address);
  /// Sends this instance's state to a peer, up to `n_tries` times until it
  /// answers.
  void SendState(const std::string& address, int n_tries);
  /// Asks other peers to probe a peer that did not answer this instance.
  void ProbeIndirectly(const membership::PeerState& peer);
  void OnProbeResult(const membership::PeerState& peer,
                     const std::optional<ExchangeReply>& reply);
  void ApplyPeerState(const PeerState& message);
  template <typename Message>
  void ApplyMessage(const Message& message);
  template <typename Message>
  void FillSenderData(Message* message);
  ExchangeRequest BuildRequest();

  membership::PeerTable table_;
  PeerClient* client_;
  MembershipCallbacks callbacks_;
  int probe_rounds_ = 0;
};

}  // namespace daisypond::peer

#endif  // DAISYPOND_PEER_MEMBERSHIP_PROTOCOL_H_

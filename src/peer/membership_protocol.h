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

/// What rides on membership messages besides membership itself.
struct PiggybackedData {
  google::protobuf::RepeatedPtrField<Condemned> condemned;
  google::protobuf::RepeatedPtrField<TargetReport> targets;
};

/// What a group asks of its owner. All run on the control thread.
struct MembershipCallbacks {
  /// Runs a task on the control thread, from any thread.
  std::function<void(std::function<void()>)> post;
  std::function<uint64_t()> configuration_version;
  std::function<void(PiggybackedData*)> add_piggybacked_data;
  /// A message of `sender` came in.
  std::function<void(const PeerState& sender, const PiggybackedData&)>
      on_message_received;
  /// The table may have changed.
  std::function<void()> on_table_changed;
};

/// Speaks the membership protocol of the peer table with other instances. Only
/// for the control thread; nothing waits, answers come back as tasks.
class MembershipProtocol {
 public:
  static constexpr base::Millis kProbePeriod{1000};
  static constexpr base::Millis kSeedContactPeriod{3000};

  MembershipProtocol(membership::PeerState self,
                     PeerClient* client,
                     MembershipCallbacks callbacks);

  /// Makes contact with instances that are not known yet.
  void ContactPeers(const std::vector<std::string>& addresses);

  /// Probes the next peer. Call every kProbePeriod.
  void ProbeNextPeer();

  /// Answers a peer's message; `done` may run later.
  void OnExchange(const ExchangeRequest& request,
                  std::function<void(ExchangeReply)> done);

  /// Tells peers that this instance is leaving.
  void AnnounceLeaving();

  const membership::PeerTable& Table() const { return table_; }

  /// The table with this instance's present configuration version.
  std::vector<membership::PeerState> Reachable();

 private:
  void ContactPeer(const std::string& address);
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

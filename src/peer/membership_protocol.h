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
struct Attachments {
  google::protobuf::RepeatedPtrField<Condemned> condemned;
  google::protobuf::RepeatedPtrField<TargetReport> targets;
};

/// What a group asks of its owner. All run on the control thread.
struct GroupHooks {
  /// Runs a task on the control thread, from any thread.
  std::function<void(std::function<void()>)> post;
  std::function<uint64_t()> configuration_version;
  std::function<void(Attachments*)> attach;
  /// A message of `sender` came in.
  std::function<void(const PeerState& sender, const Attachments&)> on_news;
  /// The table may have changed.
  std::function<void()> on_changed;
};

/// Speaks the membership protocol of the peer table with other instances. Only
/// for the control thread; nothing waits, answers come back as tasks.
class Group {
 public:
  static constexpr base::Millis kProbePeriod{1000};
  static constexpr base::Millis kSeedPeriod{3000};

  Group(membership::PeerState self, PeerClient* client, GroupHooks hooks);

  /// Makes contact with instances that are not known yet.
  void Contact(const std::vector<std::string>& addresses);

  /// Probes the next peer. Call every kProbePeriod.
  void Probe();

  /// Answers a peer's message; `done` may run later.
  void OnExchange(const ExchangeRequest& request,
                  std::function<void(ExchangeReply)> done);

  /// Tells peers that this instance is leaving.
  void Leave();

  const membership::PeerTable& Table() const { return table_; }

  /// The table with this instance's present configuration version.
  std::vector<membership::PeerState> Reachable();

 private:
  void ContactOne(const std::string& address);
  void ProbeThroughHelpers(const membership::PeerState& peer);
  void OnProbeResult(const membership::PeerState& peer,
                     const std::optional<ExchangeReply>& reply);
  void Absorb(const PeerState& message);
  template <typename Message>
  void AbsorbNews(const Message& message);
  template <typename Message>
  void Fill(Message* message);
  ExchangeRequest NextMessage();

  membership::PeerTable table_;
  PeerClient* client_;
  GroupHooks hooks_;
  int rounds_ = 0;
};

}  // namespace daisypond::peer

#endif  // DAISYPOND_PEER_MEMBERSHIP_PROTOCOL_H_

#ifndef DAISYPOND_ENTRY_CONTROL_PLANE_H_
#define DAISYPOND_ENTRY_CONTROL_PLANE_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "entry/configuration_updater.h"
#include "entry/instance.h"
#include "entry/target_poller.h"
#include "peer/membership_protocol.h"
#include "peer/peer_server.h"
#include "wall/wall.h"

namespace daisypond::entry {

/// Runs the periodic work of the control thread: group membership,
/// configuration updates, polling of targets and the exchange of their state
/// with peers. No method waits for a reply: replies are posted to the control
/// thread as tasks.
class ControlPlane {
 public:
  explicit ControlPlane(Instance* instance);

  /// Adds the periodic tasks and starts the control thread.
  void Start();

  /// Handles a membership message of a peer. Like OnDeathReport(), must be
  /// called on the control thread.
  void OnExchange(const peer::ExchangeRequest& request,
                  std::function<void(peer::ExchangeReply)> done);
  void OnDeathReport(const peer::ReportDeathRequest& request);

  /// Tells peers that this instance is shutting down. Thread-safe.
  void SetLeaving();

  /// Collects the state that the status page ("wall") shows. Thread-safe.
  wall::Snapshot TakeStatusSnapshot() const;

 private:
  peer::MembershipCallbacks MakeMembershipCallbacks();
  /// Contacts the seed peers and the instances that the platform lists.
  void ContactKnownInstances();
  /// Applies the data that a peer has attached to a membership message.
  void OnPeerMessage(const peer::PeerState& sender,
                     const peer::PiggybackedData& piggybacked_data);
  /// Adds the requests that this instance refuses because they crash targets to
  /// a membership message.
  void AddCondemnedRequests(google::protobuf::RepeatedPtrField<peer::Condemned>*
                                condemned_list) const;
  /// Updates the list of peers that request threads use and the list that the
  /// status page shows.
  void PublishPeers();

  Instance* instance_;
  base::Millis started_at_;
  peer::MembershipProtocol membership_;
  ConfigurationUpdater configuration_updater_;
  TargetPoller target_poller_;
  mutable std::mutex status_page_peers_mutex_;
  std::vector<wall::PeerView> status_page_peers_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_CONTROL_PLANE_H_

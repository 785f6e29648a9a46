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
#include "peer/group.h"
#include "peer/peer_server.h"
#include "wall/wall.h"

namespace daisypond::entry {

/// The work of the control thread: membership, configuration, the state of
/// targets and what peers tell of them. Nothing here waits: answers come back
/// to the control thread as tasks.
class ControlPlane {
 public:
  explicit ControlPlane(Instance* instance);

  /// Adds the periodic tasks and starts the control thread.
  void Start();

  /// Handlers for the peer server; run on the control thread.
  void OnExchange(const peer::ExchangeRequest& request,
                  std::function<void(peer::ExchangeReply)> done);
  void OnDeathReport(const peer::ReportDeathRequest& request);

  /// Tells peers that this instance is leaving.
  void SetLeaving();

  /// What the wall shows. From any thread.
  wall::Snapshot TakeWallSnapshot() const;

 private:
  peer::GroupHooks MakeGroupHooks();
  void ContactKnownInstances();
  void OnPeerMessage(const peer::PeerState& sender,
                     const peer::Attachments& news);
  void AttachCondemnedRequests(
      google::protobuf::RepeatedPtrField<peer::Condemned>* condemned_list)
      const;
  void PublishPeers();

  Instance* instance_;
  base::Millis started_at_;
  peer::Group group_;
  ConfigurationUpdater configuration_updater_;
  TargetPoller target_poller_;
  mutable std::mutex wall_peers_mutex_;
  std::vector<wall::SeenPeer> wall_peers_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_CONTROL_PLANE_H_

#ifndef DAISYPOND_ENTRY_CONTROL_H_
#define DAISYPOND_ENTRY_CONTROL_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "entry/configuration_follower.h"
#include "entry/instance.h"
#include "entry/target_poller.h"
#include "peer/group.h"
#include "peer/peer_server.h"
#include "wall/wall.h"

namespace daisypond::entry {

/// The work of the control thread: membership, configuration, the state of
/// targets and what peers tell of them. Nothing here waits: answers come back
/// to the control thread as tasks.
class Control {
 public:
  explicit Control(Instance* instance);

  /// Adds the periodic tasks and starts the control thread.
  void Start();

  /// Handlers for the peer server; run on the control thread.
  void OnExchange(const peer::ExchangeRequest& request,
                  std::function<void(peer::ExchangeReply)> done);
  void OnDeath(const peer::ReportDeathRequest& request);

  /// Tells peers that this instance is leaving.
  void SetLeaving();

  /// What the wall shows. From any thread.
  wall::Snapshot TakeSnapshot() const;

 private:
  peer::GroupHooks Hooks();
  void Seed();
  void OnNews(const peer::PeerState& sender, const peer::Attachments& news);
  void AddCondemned(
      google::protobuf::RepeatedPtrField<peer::Condemned>* into) const;
  void Publish();

  Instance* instance_;
  base::Millis started_at_;
  peer::Group group_;
  ConfigurationFollower configuration_;
  TargetPoller poller_;
  mutable std::mutex seen_mutex_;
  std::vector<wall::PeerView> seen_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_CONTROL_H_

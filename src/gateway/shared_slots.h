#ifndef DAISYPOND_GATEWAY_SHARED_SLOTS_H_
#define DAISYPOND_GATEWAY_SHARED_SLOTS_H_

#include <functional>
#include <map>
#include <string>

#include "forward/rejection_guard.h"
#include "peer/membership_protocol.h"
#include "peer/peer_client.h"

namespace daisypond::gateway {

/// Makes the instances together send a brittle target no more requests than it
/// has room for. Asks the holder of the target's slots before each send and
/// holds the slots of some targets for all instances. While the holder does not
/// answer, no slot is leased: the requests go to other targets. Runs on the
/// control thread.
class SharedSlots {
 public:
  using SlotCallback = std::function<void(forward::RequestPermit)>;
  /// Queues a task for the control thread. May be called on any thread.
  using Post = std::function<void(std::function<void()>)>;

  SharedSlots(const peer::MembershipProtocol* membership_protocol,
              peer::PeerClient* client,
              Post post);

  /// Asks the holder for a slot. `done` is called once, on the control thread.
  void Take(const forward::SlotRequest& request, SlotCallback done);

  /// Gives a slot back to the instance that leased it.
  void Return(const forward::SlotReturn& slot);

  /// Leases a slot to another instance, or refuses it.
  forward::RequestPermit Grant(const peer::TakeSlotRequest& request);

  /// Takes a slot back from another instance.
  void TakeBack(const peer::ReturnSlotRequest& request);

 private:
  std::string HolderOf(const std::string& target) const;
  void OnAnswer(const forward::SlotRequest& request,
                const std::optional<peer::TakeSlotReply>& reply,
                const SlotCallback& done);

  const peer::MembershipProtocol* membership_;
  peer::PeerClient* client_;
  Post post_;
  forward::RejectionGuard guard_;
  /// Address of the instance that was asked for each slot of this instance.
  std::map<uint64_t, std::string> lease_holders_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SHARED_SLOTS_H_

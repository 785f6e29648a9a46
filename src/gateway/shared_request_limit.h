#ifndef DAISYPOND_GATEWAY_SHARED_REQUEST_LIMIT_H_
#define DAISYPOND_GATEWAY_SHARED_REQUEST_LIMIT_H_

#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "forward/request_permit_pool.h"
#include "peer/membership_protocol.h"
#include "peer/peer_client.h"

namespace daisypond::gateway {

/// Returns the address of the member that holds the permits for a target. Each
/// target has another holder, so that the loss of a member affects few of them.
std::string SelectPermitHolder(const std::string& target,
                               const membership::PeerState& self,
                               const std::vector<membership::PeerState>& peers);

/// Makes the instances together keep to the requests a second that a target
/// accepts. Asks the holder of the target's permits before each request and
/// holds the permits of some targets for all instances. While the holder does
/// not answer, no permit is granted: the requests go to other targets. Runs on
/// the control thread.
class SharedRequestLimit {
 public:
  using PermitCallback = std::function<void(forward::RequestPermit)>;

  SharedRequestLimit(const peer::MembershipProtocol* membership_protocol,
                     peer::PeerClient* client)
      : membership_(membership_protocol), client_(client) {}

  /// Asks the holder for a permit. `done` is called once, on the control thread
  /// or on the peer client's.
  void TakePermit(const forward::TargetProcess& target,
                  double limit,
                  PermitCallback done);

  /// Grants or refuses a permit to another instance.
  forward::RequestPermit Grant(const peer::TakePermitRequest& request);

 private:
  const peer::MembershipProtocol* membership_;
  peer::PeerClient* client_;
  forward::RequestPermitPool pool_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SHARED_REQUEST_LIMIT_H_

#ifndef DAISYPOND_PEER_CONVERT_H_
#define DAISYPOND_PEER_CONVERT_H_

#include "generation/copy_store.h"
#include "membership/peer_state.h"
#include "peer/generated/peers.pb.h"

namespace daisypond::peer {

/// Convert between the types of membership and generation and the protobuf
/// messages. An unknown peer status is read as dead, an unknown append outcome
/// as superseded.
PeerState ToMessage(const membership::PeerState& state);
membership::PeerState FromMessage(const PeerState& message);

Append ToMessage(const generation::AppendTokens& append);
generation::AppendTokens FromMessage(const Append& message);

TakeOverReply ToMessage(const generation::TakeOverResult& result);
generation::TakeOverResult FromMessage(const TakeOverReply& message);

AppendOutcome ToMessage(generation::AppendOutcome outcome);
generation::AppendOutcome FromMessage(AppendOutcome outcome);

}  // namespace daisypond::peer

#endif  // DAISYPOND_PEER_CONVERT_H_

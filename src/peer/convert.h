#ifndef DAISYPOND_PEER_CONVERT_H_
#define DAISYPOND_PEER_CONVERT_H_

#include "generation/copy_store.h"
#include "membership/peer_state.h"
#include "peer/generated/peers.pb.h"

namespace daisypond::peer {

/// ToProto() converts types of the namespaces membership and generation to
/// protobuf messages; FromProto() does the reverse. FromProto() converts an
/// unknown peer status to kDead and an unknown append outcome to kSuperseded.
PeerState ToProto(const membership::PeerState& state);
membership::PeerState FromProto(const PeerState& message);

Append ToProto(const generation::AppendTokens& append);
generation::AppendTokens FromProto(const Append& message);

TakeOverReply ToProto(const generation::TakeOverResult& result);
generation::TakeOverResult FromProto(const TakeOverReply& message);

AppendOutcome ToProto(generation::AppendOutcome outcome);
generation::AppendOutcome FromProto(AppendOutcome outcome);

}  // namespace daisypond::peer

#endif  // DAISYPOND_PEER_CONVERT_H_

#ifndef DAISYPOND_TUNNEL_CLIENT_H_
#define DAISYPOND_TUNNEL_CLIENT_H_

#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "net/timed_socket.h"
#include "tunnel/connect_request.h"
#include "tunnel/framing.h"
#include "tunnel/status.h"

namespace daisypond::tunnel {

struct OpenResult {
  Status status = Status::kRefused;
  /// The form in which the socket carries the target's bytes.
  Framing framing = Framing::kNone;
};

/// Opens a connection to a target through the peer that accepts tunnels at
/// `peer_address` ("IP:PORT"). `socket` must not be connected and must outlive
/// the call. On kOpen, it takes bytes for the target as a direct connection
/// would, and carries the target's bytes in the form that the peer has chosen.
/// On any other status, it is closed and the target has received no bytes.
net::asio::awaitable<OpenResult> Open(net::TimedSocket* socket,
                                      std::string peer_address,
                                      ConnectRequest request,
                                      base::Millis deadline);

}  // namespace daisypond::tunnel

#endif  // DAISYPOND_TUNNEL_CLIENT_H_

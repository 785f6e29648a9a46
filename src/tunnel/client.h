#ifndef DAISYPOND_TUNNEL_CLIENT_H_
#define DAISYPOND_TUNNEL_CLIENT_H_

#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "net/timed_socket.h"
#include "tunnel/connect_request.h"
#include "tunnel/status.h"

namespace daisypond::tunnel {

/// Opens a connection to a target through the peer that accepts tunnels at
/// `peer_address` ("IP:PORT"). `socket` must not be connected and must outlive
/// the call. On kOpen, it carries the target's bytes as a direct connection
/// would. On any other status, it is closed and the target has received no
/// bytes.
net::asio::awaitable<Status> Open(net::TimedSocket* socket,
                                  std::string peer_address,
                                  ConnectRequest request,
                                  base::Millis deadline);

}  // namespace daisypond::tunnel

#endif  // DAISYPOND_TUNNEL_CLIENT_H_

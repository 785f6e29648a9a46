#include "forward/connect_target.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "forward/exchange_limits.h"
#include "tunnel/client.h"

namespace daisypond::forward {

namespace {

using base::Millis;

constexpr int kMaximumTunnelPeers = 2;
// Time allowed for opening a tunnel: the peer's connect to the target and a few
// round trips.
constexpr Millis kTunnelTimeout{500};
// A peer that did not answer within less time is not to blame.
constexpr Millis kMinimumTunnelTime{200};
// A connect that was given less time than this says nothing about the path.
constexpr Millis kMinimumConnectTime{100};

/// True when a connection could not be opened for lack of means of this
/// process or machine.
bool IsExhausted(const net::ErrorCode& ec) {
  return ec == boost::system::errc::too_many_files_open ||
         ec == boost::system::errc::too_many_files_open_in_system ||
         ec == boost::system::errc::no_buffer_space ||
         ec == boost::system::errc::not_enough_memory;
}

net::asio::awaitable<ConnectStatus> ConnectDirectly(
    Forwarder* forwarder,
    std::shared_ptr<TargetConnection> connection,
    Millis deadline) {
  const Millis began_at = base::Clock::Now();
  PathMonitor& monitor = forwarder->path_monitor;
  forwarder->metrics->Add(base::Counter::kConnectionsOpened);
  monitor.OnConnectBegun(connection.get());
  const net::ErrorCode ec = co_await connection->Socket().Connect(
      connection->Address(), std::min(began_at + kConnectTimeout, deadline));
  monitor.OnConnectEnded(connection.get());
  if (!ec) {
    connection->connected_at = base::Clock::Now();
    co_return ConnectStatus::kConnected;
  }
  if (connection->IsAbandoned()) {
    co_return ConnectStatus::kAbandoned;
  }
  if (IsExhausted(ec)) {
    co_return ConnectStatus::kNoRoom;
  }
  // The monitor cancels connects when the path is lost.
  const bool is_cancelled = ec == net::asio::error::operation_aborted &&
                            !connection->Socket().WriteDeadline().HasPassed();
  const bool is_short = connection->Socket().WriteDeadline().HasPassed() &&
                        base::Clock::Now() - began_at < kMinimumConnectTime;
  if (!is_cancelled && !is_short) {
    monitor.OnConnectFailed(connection->Target());
  }
  co_return ConnectStatus::kUnreachable;
}

int64_t StartTimeOf(const Forwarder& forwarder, const std::string& target) {
  const auto it = forwarder.catalog.targets->find(target);
  return it == forwarder.catalog.targets->end() ? 0 : it->second.started_at;
}

net::asio::awaitable<tunnel::Status> OpenTunnel(
    Forwarder* forwarder,
    std::shared_ptr<TargetConnection> connection,
    TunnelPeer peer,
    Millis deadline) {
  const Millis began_at = base::Clock::Now();
  tunnel::ConnectRequest request{
      connection->Target(), StartTimeOf(*forwarder, connection->Target()),
      forwarder->options.instance, tunnel::Framing::kFrames};
  connection->Socket().Close();
  connection->tunnel_peer =
      forwarder->tunnel_peer_selector.OnTunnelBegun(peer.instance);
  const tunnel::OpenResult opened = co_await tunnel::Open(
      &connection->Socket(), std::move(peer.address), std::move(request),
      std::min(deadline, began_at + kTunnelTimeout));
  const tunnel::Status status = opened.status;
  connection->OnTunnelOpened(opened.framing);
  if (connection->IsAbandoned()) {
    co_return status;
  }
  const Millis now = base::Clock::Now();
  switch (status) {
    case tunnel::Status::kOpen:
      forwarder->metrics->Add(base::Counter::kTunnelsOpened);
      forwarder->path_monitor.OnReachedThroughPeer(connection->Target());
      break;
    case tunnel::Status::kPeerUnreachable:
      if (now - began_at < kMinimumTunnelTime && now >= deadline) {
        break;
      }
      forwarder->tunnel_peer_selector.OnUnreachable(peer.instance, now);
      break;
    case tunnel::Status::kRefused:
    case tunnel::Status::kTargetUnreachable:
      forwarder->tunnel_peer_selector.OnRefused(peer.instance, now);
      break;
  }
  base::Log(base::LogLevel::kInfo, "tunnel",
            {{"target", connection->Target()},
             {"peer", peer.instance},
             {"status", tunnel::kStatusNames.NameOf(status)},
             {"framing", tunnel::kFramingNames.NameOf(opened.framing)},
             {"took_ms", (now - began_at).count}});
  if (status != tunnel::Status::kOpen) {
    connection->tunnel_peer.reset();
  }
  co_return status;
}

/// Returns nothing if no peer could tell whether the target is reachable. Sets
/// `last_peer` to the name of the peer that was asked last.
net::asio::awaitable<std::optional<ConnectStatus>> ConnectThroughPeer(
    Forwarder* forwarder,
    std::shared_ptr<TargetConnection> connection,
    Millis deadline,
    std::string* last_peer) {
  std::vector<TunnelPeer> tried;
  std::optional<ConnectStatus> result;
  for (int i = 0; i < kMaximumTunnelPeers; ++i) {
    const Millis now = base::Clock::Now();
    const std::optional<TunnelPeer> peer =
        forwarder->tunnel_peer_selector.Choose(
            forwarder->tunnel_peers, forwarder->options.failure_domain, tried,
            now);
    if (!peer || now >= deadline) {
      break;
    }
    tried.push_back(*peer);
    *last_peer = peer->instance;
    const tunnel::Status status =
        co_await OpenTunnel(forwarder, connection, *peer, deadline);
    if (connection->IsAbandoned()) {
      co_return ConnectStatus::kAbandoned;
    }
    if (status == tunnel::Status::kOpen) {
      co_return ConnectStatus::kConnected;
    }
    if (status == tunnel::Status::kTargetUnreachable) {
      result = ConnectStatus::kUnreachable;
    }
  }
  if (result) {
    forwarder->path_monitor.OnUnreachableThroughPeer(connection->Target());
  }
  co_return result;
}

}  // namespace

net::asio::awaitable<ConnectOutcome> ConnectTarget(
    Forwarder* forwarder,
    std::shared_ptr<TargetConnection> connection,
    Millis deadline) {
  const TargetPath& path = forwarder->path_monitor.Path();
  const std::string& target = connection->Target();
  const bool has_peers = !forwarder->tunnel_peers.empty();
  ConnectOutcome outcome;
  if (!forwarder->MayConnectTarget()) {
    outcome.status = ConnectStatus::kNoRoom;
    co_return outcome;
  }
  const bool was_lost = path.StateOfTarget(target) == PathState::kLost;
  if (!was_lost || !has_peers) {
    outcome.status = co_await ConnectDirectly(forwarder, connection, deadline);
    if (outcome.status != ConnectStatus::kUnreachable || !has_peers) {
      co_return outcome;
    }
    const PathState state =
        co_await forwarder->path_monitor.WaitForCheck(target, deadline);
    if (state != PathState::kLost || connection->IsAbandoned()) {
      co_return outcome;
    }
  }
  const std::optional<ConnectStatus> status = co_await ConnectThroughPeer(
      forwarder, connection, deadline, &outcome.peer);
  if (status) {
    outcome.status = *status;
    co_return outcome;
  }
  outcome.peer.clear();
  if (was_lost) {
    connection->Socket().Close();
    outcome.status = co_await ConnectDirectly(forwarder, connection, deadline);
  }
  co_return outcome;
}

}  // namespace daisypond::forward

#include "forward/path_monitor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"
#include "forward/forwarder.h"
#include "net/spawn.h"

namespace daisypond::forward {

namespace {

using base::Millis;

constexpr Millis kCheckPollPeriod{20};
constexpr Millis kLostPollPeriod{100};
constexpr Millis kIdlePollPeriod{500};
// Much longer than a round trip.
constexpr Millis kSlowConnect{100};
// When requests are open and nothing arrives for this long, the path is
// checked. Doubled each time that the path turns out to be sound.
constexpr Millis kSilenceTimeout{500};
constexpr Millis kMaximumSilenceTimeout{2000};
// Failures up to this long before the first suspicion have the same cause.
constexpr Millis kForgottenTime{50};
// How long after the first failure open sends are broken off, unless bytes have
// arrived by then.
constexpr Millis kInterruptionDelay{400};
// How long a probe waits for a reset of its connection.
constexpr Millis kResetDelay{20};

}  // namespace

PathMonitor::PathMonitor(Forwarder* forwarder)
    : forwarder_(forwarder),
      silence_timeout_(kSilenceTimeout),
      timer_(forwarder->executor) {}

void PathMonitor::OnConnectBegun(TargetConnection* connection) {
  const Millis now = base::Clock::Now();
  open_connects_[connection] = now;
  const Millis check_at = now + kSlowConnect;
  if (!is_running_ || timer_.expiry() > std::chrono::steady_clock::time_point(
                                            check_at.ToChrono())) {
    Wake();
  }
}

void PathMonitor::OnConnectEnded(TargetConnection* connection) {
  open_connects_.erase(connection);
}

void PathMonitor::OnConnected(const std::string& target, Millis connected_at) {
  last_heard_at_ = std::max(last_heard_at_, connected_at);
  path_.OnConnected(target, connected_at);
  Update();
}

void PathMonitor::OnConnectionReset(const std::string& target) {
  Suspect(target, PathSuspicion::kRequestFailed);
  path_.OnConnectionReset(target, base::Clock::Now());
  Update();
  Wake();
}

void PathMonitor::OnAnswerRead(const TargetConnection& connection,
                               ReadStatus status) {
  if (connection.Route() != ConnectionRoute::kDirect ||
      connection.IsAbandoned()) {
    return;
  }
  if (connection.HasBeenHeard()) {
    RecordBytes(connection);
  } else if (status == ReadStatus::kBroken && connection.RequestCount() == 1) {
    OnConnectionReset(connection.Target());
  }
}

void PathMonitor::RecordBytes(const TargetConnection& connection) {
  if (connection.Route() != ConnectionRoute::kDirect ||
      !connection.HasBeenHeard()) {
    return;
  }
  const std::string& target = connection.Target();
  last_heard_at_ = std::max(last_heard_at_, connection.last_heard_at);
  held_losses_.OnBytesReceived(target, connection.last_heard_at);
  path_.OnBytesReceived(target, connection.last_heard_at);
  path_.OnConnected(target, connection.connected_at);
}

void PathMonitor::OnConnectFailed(const std::string& target) {
  const bool is_first = path_.StateOfTarget(target) == PathState::kDirect;
  path_.OnConnectFailed(target, base::Clock::Now());
  if (is_first) {
    base::Log(
        base::LogLevel::kInfo, "path_check",
        {{"why", kPathSuspicionNames.NameOf(PathSuspicion::kConnectFailed)},
         {"target", target}});
  }
  Update();
  Wake();
}

void PathMonitor::Suspect(const std::string& target, PathSuspicion reason) {
  const bool is_first = path_.StateOfTarget(target) == PathState::kDirect;
  path_.OnSuspicion(target, base::Clock::Now());
  if (is_first) {
    base::Log(
        base::LogLevel::kInfo, "path_check",
        {{"why", kPathSuspicionNames.NameOf(reason)}, {"target", target}});
  }
}

void PathMonitor::OnReachedThroughPeer(const std::string& target) {
  path_.OnReachedThroughPeer(path_.ServiceOf(target));
}

void PathMonitor::OnUnreachableThroughPeer(const std::string& target) {
  path_.OnUnreachableThroughPeer(target, base::Clock::Now());
  Update();
}

void PathMonitor::OnSendBegun(
    const std::shared_ptr<TargetConnection>& connection,
    SendInterruption interruption) {
  open_sends_[connection] = {interruption, base::Clock::Now()};
  if (!is_running_) {
    Wake();
  }
}

void PathMonitor::OnSendEnded(
    const std::shared_ptr<TargetConnection>& connection,
    ReadStatus status) {
  open_sends_.erase(connection);
  OnAnswerRead(*connection, status);
}

void PathMonitor::OnLossFound(const TargetLoss& target,
                              const RequestContent& content,
                              LossKind kind,
                              const std::string& peer) {
  if (kind == LossKind::kRequestFailed && peer.empty()) {
    Suspect(target.process.id, PathSuspicion::kRequestFailed);
  }
  held_losses_.Add({target, content, kind, base::Clock::Now(), peer});
  Update();
  Wake();
}

void PathMonitor::ReturnIdle(
    const std::shared_ptr<TargetConnection>& connection) {
  const bool is_path_lost =
      path_.StateOfTarget(connection->Target()) == PathState::kLost;
  if (connection->Route() == ConnectionRoute::kTunnel && !is_path_lost) {
    connection->Socket().Close();
    return;
  }
  forwarder_->connection_pool.ReturnIdle(connection, base::Clock::Now());
}

net::asio::awaitable<PathState> PathMonitor::WaitForCheck(
    std::string target,
    base::Millis deadline) {
  net::asio::steady_timer timer(forwarder_->executor);
  timer.expires_at(std::chrono::steady_clock::time_point(deadline.ToChrono()));
  while (path_.StateOfTarget(target) == PathState::kChecking &&
         base::Clock::Now() < deadline) {
    waiting_for_check_.insert(&timer);
    co_await timer.async_wait(net::kAsTuple);
    waiting_for_check_.erase(&timer);
  }
  co_return path_.StateOfTarget(target);
}

void PathMonitor::Update() {
  path_.Update(base::Clock::Now());
  ApplyState("", path_.State());
  for (const std::string& it : path_.LostServices()) {
    ApplyState(it, PathState::kLost);
  }
  std::vector<std::string> restored;
  for (const auto& it : lost_paths_) {
    if (!it.first.empty() && path_.StateOf(it.first) == PathState::kDirect) {
      restored.push_back(it.first);
    }
  }
  for (const std::string& it : restored) {
    ApplyState(it, PathState::kDirect);
  }
  SettleLosses();
  for (net::asio::steady_timer* it : waiting_for_check_) {
    it->cancel();
  }
}

void PathMonitor::ApplyState(const std::string& service, PathState state) {
  const auto lost = lost_paths_.find(service);
  if (state == PathState::kLost && lost == lost_paths_.end()) {
    lost_paths_[service] = {base::Clock::Now(), path_.SuspectedSince(service),
                            0};
    OnPathLost(service);
  } else if (state == PathState::kDirect && lost != lost_paths_.end()) {
    const LostPath path = lost->second;
    lost_paths_.erase(lost);
    OnPathRestored(service, path);
  }
}

void PathMonitor::OnPathLost(const std::string& service) {
  const Millis since = path_.SuspectedSince(service);
  base::Log(base::LogLevel::kInfo, "path_lost",
            {{"service", service.empty() ? "all" : service},
             {"suspected_ms", (base::Clock::Now() - since).count},
             {"open_sends", open_sends_.size()},
             {"held_losses", held_losses_.Size()},
             {"peers", forwarder_->tunnel_peers.size()}});
  forwarder_->selector.ForgetFailuresSince(service, since - kForgottenTime);
  CloseDirectConnections(service, since);
  if (service.empty() && forwarder_->on_path_changed) {
    forwarder_->on_path_changed(true);
  }
}

void PathMonitor::OnPathRestored(const std::string& service,
                                 const LostPath& lost) {
  base::Log(base::LogLevel::kInfo, "path_restored",
            {{"service", service.empty() ? "all" : service},
             {"lost_ms", (base::Clock::Now() - lost.lost_at).count},
             {"explained_losses", lost.n_explained_losses}});
  forwarder_->connection_pool.CloseIdleIf([&](const TargetConnection& it) {
    return it.Route() == ConnectionRoute::kTunnel && IsInScope(it, service);
  });
  if (service.empty() && forwarder_->on_path_changed) {
    forwarder_->on_path_changed(false);
  }
}

void PathMonitor::CloseDirectConnections(const std::string& service,
                                         Millis since) {
  forwarder_->connection_pool.CloseIdleIf([&](const TargetConnection& it) {
    return it.Route() == ConnectionRoute::kDirect && it.idle_since < since &&
           IsInScope(it, service);
  });
  for (const auto& it : open_connects_) {
    if (IsInScope(*it.first, service)) {
      net::ErrorCode ignored;
      it.first->Socket().Raw().cancel(ignored);
    }
  }
}

void PathMonitor::InterruptSends() {
  const Millis now = base::Clock::Now();
  std::vector<std::shared_ptr<TargetConnection>> interrupted;
  for (const auto& path : lost_paths_) {
    const std::string& service = path.first;
    if (now < path.second.suspected_since + kInterruptionDelay ||
        path_.DoConnectionsLiveOn(service)) {
      continue;
    }
    for (const auto& it : open_sends_) {
      if (it.first->Route() == ConnectionRoute::kDirect &&
          it.second.interruption == SendInterruption::kAllowed &&
          IsInScope(*it.first, service)) {
        interrupted.push_back(it.first);
      }
    }
  }
  for (const auto& it : interrupted) {
    it->Socket().Close();
  }
}

bool PathMonitor::IsInScope(const TargetConnection& connection,
                            const std::string& service) const {
  return service.empty() || path_.ServiceOf(connection.Target()) == service;
}

void PathMonitor::SettleLosses() {
  for (const auto& it : open_sends_) {
    RecordBytes(*it.first);
  }
  const SettledLosses settled = held_losses_.TakeSettled(
      path_, forwarder_->tunnel_peers, base::Clock::Now());
  for (const HeldLoss& it : settled.confirmed) {
    forwarder_->OnTargetLost(it.target, it.content, LossSource::kThisInstance,
                             it.found_at);
  }
  for (const HeldLoss& it : settled.explained) {
    const std::string& service = it.target.service;
    const auto lost =
        lost_paths_.find(path_.State() == PathState::kLost ? "" : service);
    if (lost != lost_paths_.end()) {
      ++lost->second.n_explained_losses;
    }
    base::Log(base::LogLevel::kInfo, "loss_explained",
              {{"target", it.target.process.id},
               {"service", service},
               {"kind", kLossKindNames.NameOf(it.kind)},
               {"content", it.content.hash},
               {"held_ms", (base::Clock::Now() - it.found_at).count}});
  }
}

void PathMonitor::CheckSlowConnects() {
  const Millis now = base::Clock::Now();
  for (const auto& it : open_connects_) {
    const std::string& target = it.first->Target();
    if (now - it.second >= kSlowConnect &&
        path_.StateOfTarget(target) == PathState::kDirect) {
      Suspect(target, PathSuspicion::kConnectSlow);
    }
  }
}

std::optional<Millis> PathMonitor::SilentSince() {
  std::optional<Millis> oldest;
  for (const auto& it : open_sends_) {
    if (it.first->Route() == ConnectionRoute::kDirect) {
      oldest =
          std::min(oldest.value_or(it.second.began_at), it.second.began_at);
      last_heard_at_ = std::max(last_heard_at_, it.first->last_heard_at);
    }
  }
  return oldest ? std::optional(std::max(*oldest, last_heard_at_))
                : std::nullopt;
}

void PathMonitor::CheckSilence() {
  const std::optional<Millis> since = SilentSince();
  if (!since || path_.State() != PathState::kDirect) {
    return;
  }
  if (*since > silent_at_ + silence_timeout_) {
    silence_timeout_ = kSilenceTimeout;
  }
  const Millis now = base::Clock::Now();
  if (now - *since < silence_timeout_) {
    return;
  }
  silent_at_ = now;
  silence_timeout_ = std::min(silence_timeout_ * 2, kMaximumSilenceTimeout);
  Suspect("", PathSuspicion::kAllSilent);
}

bool PathMonitor::HasWork() const {
  return path_.NeedsProbes() || !held_losses_.IsEmpty() ||
         !open_sends_.empty() || !open_connects_.empty();
}

Millis PathMonitor::NextRunAt() {
  const Millis now = base::Clock::Now();
  if (!held_losses_.IsEmpty() || path_.State() == PathState::kChecking) {
    return now + kCheckPollPeriod;
  }
  Millis next = now + (path_.NeedsProbes() ? kLostPollPeriod : kIdlePollPeriod);
  if (const std::optional<Millis> since = SilentSince()) {
    next = std::min(next, *since + silence_timeout_);
  }
  for (const auto& it : open_connects_) {
    next = std::min(next, it.second + kSlowConnect);
  }
  return std::max(next, now + kCheckPollPeriod);
}

void PathMonitor::Wake() {
  if (std::exchange(is_running_, true)) {
    timer_.cancel();
    return;
  }
  net::Spawn(forwarder_->executor, "path_monitor", Run());
}

net::asio::awaitable<void> PathMonitor::Run() {
  while (HasWork()) {
    CheckSlowConnects();
    CheckSilence();
    for (std::string& it : path_.TakeProbes(base::Clock::Now())) {
      net::Spawn(forwarder_->executor, "path_probe", Probe(std::move(it)));
    }
    Update();
    InterruptSends();
    timer_.expires_at(
        std::chrono::steady_clock::time_point(NextRunAt().ToChrono()));
    co_await timer_.async_wait(net::kAsTuple);
  }
  is_running_ = false;
}

net::asio::awaitable<void> PathMonitor::Probe(std::string target) {
  const auto found = forwarder_->catalog.targets->find(target);
  if (found == forwarder_->catalog.targets->end()) {
    co_return;
  }
  const std::shared_ptr<TargetConnection> connection =
      forwarder_->connection_pool.CreateConnection(target,
                                                   found->second.address);
  forwarder_->metrics->Add(base::Counter::kProbes);
  const Millis deadline = base::Clock::Now() + TargetPath::kProbeTimeout;
  const net::ErrorCode ec =
      co_await connection->Socket().Connect(connection->Address(), deadline);
  if (ec) {
    OnConnectFailed(target);
    co_return;
  }
  connection->connected_at = base::Clock::Now();
  net::asio::steady_timer timer(forwarder_->executor, kResetDelay.ToChrono());
  co_await timer.async_wait(net::kAsTuple);
  if (connection->Socket().HasInputOrIsClosed()) {
    OnConnectionReset(target);
    co_return;
  }
  OnConnected(target, connection->connected_at);
  connection->Socket().SetTcpOptions(
      net::DeadPeerDetection::kUnacknowledgedDataOnly);
  ReturnIdle(connection);
}

}  // namespace daisypond::forward

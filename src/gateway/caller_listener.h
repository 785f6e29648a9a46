#ifndef DAISYPOND_GATEWAY_CALLER_LISTENER_H_
#define DAISYPOND_GATEWAY_CALLER_LISTENER_H_

#include <algorithm>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/connection_plan.h"
#include "gateway/idle_connections.h"
#include "net/address.h"
#include "net/spawn.h"
#include "net/timed_socket.h"

namespace daisypond::gateway {

namespace asio = boost::asio;

/// Accepts the connections of callers and runs a `Session` for each. Keeps
/// their number within a plan: idle ones are closed for new ones. All methods
/// but the constructor and Listen() run on the thread of the context.
template <typename Session>
class CallerListener {
 public:
  struct Callbacks {
    std::function<std::shared_ptr<Session>(net::Tcp::socket)> make_session;
    /// Returns the number of connections to targets.
    std::function<size_t()> count_targets;
  };

  CallerListener(asio::io_context* context,
                 const ConnectionPlan& plan,
                 base::Metrics* metrics,
                 Callbacks callbacks)
      : context_(*context),
        plan_(plan),
        metrics_(metrics),
        callbacks_(std::move(callbacks)),
        acceptor_(*context) {}

  /// Starts to accept connections at `address` ("IP:PORT"). Returns false when
  /// the address could not be bound.
  bool Listen(const std::string& address) {
    const auto endpoint = net::ParseAddress(address);
    net::ErrorCode ec;
    acceptor_.open(endpoint->protocol(), ec);
    acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
    acceptor_.bind(*endpoint, ec);
    if (!ec) {
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (!ec) {
      net::Spawn(context_, "accept", AcceptConnections());
    }
    return !ec;
  }

  /// Number of connections that are open.
  size_t Count() const { return sessions_.size(); }

  /// Publishes the numbers of connections.
  void UpdateMetrics() const {
    const OpenConnections open = Open();
    metrics_->Set(base::Gauge::kCallerConnections,
                  static_cast<int64_t>(open.callers));
    metrics_->Set(base::Gauge::kTargetConnections,
                  static_cast<int64_t>(open.targets));
  }

  /// True when there is room for a connection to a target.
  bool HasRoomForTarget() const { return FitsTarget(plan_, Open()); }

  /// True when a connection to a target may be opened. Closes idle connections
  /// of callers when there are too many.
  bool MakeRoomForTarget() {
    if (HasRoomForTarget()) {
      return true;
    }
    const size_t n = CloseOldestIdle(CloseBatch(plan_));
    if (n == 0) {
      metrics_->Add(base::Counter::kTargetConnectionsRefused);
    }
    LogFull(n == 0 ? 1 : 0);
    return n > 0;
  }

  void CloseIdle() {
    for (const auto& it : sessions_) {
      it.second.session->CloseIfIdle();
    }
  }

  void EndRequests() {
    CloseAcceptor();
    for (const auto& it : sessions_) {
      it.second.session->EndRequest();
    }
  }

  /// Takes no further connections, except those that callers have opened
  /// already. Returns their number.
  size_t CloseAcceptor() {
    if (!acceptor_.is_open()) {
      return 0;
    }
    const size_t n = AcceptWaitingConnections();
    net::ErrorCode ignored;
    acceptor_.close(ignored);
    return n;
  }

  /// Closes all connections for good. Returns the number of those with an open
  /// request.
  size_t CloseAll() {
    CloseAcceptor();
    is_closed_ = true;
    size_t n = 0;
    for (const auto& it : sessions_) {
      n += it.second.session->IsIdle() ? 0 : 1;
      it.second.session->LogUnanswered();
      it.second.session->Close();
    }
    return n;
  }

 private:
  struct Entry {
    std::shared_ptr<Session> session;
    std::string owner;
  };

  // As many as can wait in the listening socket.
  static constexpr size_t kMaximumWaitingConnections = 4096;
  static constexpr base::Millis kAcceptRetryDelay{100};
  static constexpr base::Millis kLogPeriod{1000};

  asio::awaitable<void> AcceptConnections() {
    asio::steady_timer timer(context_);
    while (acceptor_.is_open()) {
      auto [ec, socket] = co_await acceptor_.async_accept(net::kAsTuple);
      if (!ec) {
        Admit(std::move(socket));
      } else if (acceptor_.is_open()) {
        OnAcceptFailed(ec);
        timer.expires_after(kAcceptRetryDelay.ToChrono());
        co_await timer.async_wait(net::kAsTuple);
      }
    }
  }

  /// Accepts the connections that callers have opened already. Returns their
  /// number.
  size_t AcceptWaitingConnections() {
    net::ErrorCode ec;
    acceptor_.non_blocking(true, ec);
    size_t n_accepted = 0;
    for (size_t i = 0;
         i < kMaximumWaitingConnections && ec != asio::error::would_block;
         ++i) {
      net::Tcp::socket socket(context_);
      acceptor_.accept(socket, ec);
      if (!ec) {
        Admit(std::move(socket));
        ++n_accepted;
      }
    }
    return n_accepted;
  }

  /// Starts a session, or closes the connection if there is no room for it.
  void Admit(net::Tcp::socket socket) {
    if (is_closed_) {
      return;
    }
    const size_t excess = ExcessCallers(plan_, Open());
    if (excess > 0) {
      const bool has_room =
          CloseOldestIdle(std::max(excess, CloseBatch(plan_))) > 0;
      LogFull(has_room ? 0 : 1);
      if (!has_room) {
        metrics_->Add(base::Counter::kCallerConnectionsRefused);
        return;
      }
    }
    net::ErrorCode ignored;
    const uint64_t id = ++last_id_;
    std::string owner = socket.remote_endpoint(ignored).address().to_string();
    sessions_[id] = {callbacks_.make_session(std::move(socket)),
                     std::move(owner)};
    net::Spawn(context_, "session", RunSession(id));
  }

  asio::awaitable<void> RunSession(uint64_t id) {
    const std::shared_ptr<Session> session = sessions_[id].session;
    std::exception_ptr exception;
    try {
      co_await session->Run();
    } catch (...) {
      exception = std::current_exception();
    }
    sessions_.erase(id);
    if (exception) {
      session->Close();
      std::rethrow_exception(exception);
    }
  }

  OpenConnections Open() const {
    return {sessions_.size(), callbacks_.count_targets()};
  }

  /// Begins to close up to `n` idle connections. Returns their number.
  size_t CloseOldestIdle(size_t n) {
    std::vector<CallerConnectionState> open;
    open.reserve(sessions_.size());
    for (const auto& [id, entry] : sessions_) {
      open.push_back({id, entry.owner, entry.session->IdleSince()});
    }
    const std::vector<uint64_t> chosen = ChooseIdleToClose(open, n);
    for (const uint64_t id : chosen) {
      sessions_[id].session->CloseIfIdle();
    }
    metrics_->Add(base::Counter::kCallerConnectionsClosed,
                  static_cast<int64_t>(chosen.size()));
    n_closed_ += chosen.size();
    return chosen.size();
  }

  void OnAcceptFailed(const net::ErrorCode& ec) {
    CloseOldestIdle(CloseBatch(plan_));
    ++n_failed_;
    if (MayLog(&accept_logged_at_)) {
      base::Log(base::LogLevel::kWarning, "accept_failed",
                {{"error", ec.message()},
                 {"open", sessions_.size()},
                 {"failed", std::exchange(n_failed_, 0)}});
    }
  }

  void LogFull(size_t n_refused) {
    n_refused_ += n_refused;
    if (MayLog(&full_logged_at_)) {
      const OpenConnections open = Open();
      base::Log(base::LogLevel::kWarning, "connections_full",
                {{"callers", open.callers},
                 {"targets", open.targets},
                 {"limit", plan_.callers},
                 {"shared_limit", plan_.shared},
                 {"closed", std::exchange(n_closed_, 0)},
                 {"refused", std::exchange(n_refused_, 0)}});
    }
  }

  /// True once in every kLogPeriod.
  static bool MayLog(base::Millis* logged_at) {
    const base::Millis now = base::Clock::Now();
    if (now - *logged_at < kLogPeriod) {
      return false;
    }
    *logged_at = now;
    return true;
  }

  asio::io_context& context_;
  ConnectionPlan plan_;
  base::Metrics* metrics_;
  Callbacks callbacks_;
  net::Tcp::acceptor acceptor_;
  std::map<uint64_t, Entry> sessions_;
  uint64_t last_id_ = 0;
  /// True when all connections of callers have been closed for good.
  bool is_closed_ = false;
  /// Since the last log line of their kind.
  size_t n_closed_ = 0;
  size_t n_refused_ = 0;
  size_t n_failed_ = 0;
  base::Millis full_logged_at_{INT64_MIN / 2};
  base::Millis accept_logged_at_{INT64_MIN / 2};
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_CALLER_LISTENER_H_

#include "forward/process_check.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "forward/connect_target.h"

namespace daisypond::forward {

namespace {

using base::Millis;

// A process that ends closes its connections and its listening socket one after
// the other.
constexpr Millis kSettlingTime{20};
// A few round trips. The caller waits for the end of its answer meanwhile.
constexpr Millis kCheckTimeout{250};

net::asio::awaitable<ProcessState> CheckDirectly(
    std::shared_ptr<TargetConnection> connection,
    Millis deadline) {
  const net::ErrorCode ec =
      co_await connection->Socket().Connect(connection->Address(), deadline);
  if (!ec) {
    connection->connected_at = base::Clock::Now();
    co_return ProcessState::kRunning;
  }
  co_return ec == net::asio::error::connection_refused ? ProcessState::kEnded
                                                       : ProcessState::kUnknown;
}

}  // namespace

net::asio::awaitable<ProcessState> CheckProcess(
    Forwarder* forwarder,
    std::shared_ptr<TargetConnection> closed,
    Millis deadline) {
  const Millis began_at = base::Clock::Now();
  deadline = std::min(deadline, began_at + kCheckTimeout);
  const std::shared_ptr<TargetConnection> connection =
      forwarder->connection_pool.CreateConnection(closed->Target(),
                                                  closed->Address());
  net::asio::steady_timer timer(forwarder->executor, kSettlingTime.ToChrono());
  co_await timer.async_wait(net::kAsTuple);
  forwarder->metrics->Add(base::Counter::kConnectionsOpened);
  ProcessState state = ProcessState::kUnknown;
  if (closed->Route() == ConnectionRoute::kDirect) {
    state = co_await CheckDirectly(connection, deadline);
  } else {
    // A peer does not tell a refusal from silence.
    const ConnectOutcome outcome =
        co_await ConnectTarget(forwarder, connection, deadline);
    state = outcome.status == ConnectStatus::kConnected ? ProcessState::kRunning
                                                        : ProcessState::kEnded;
  }
  base::Log(base::LogLevel::kInfo, "process_check",
            {{"target", closed->Target()},
             {"via", closed->Via()},
             {"state", kProcessStateNames.NameOf(state)},
             {"took_ms", (base::Clock::Now() - began_at).count}});
  if (state == ProcessState::kRunning) {
    connection->Socket().SetTcpOptions(
        net::DeadPeerDetection::kUnacknowledgedDataOnly);
    forwarder->path_monitor.ReturnIdle(connection);
  }
  co_return state;
}

}  // namespace daisypond::forward

#include "forward/end_relayed_run.h"

#include <algorithm>
#include <array>

#include <boost/asio/buffer.hpp>

#include "base/log.h"

namespace daisypond::forward {

namespace {

constexpr size_t kDiscardBytes = 4u << 10;

}  // namespace

net::asio::awaitable<void> EndRelayedRun(
    std::string request,
    std::shared_ptr<TargetConnection> connection,
    base::Millis deadline) {
  const base::Millis began_at = base::Clock::Now();
  net::TimedSocket& socket = connection->Socket();
  net::ErrorCode ec;
  socket.Raw().shutdown(net::Tcp::socket::shutdown_send, ec);
  socket.ReadDeadline().Set(std::min(deadline, began_at + kPeerNoticeTime));
  std::array<char, kDiscardBytes> buf;
  if (!ec) {
    // Bytes show that the peer is reachable, and reads a reset if the target
    // goes on after the end of the request.
    co_await socket.Raw().async_read_some(net::asio::buffer(buf),
                                          socket.ReadDeadline().Token());
  }
  const RunEndSign sign = socket.ReadDeadline().HasPassed()
                              ? RunEndSign::kTimedOut
                              : RunEndSign::kAnswered;
  socket.Close();
  base::Log(base::LogLevel::kInfo, "relayed_run_left",
            {{"request", request},
             {"target", connection->Target()},
             {"peer", connection->Peer()},
             {"sign", kRunEndSignNames.NameOf(sign)},
             {"took_ms", (base::Clock::Now() - began_at).count}});
}

}  // namespace daisypond::forward

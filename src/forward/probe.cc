#include "forward/probe.h"

#include <memory>

#include <fmt/format.h>

#include "forward/answer_reader.h"

namespace daisypond::forward {

namespace {

constexpr base::Millis kAnyIdle{30'000};

net::asio::awaitable<bool> ReadAnswer(
    Forwarder* forwarder,
    std::shared_ptr<TargetConnection> connection,
    base::Millis limit) {
  AnswerReader reader(connection, true);
  ReadStatus status = co_await reader.ReadHead(limit);
  const bool is_answered =
      status == ReadStatus::kMore || status == ReadStatus::kDone;
  std::string ignored;
  while (status == ReadStatus::kMore) {
    status = co_await reader.ReadSome(&ignored, limit);
  }
  if (status == ReadStatus::kDone && reader.IsFramed() &&
      reader.IsKeptAlive() && connection->Buffer().size() == 0) {
    forwarder->pool.Put(connection, base::Clock::Now());
  } else {
    connection->Socket().Close();
  }
  co_return is_answered;
}

}  // namespace

net::asio::awaitable<bool> ProbeTarget(Forwarder* forwarder,
                                       std::string target,
                                       std::string address,
                                       std::string path,
                                       base::Millis limit) {
  std::shared_ptr<TargetConnection> connection =
      forwarder->pool.Take(target, kAnyIdle, base::Clock::Now());
  if (connection == nullptr) {
    connection = forwarder->pool.Make(target, address);
    const net::ErrorCode ec =
        co_await connection->Socket().Connect(address, limit);
    if (ec) {
      co_return false;
    }
  }
  connection->StartWrite(
      fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", path, address));
  const bool is_alive = co_await ReadAnswer(forwarder, connection, limit);
  if (is_alive) {
    forwarder->board.OnHeard(target, base::Clock::Now());
  }
  co_return is_alive;
}

}  // namespace daisypond::forward

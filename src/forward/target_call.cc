#include "forward/target_call.h"

#include <memory>
#include <utility>

#include <fmt/format.h>

#include "forward/connect_target.h"
#include "forward/response_reader.h"

namespace daisypond::forward {

namespace {

constexpr base::Millis kMaximumConnectionIdleTime{30'000};
constexpr size_t kMaximumAnswerBytes = 256u << 10;

std::string SerializeCall(const TargetCall& call) {
  std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method,
                                 call.path, call.address);
  if (!call.body.empty()) {
    text +=
        fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n",
                    call.body.size());
  }
  return text + "\r\n" + call.body;
}

net::asio::awaitable<std::optional<TargetAnswer>> ReadAnswer(
    Forwarder* forwarder,
    std::shared_ptr<TargetConnection> connection,
    base::Millis deadline) {
  ResponseReader reader(connection, true);
  TargetAnswer answer;
  ReadStatus status = co_await reader.ReadHeader(deadline);
  while (status == ReadStatus::kMore &&
         answer.body.size() < kMaximumAnswerBytes) {
    status = co_await reader.ReadBodyPart(&answer.body, deadline);
  }
  forwarder->path_monitor.OnAnswerRead(*connection, status);
  if (status != ReadStatus::kDone) {
    connection->Socket().Close();
    co_return std::nullopt;
  }
  answer.status = reader.Status();
  answer.fields = reader.Fields();
  if (reader.HasDelimitedBody() && reader.IsKeptAlive() &&
      connection->IsReadyForRequest()) {
    forwarder->path_monitor.ReturnIdle(connection);
  } else {
    connection->Socket().Close();
  }
  co_return answer;
}

}  // namespace

net::asio::awaitable<std::optional<TargetAnswer>>
CallTarget(Forwarder* forwarder, TargetCall call, base::Millis deadline) {
  std::shared_ptr<TargetConnection> connection =
      forwarder->connection_pool.TakeIdle(
          call.target, kMaximumConnectionIdleTime, base::Clock::Now());
  if (connection == nullptr) {
    connection =
        forwarder->connection_pool.CreateConnection(call.target, call.address);
    const ConnectOutcome outcome =
        co_await ConnectTarget(forwarder, connection, deadline);
    if (outcome.status != ConnectStatus::kConnected) {
      co_return std::nullopt;
    }
  }
  connection->StartWrite(SerializeCall(call));
  const auto answer = co_await ReadAnswer(forwarder, connection, deadline);
  if (answer) {
    forwarder->selector.OnBytesReceived(call.target, base::Clock::Now());
  }
  co_return answer;
}

}  // namespace daisypond::forward

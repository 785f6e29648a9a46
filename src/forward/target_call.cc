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

/// Returns how far a call has got that has no complete answer.
CallEnd EndWithoutAnswer(TargetConnection* connection, ReadStatus status) {
  // A peer acknowledges what it has not passed on yet, but it has connected the
  // target for the first request.
  const bool is_acknowledged_by_target =
      connection->Route() == ConnectionRoute::kDirect ||
      connection->RequestCount() == 1;
  const bool is_taken =
      is_acknowledged_by_target && connection->IsWriteDone() &&
      !connection->WriteError() &&
      connection->AcknowledgedBytes() == connection->TotalBytes();
  return status == ReadStatus::kTimedOut && is_taken ? CallEnd::kUnanswered
                                                     : CallEnd::kUnreachable;
}

net::asio::awaitable<CallResult> ReadAnswer(
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
    const CallEnd end = EndWithoutAnswer(connection.get(), status);
    connection->Socket().Close();
    co_return CallResult{end, std::nullopt};
  }
  answer.status = reader.Status();
  answer.fields = reader.Fields();
  if (reader.HasDelimitedBody() && reader.IsKeptAlive() &&
      connection->IsReadyForRequest()) {
    forwarder->path_monitor.ReturnIdle(connection);
  } else {
    connection->Socket().Close();
  }
  co_return CallResult{CallEnd::kAnswered, std::move(answer)};
}

}  // namespace

net::asio::awaitable<CallResult> CallTarget(Forwarder* forwarder,
                                            TargetCall call,
                                            base::Millis deadline) {
  std::shared_ptr<TargetConnection> connection =
      forwarder->connection_pool.TakeIdle(
          call.target, kMaximumConnectionIdleTime, base::Clock::Now());
  if (connection == nullptr) {
    connection =
        forwarder->connection_pool.CreateConnection(call.target, call.address);
    const ConnectOutcome outcome =
        co_await ConnectTarget(forwarder, connection, deadline);
    if (outcome.status != ConnectStatus::kConnected) {
      co_return CallResult();
    }
  }
  connection->StartWrite(SerializeCall(call));
  CallResult result = co_await ReadAnswer(forwarder, connection, deadline);
  if (result.answer) {
    forwarder->selector.OnBytesReceived(call.target, base::Clock::Now());
  }
  co_return result;
}

}  // namespace daisypond::forward

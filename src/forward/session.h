#ifndef DAISYPOND_FORWARD_SESSION_H_
#define DAISYPOND_FORWARD_SESSION_H_

#include <array>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/failure_report.h"
#include "forward/caller_connection.h"
#include "forward/exchange.h"
#include "forward/forwarder.h"
#include "forward/request_reader.h"
#include "forward/session_state.h"
#include "net/spawn.h"

namespace daisypond::forward {

/// Serves the requests on one caller's connection, one after another.
template <Dialect DialectType>
class Session : public std::enable_shared_from_this<Session<DialectType>> {
 public:
  Session(Forwarder* forwarder, net::Tcp::socket socket)
      : forwarder_(forwarder),
        connection_(std::make_shared<CallerConnection>(std::move(socket))) {}

  net::asio::awaitable<void> Run() {
    const auto self = this->shared_from_this();
    // The condition must hold a single co_await: GCC 12 awaits the right
    // operand of && in a loop condition even when the left operand is false.
    while (co_await WaitForRequest()) {
      const ConnectionReuse reuse = co_await ServeRequest();
      if (reuse == ConnectionReuse::kClose) {
        co_await CloseGracefully();
        co_return;
      }
    }
    // Nothing is unread, so the caller gets all of the last answer.
    connection_->Socket().Close();
  }

  /// True while the connection waits for the next request.
  bool IsIdle() const { return state_ == SessionState::kIdle; }

  /// Returns since when the connection has waited for a request; nothing while
  /// one is read or served, or when the connection is about to end.
  std::optional<base::Millis> IdleSince() const {
    return IsIdle() && !is_ending_ ? std::optional(idle_since_) : std::nullopt;
  }

  /// Logs that the connection ends now, if the caller has sent bytes to which
  /// it has no complete answer.
  void LogUnanswered() const {
    if (state_ == SessionState::kIdle ||
        (state_ == SessionState::kClosing && discarded_bytes_ == 0)) {
      return;
    }
    base::Log(base::LogLevel::kInfo, "caller_unanswered",
              {{"state", kSessionStateNames.NameOf(state_)},
               {"request", request_id_},
               {"last_byte_age_ms", (base::Clock::Now() - last_read_at_).count},
               {"discarded_bytes", discarded_bytes_},
               {"stopping", forwarder_->is_stopping}});
  }

  /// Ends the request that is being served, if any, because the process stops.
  void EndRequest() {
    if (exchange_ != nullptr) {
      exchange_->EndForStop();
    }
  }

  /// Closes the connection at once.
  void Close() { connection_->Socket().Close(); }

  /// Closes the connection, unless a request is being served or has arrived.
  void CloseIfIdle() {
    if (IsIdle()) {
      is_ending_ = true;
      net::ErrorCode ignored;
      connection_->Socket().Raw().cancel(ignored);
    }
  }

 private:
  static constexpr size_t kDiscardBytes = 16u << 10;

  const catalog::CallerLimits& Limits() const {
    static const catalog::CallerLimits kDefaults;
    const auto& configuration = forwarder_->catalog.configuration;
    return configuration == nullptr ? kDefaults : configuration->limits;
  }

  /// Waits for the first bytes of the next request. Returns false when the
  /// connection was closed, was idle for too long or is to end, and no byte has
  /// arrived.
  net::asio::awaitable<bool> WaitForRequest() {
    state_ = SessionState::kIdle;
    if (connection_->Buffer().size() == 0 &&
        connection_->Buffer().capacity() > 2 * kReadBytes) {
      connection_->Buffer() = boost::beast::flat_buffer();
    }
    idle_since_ = base::Clock::Now();
    // Most callers send the next request soon after an answer.
    const base::Millis buffer_until =
        has_served_ ? idle_since_ + kIdleBufferTime : idle_since_;
    net::OperationDeadline& read_deadline =
        connection_->Socket().ReadDeadline();
    while (connection_->Buffer().size() == 0) {
      const bool is_buffered = base::Clock::Now() < buffer_until;
      read_deadline.Set(is_buffered ? buffer_until
                                    : idle_since_ + Limits().idle_timeout);
      // GCC 12 mishandles co_await in a conditional expression.
      net::ErrorCode ec;
      if (is_buffered) {
        ec = co_await ReadSome();
      } else {
        ec = co_await WaitForInput();
      }
      read_deadline.Clear();
      const bool is_interrupted = is_ending_ || read_deadline.HasPassed();
      if (ec && !(is_interrupted && MayKeepWaiting())) {
        co_return false;
      }
    }
    state_ = SessionState::kReading;
    last_read_at_ = base::Clock::Now();
    co_return true;
  }

  net::asio::awaitable<net::ErrorCode> ReadSome() {
    net::TimedSocket& socket = connection_->Socket();
    const auto [ec, n] = co_await socket.Raw().async_read_some(
        connection_->Buffer().prepare(kReadBytes),
        socket.ReadDeadline().Token());
    connection_->Buffer().commit(n);
    co_return ec;
  }

  /// Waits for the first bytes without a buffer for them, then reads them.
  net::asio::awaitable<net::ErrorCode> WaitForInput() {
    connection_->Buffer().shrink_to_fit();
    net::TimedSocket& socket = connection_->Socket();
    const auto [ec] = co_await socket.Raw().async_wait(
        net::Tcp::socket::wait_read, socket.ReadDeadline().Token());
    if (ec) {
      co_return ec;
    }
    co_return co_await ReadSome();
  }

  /// True when the wait for a request goes on after an interruption: a request
  /// has just arrived, or a new configuration has raised the idle timeout.
  bool MayKeepWaiting() {
    return connection_->Socket().HasUnreadBytes() ||
           (!is_ending_ &&
            base::Clock::Now() < idle_since_ + Limits().idle_timeout);
  }

  net::asio::awaitable<ConnectionReuse> ServeRequest() {
    RequestReader reader(
        connection_.get(), &forwarder_->caller_room,
        [this](const bhttp::fields* fields) { return RoomOwner(fields); },
        Limits());
    tl::expected<CallerRequest, RequestReadError> request =
        co_await reader.Read();
    last_read_at_ = base::Clock::Now();
    if (!request) {
      co_return co_await Refuse(request.error());
    }
    state_ = SessionState::kServing;
    const base::OpenRequest open_request;
    Exchange<DialectType> exchange(forwarder_, connection_.get(),
                                   std::move(*request));
    request_id_ = exchange.Id();
    exchange_ = &exchange;
    const ConnectionReuse reuse = co_await RunExchange(&exchange);
    exchange_ = nullptr;
    has_served_ = true;
    co_return reuse;
  }

  /// Returns the caller's API key if it is a known one, else its address.
  std::string RoomOwner(const bhttp::fields* fields) {
    const auto& configuration = forwarder_->catalog.configuration;
    if (fields != nullptr && configuration != nullptr) {
      std::string key = DialectType::ParseRequestHeader(*fields).api_key;
      if (configuration->workspaces.contains(key)) {
        return key;
      }
    }
    if (address_.empty()) {
      net::ErrorCode ec;
      address_ =
          connection_->Socket().Raw().remote_endpoint(ec).address().to_string();
    }
    return address_;
  }

  net::asio::awaitable<ConnectionReuse> RunExchange(
      Exchange<DialectType>* exchange) {
    std::exception_ptr exception;
    try {
      co_return co_await exchange->Run();
    } catch (...) {
      exception = std::current_exception();
    }
    co_return co_await exchange->FailAfterException(
        net::DescribeException(exception));
  }

  net::asio::awaitable<ConnectionReuse> Refuse(RequestReadError read_error) {
    // What has been read of the request is not needed any more.
    connection_->Buffer() = boost::beast::flat_buffer();
    const std::optional<base::Verdict> verdict = VerdictForReadError(
        read_error, forwarder_->caller_room.Ledger().RetryAfter());
    if (verdict) {
      forwarder_->metrics->AddRefusal(verdict->reason);
      if (verdict->reason != base::Reason::kNoRoom &&
          verdict->reason != base::Reason::kRequestStalled) {
        LogUnreadableRequest(*verdict);
      }
      const std::string text =
          FormatVerdictResponse(*verdict, ConnectionReuse::kClose);
      co_await connection_->Write(text, base::Clock::Now() + kCloseTimeout);
    } else {
      LogUnanswered();
    }
    co_return ConnectionReuse::kClose;
  }

  static void LogUnreadableRequest(const base::Verdict& verdict) {
    base::Log(base::LogLevel::kInfo, "request_unreadable",
              {{"reason", base::kReasonNames.NameOf(verdict.reason)},
               {"detail", verdict.detail}});
  }

  /// Ends the sending direction, then discards received bytes until the caller
  /// closes the connection, kCloseTimeout passes or the caller has sent more
  /// than the rest of a body. Closing the socket while
  /// bytes of the caller are unread would send a reset, and the caller might
  /// then lose the last answer.
  net::asio::awaitable<void> CloseGracefully() {
    net::TimedSocket& socket = connection_->Socket();
    connection_->StopDisconnectWatch();
    net::ErrorCode ec;
    state_ = SessionState::kClosing;
    socket.Raw().shutdown(net::Tcp::socket::shutdown_send, ec);
    socket.ReadDeadline().Set(base::Clock::Now() + kCloseTimeout);
    connection_->Buffer() = boost::beast::flat_buffer();
    const size_t maximum = Limits().body_bytes + Limits().header_bytes;
    while (!ec && !socket.ReadDeadline().HasPassed() &&
           discarded_bytes_ <= maximum) {
      const auto [read_ec, n] = co_await socket.Raw().async_read_some(
          net::asio::buffer(DiscardBuffer()), socket.ReadDeadline().Token());
      ec = read_ec;
      if (n > 0) {
        discarded_bytes_ += n;
        last_read_at_ = base::Clock::Now();
      }
    }
    LogUnanswered();
    socket.Close();
  }

  /// Bytes that nobody reads. Shared by all connections of the thread.
  static std::array<char, kDiscardBytes>& DiscardBuffer() {
    static std::array<char, kDiscardBytes> buf;
    return buf;
  }

  static constexpr size_t kReadBytes = 4096;
  /// A connection that has been idle for longer has no buffer.
  static constexpr base::Millis kIdleBufferTime{1000};
  /// Time allowed for writing the answer to an unreadable request, and for the
  /// caller to close the connection after its last answer. Round trips to
  /// callers take a few milliseconds.
  static constexpr base::Millis kCloseTimeout{500};

  Forwarder* forwarder_;
  std::shared_ptr<CallerConnection> connection_;
  SessionState state_ = SessionState::kIdle;
  base::Millis idle_since_;
  bool has_served_ = false;
  /// True when the connection ends unless a request has arrived.
  bool is_ending_ = false;
  /// The exchange of the request that is being served, or null.
  Exchange<DialectType>* exchange_ = nullptr;
  /// Id of the request that is being served.
  std::string request_id_;
  /// The caller's address; empty until it is needed.
  std::string address_;
  /// When the last byte of a request was read.
  base::Millis last_read_at_;
  /// Bytes received after the sending direction had ended.
  size_t discarded_bytes_ = 0;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SESSION_H_

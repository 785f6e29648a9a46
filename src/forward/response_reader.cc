#include "forward/response_reader.h"

#include <limits>
#include <utility>

namespace daisypond::forward {

namespace {

constexpr uint32_t kMaximumHeaderBytes = 64u << 10;
constexpr int kMaximumInterimResponses = 8;
constexpr unsigned kContinue = 100;
constexpr unsigned kFirstFinalStatus = 200;

}  // namespace

ResponseReader::ResponseReader(std::shared_ptr<TargetConnection> connection,
                               bool has_body)
    : connection_(std::move(connection)), has_body_(has_body) {}

std::string_view ResponseReader::ReasonPhrase() const {
  const auto text = parser_->get().reason();
  return {text.data(), text.size()};
}

net::asio::awaitable<ReadStatus> ResponseReader::ReadHeader(
    base::Millis deadline) {
  net::TimedSocket& socket = connection_->Socket();
  while (true) {
    if (!is_reading_header_) {
      parser_.emplace();
      parser_->header_limit(kMaximumHeaderBytes);
      parser_->body_limit(boost::none);
      parser_->skip(!has_body_);
      is_reading_header_ = true;
    }
    socket.SetDeadline(deadline);
    const auto [ec, n] = co_await bhttp::async_read_header(
        socket.Raw(), connection_->Buffer(), *parser_, net::kAsTuple);
    socket.ClearDeadline();
    if (n > 0) {
      connection_->last_heard_at = base::Clock::Now();
    }
    if (ec) {
      co_return socket.HasTimedOut() ? ReadStatus::kTimedOut
                                     : ReadStatus::kBroken;
    }
    is_reading_header_ = false;
    if (Status() < kContinue) {
      co_return ReadStatus::kBroken;
    }
    if (Status() < kFirstFinalStatus &&
        ++n_interim_responses_ > kMaximumInterimResponses) {
      co_return ReadStatus::kBroken;
    }
    if (Status() >= kFirstFinalStatus) {
      co_return parser_->is_done() ? ReadStatus::kDone : ReadStatus::kMore;
    }
  }
}

net::asio::awaitable<ReadStatus> ResponseReader::ReadBodyPart(
    std::string* into,
    base::Millis deadline) {
  if (parser_->is_done()) {
    co_return ReadStatus::kDone;
  }
  std::array<char, kReadBufferBytes> buf;
  auto& body = parser_->get().body();
  body.data = buf.data();
  body.size = buf.size();
  body.more = true;
  net::TimedSocket& socket = connection_->Socket();
  socket.SetDeadline(deadline);
  auto [ec, n] = co_await bhttp::async_read_some(
      socket.Raw(), connection_->Buffer(), *parser_, net::kAsTuple);
  socket.ClearDeadline();
  if (n > 0) {
    connection_->last_heard_at = base::Clock::Now();
  }
  into->append(buf.data(), buf.size() - body.size);
  if (ec == bhttp::error::need_buffer) {
    ec = {};
  }
  if (ec) {
    co_return socket.HasTimedOut() ? ReadStatus::kTimedOut
                                   : ReadStatus::kBroken;
  }
  co_return parser_->is_done() ? ReadStatus::kDone : ReadStatus::kMore;
}

}  // namespace daisypond::forward

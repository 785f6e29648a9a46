#include "forward/answer_reader.h"

#include <limits>
#include <utility>

namespace daisypond::forward {

namespace {

constexpr uint32_t kMaximumHeaderBytes = 64u << 10;
constexpr unsigned kContinue = 100;
constexpr unsigned kFirstFinalStatus = 200;

}  // namespace

AnswerReader::AnswerReader(std::shared_ptr<TargetConnection> connection,
                           bool has_body)
    : connection_(std::move(connection)), has_body_(has_body) {}

std::string_view AnswerReader::ReasonPhrase() const {
  const auto text = parser_->get().reason();
  return {text.data(), text.size()};
}

net::asio::awaitable<ReadStatus> AnswerReader::ReadHead(base::Millis limit) {
  net::TimedSocket& socket = connection_->Socket();
  while (true) {
    if (!is_in_header_) {
      parser_.emplace();
      parser_->header_limit(kMaximumHeaderBytes);
      parser_->body_limit(boost::none);
      parser_->skip(!has_body_);
      is_in_header_ = true;
    }
    socket.Arm(limit);
    const auto [ec, n] = co_await bhttp::async_read_header(
        socket.Raw(), connection_->Buffer(), *parser_, net::kAsTuple);
    socket.Disarm();
    if (ec) {
      co_return socket.HasExpired() ? ReadStatus::kTimedOut
                                    : ReadStatus::kBroken;
    }
    is_in_header_ = false;
    if (Status() < kContinue) {
      co_return ReadStatus::kBroken;
    }
    if (Status() >= kFirstFinalStatus) {
      co_return parser_->is_done() ? ReadStatus::kDone : ReadStatus::kMore;
    }
  }
}

net::asio::awaitable<ReadStatus> AnswerReader::ReadSome(std::string* into,
                                                        base::Millis limit) {
  if (parser_->is_done()) {
    co_return ReadStatus::kDone;
  }
  std::array<char, kReadBytes> buf;
  auto& body = parser_->get().body();
  body.data = buf.data();
  body.size = buf.size();
  body.more = true;
  net::TimedSocket& socket = connection_->Socket();
  socket.Arm(limit);
  auto [ec, n] = co_await bhttp::async_read_some(
      socket.Raw(), connection_->Buffer(), *parser_, net::kAsTuple);
  socket.Disarm();
  into->append(buf.data(), buf.size() - body.size);
  if (ec == bhttp::error::need_buffer) {
    ec = {};
  }
  if (ec) {
    co_return socket.HasExpired() ? ReadStatus::kTimedOut : ReadStatus::kBroken;
  }
  co_return parser_->is_done() ? ReadStatus::kDone : ReadStatus::kMore;
}

}  // namespace daisypond::forward

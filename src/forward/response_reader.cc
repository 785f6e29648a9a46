#include "forward/response_reader.h"

#include <limits>
#include <utility>

#include "forward/http_text.h"

namespace daisypond::forward {

namespace {

constexpr uint32_t kMaximumHeaderBytes = 64u << 10;
constexpr int kMaximumInterimResponses = 8;
constexpr unsigned kContinue = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

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
  net::OperationDeadline& read_deadline = connection_->Socket().ReadDeadline();
  while (true) {
    if (!is_reading_header_) {
      parser_.emplace();
      parser_->header_limit(kMaximumHeaderBytes);
      parser_->body_limit(boost::none);
      parser_->skip(!has_body_);
      is_reading_header_ = true;
    }
    read_deadline.Set(deadline);
    net::ErrorCode ec;
    while (!ec && !parser_->is_header_done()) {
      ec = co_await Parse();
    }
    read_deadline.Clear();
    if (ec) {
      co_return read_deadline.HasPassed() ? ReadStatus::kTimedOut
                                          : ReadStatus::kBroken;
    }
    is_reading_header_ = false;
    if (Status() < kContinue || Status() > kLastStatus) {
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

net::ErrorCode ResponseReader::ParseBuffer() {
  auto& received = connection_->Buffer();
  const net::asio::const_buffer buf = received.data();
  const bool had_header = parser_->is_header_done();
  net::ErrorCode ec;
  const size_t n = parser_->put(buf, ec);
  // The parser takes a header, and a last chunk with its trailer, as a whole.
  const bool has_field_lines = had_header
                                   ? parser_->chunked() && parser_->is_done()
                                   : parser_->is_header_done();
  if (!ec && has_field_lines &&
      HasFoldedLine({static_cast<const char*>(buf.data()), n})) {
    ec = bhttp::error::bad_field;
  }
  received.consume(n);
  return ec;
}

net::asio::awaitable<net::ErrorCode> ResponseReader::Parse() {
  auto& received = connection_->Buffer();
  net::ErrorCode ec;
  if (received.size() == 0) {
    ec = co_await connection_->Receive();
  }
  while (!ec) {
    ec = ParseBuffer();
    if (ec != bhttp::error::need_more) {
      co_return ec;
    }
    ec = co_await connection_->Receive();
  }
  if (ec == net::asio::error::eof && parser_->got_some()) {
    ec = {};
    parser_->put_eof(ec);
  }
  co_return ec;
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
  net::OperationDeadline& read_deadline = connection_->Socket().ReadDeadline();
  read_deadline.Set(deadline);
  net::ErrorCode ec = co_await Parse();
  read_deadline.Clear();
  into->append(buf.data(), buf.size() - body.size);
  if (ec == bhttp::error::need_buffer) {
    ec = {};
  }
  if (ec) {
    co_return read_deadline.HasPassed() ? ReadStatus::kTimedOut
                                        : ReadStatus::kBroken;
  }
  co_return parser_->is_done() ? ReadStatus::kDone : ReadStatus::kMore;
}

}  // namespace daisypond::forward

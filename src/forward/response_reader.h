#ifndef DAISYPOND_FORWARD_RESPONSE_READER_H_
#define DAISYPOND_FORWARD_RESPONSE_READER_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "base/name_table.h"
#include "forward/target_connection.h"

namespace daisypond::forward {

namespace bhttp = boost::beast::http;

/// Result of reading a header or a part of a body from a target.
enum class ReadStatus : uint8_t {
  /// The read succeeded, possibly with zero body bytes. Further bytes of the
  /// response may follow.
  kMore,
  /// The response has been read completely.
  kDone,
  /// The deadline passed; reading can be continued with another call.
  kTimedOut,
  /// The connection was closed or reset, or the target sent bytes that are not
  /// a valid HTTP response.
  kBroken,
};

inline constexpr base::NameTable<ReadStatus, 4> kReadStatusNames("more",
                                                                 "done",
                                                                 "timed_out",
                                                                 "broken");

/// Reads one HTTP response from a connection to a target.
class ResponseReader {
 public:
  /// `has_body` must be false for responses to HEAD requests.
  ResponseReader(std::shared_ptr<TargetConnection> connection, bool has_body);

  /// Reads the next response header and skips a few interim responses (1xx).
  /// Returns
  /// kMore when the header has been read and a body follows, kDone when the
  /// response has no body, or kTimedOut when the header is not complete at
  /// `deadline`. Another call then continues with the partly read header.
  net::asio::awaitable<ReadStatus> ReadHeader(base::Millis deadline);

  /// True when a part of a header has arrived.
  bool HasPartialHeader() const {
    return is_reading_header_ &&
           (parser_->got_some() || connection_->Buffer().size() > 0);
  }

  /// Waits until `deadline` for the next bytes of the body and appends them to
  /// `into`.
  net::asio::awaitable<ReadStatus> ReadBodyPart(std::string* into,
                                                base::Millis deadline);

  unsigned Status() const { return parser_->get().result_int(); }
  std::string_view ReasonPhrase() const;
  const bhttp::fields& Fields() const { return parser_->get(); }

  /// True when the body ends after a stated length or its last chunk; false
  /// when it ends with the connection.
  bool HasDelimitedBody() const { return !parser_->need_eof(); }

  /// True when the connection may be used for another request.
  bool IsKeptAlive() const { return parser_->keep_alive(); }

 private:
  using Parser = bhttp::response_parser<bhttp::buffer_body>;

  // Large enough for most single stream events and most complete responses.
  static constexpr size_t kReadBufferBytes = 8192;

  /// Passes received bytes to the parser, after waiting for some if there are
  /// none.
  net::asio::awaitable<net::ErrorCode> Parse();
  /// Passes the bytes of the connection's buffer to the parser.
  net::ErrorCode ParseBuffer();

  std::shared_ptr<TargetConnection> connection_;
  bool has_body_;
  /// True while a header has been read only in part, also after a timeout.
  bool is_reading_header_ = false;
  int n_interim_responses_ = 0;
  std::optional<Parser> parser_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RESPONSE_READER_H_

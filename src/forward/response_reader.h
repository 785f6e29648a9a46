#ifndef DAISYPOND_FORWARD_RESPONSE_READER_H_
#define DAISYPOND_FORWARD_RESPONSE_READER_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "base/name_table.h"
#include "forward/target_connection.h"

namespace daisypond::forward {

namespace bhttp = boost::beast::http;

/// How a read from a target ended.
enum class ReadStatus : uint8_t {
  /// Bytes came, maybe none, and more may follow.
  kMore,
  /// The answer is whole.
  kDone,
  /// The time deadline passed; the connection can still be read.
  kTimedOut,
  /// Closed, reset, or bytes that are no answer.
  kBroken,
};

inline constexpr base::NameTable<ReadStatus, 4> kReadStatusNames("more",
                                                                 "done",
                                                                 "timed_out",
                                                                 "broken");

/// Reads one answer from a target's connection.
class ResponseReader {
 public:
  /// `has_body` is false for answers to HEAD.
  ResponseReader(std::shared_ptr<TargetConnection> connection, bool has_body);

  /// Reads the next answer's header by `deadline`, or goes on with one that was
  /// not whole at an earlier deadline. kMore: the header is read.
  net::asio::awaitable<ReadStatus> ReadHeader(base::Millis deadline);

  /// Reads a part of the body by `deadline` and appends it to `into`.
  net::asio::awaitable<ReadStatus> ReadBodyPart(std::string* into,
                                                base::Millis deadline);

  unsigned Status() const { return parser_->get().result_int(); }
  std::string_view ReasonPhrase() const;
  const bhttp::fields& Fields() const { return parser_->get(); }

  /// The body's end is told by its length or its chunks.
  bool HasDelimitedBody() const { return !parser_->need_eof(); }

  /// Another request may follow on the connection.
  bool IsKeptAlive() const { return parser_->keep_alive(); }

 private:
  using Parser = bhttp::response_parser<bhttp::buffer_body>;

  // Holds an event of a stream, or a plain answer, in most cases.
  static constexpr size_t kReadBufferBytes = 8192;

  std::shared_ptr<TargetConnection> connection_;
  bool has_body_;
  /// A header that was not whole when the time deadline passed is read on.
  bool is_reading_header_ = false;
  std::optional<Parser> parser_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RESPONSE_READER_H_

#ifndef DAISYPOND_FORWARD_REQUEST_READER_H_
#define DAISYPOND_FORWARD_REQUEST_READER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <tl/expected.hpp>

#include "base/name_table.h"
#include "base/verdict.h"
#include "catalog/configuration.h"
#include "forward/caller_connection.h"
#include "forward/caller_room.h"

namespace daisypond::forward {

/// Why a request could not be read.
enum class RequestReadError : uint8_t {
  kClosed,
  kTimedOut,
  kMalformed,
  /// The body has a transfer coding that this instance does not read.
  kUnknownCoding,
  /// The header, a trailer or the framing of chunks is too large.
  kHeaderTooLarge,
  kBodyTooLarge,
  /// The body has stopped or is too slow.
  kStalled,
  /// There is no room for the request at present.
  kNoRoom,
  /// The body is larger than all the room that there is for bodies.
  kExceedsRoom,
};

/// Returns the verdict to send to the caller, or nothing when the connection is
/// to be closed without a response. `retry_after` is for callers that find no
/// room.
std::optional<base::Verdict> VerdictForReadError(RequestReadError read_error,
                                                 base::Millis retry_after);

/// Returns the owner of the room for a request; see intake::RoomLedger::Add().
/// `fields` are null while the header is not complete.
using RoomOwnerOf = std::function<std::string(const bhttp::fields* fields)>;

/// Reads one HTTP request from a caller within the configured limits and the
/// room that there is for callers. Refuses requests with ambiguous framing; see
/// FramingOf().
class RequestReader {
 public:
  RequestReader(CallerConnection* connection,
                CallerRoom* room,
                RoomOwnerOf owner_of,
                const catalog::CallerLimits& limits)
      : connection_(connection),
        room_(room),
        owner_of_(std::move(owner_of)),
        limits_(limits) {}

  net::asio::awaitable<tl::expected<CallerRequest, RequestReadError>> Read();

 private:
  using Parser = bhttp::request_parser<bhttp::buffer_body>;
  /// Nothing when the step has succeeded.
  using Failure = std::optional<RequestReadError>;
  struct Reception;

  net::asio::awaitable<Failure> ReadHeader(Parser* parser);
  net::asio::awaitable<Failure> ReadBody(Parser* parser,
                                         std::string owner,
                                         CallerRequest* request);
  net::asio::awaitable<Failure> ReadAnnouncedBody(size_t length,
                                                  Reception* body);
  net::asio::awaitable<Failure> ReadChunkedBody(Parser* parser,
                                                Reception* body);
  net::asio::awaitable<Failure> Append(std::string_view bytes, Reception* body);
  /// Reads some bytes into the connection's buffer. `n_held` bytes are held
  /// beside it.
  net::asio::awaitable<Failure> FillBuffer(Reception* reception, size_t n_held);
  /// Gets room for `bytes` in all.
  net::asio::awaitable<Failure> Acquire(Reception* reception, size_t bytes);
  /// Reads some bytes.
  net::asio::awaitable<tl::expected<size_t, RequestReadError>> Receive(
      net::asio::mutable_buffer buf,
      Reception* reception);

  CallerConnection* connection_;
  CallerRoom* room_;
  RoomOwnerOf owner_of_;
  catalog::CallerLimits limits_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_REQUEST_READER_H_

#include "forward/request_reader.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>
#include <utility>

#include <boost/beast/core/read_size.hpp>

#include "forward/http_text.h"
#include "forward/request_framing.h"

namespace daisypond::forward {

namespace {

using intake::RoomKind;
using intake::RoomPace;

// A body may take this long, and longer as long as its bytes keep coming at
// kMinimumBodyBytesPerMs, but no pause between them may exceed kBodyPause.
constexpr base::Millis kBodyTimeout{30'000};
constexpr base::Millis kBodyPause{10'000};
constexpr int64_t kMinimumBodyBytesPerMs = 64;
constexpr size_t kMaximumReadBytes = 64u << 10;
constexpr size_t kBufferBytes = 4096;
// A request has at most this many fields, with those of its trailer.
constexpr size_t kMaximumFields = 256;
// The fields of a request exist up to three times: in the parser, in the
// request, and changed for a send.
constexpr size_t kHeaderCopies = 3;
// Bytes around the chunks of a body: at most kFramingBytesPerByte for each byte
// of it, and kFramingBytes.
constexpr size_t kFramingBytesPerByte = 16;
constexpr size_t kFramingBytes = 64u << 10;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned kHttp10 = 10;

RequestReadError ReadErrorOf(const net::ErrorCode& ec) {
  if (ec == bhttp::error::header_limit || ec == bhttp::error::buffer_overflow) {
    return RequestReadError::kHeaderTooLarge;
  }
  if (ec == bhttp::error::body_limit) {
    return RequestReadError::kBodyTooLarge;
  }
  if (ec == bhttp::error::end_of_stream ||
      ec == bhttp::error::partial_message ||
      ec.category() == boost::system::system_category() ||
      ec.category() == net::asio::error::get_misc_category()) {
    return RequestReadError::kClosed;
  }
  return RequestReadError::kMalformed;
}

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

size_t CountFields(const bhttp::fields& fields) {
  return static_cast<size_t>(std::distance(fields.begin(), fields.end()));
}

template <typename Parser>
CallerRequest MakeCallerRequest(const Parser& parser) {
  const auto& message = parser.get();
  CallerRequest request;
  request.arrived_at = base::Clock::Now();
  request.method = ToStringView(message.method_string());
  request.target = ToStringView(message.target());
  request.host = HostWithoutPort(ToStringView(message[bhttp::field::host]));
  request.is_chunked = parser.chunked();
  request.has_length = parser.content_length().has_value();
  request.wants_close = !parser.keep_alive();
  request.is_http10 = message.version() <= kHttp10;
  request.fields = message;
  RemoveConnectionFields(&request.fields);
  return request;
}

/// True when a field goes on in a second line. Such fields are obsolete, and
/// readers disagree on what the second line is.
bool HasFoldedField(std::string_view header) {
  return header.starts_with(' ') || header.starts_with('\t') ||
         header.find("\r\n ") != std::string_view::npos ||
         header.find("\r\n\t") != std::string_view::npos;
}

/// Passes the bytes in `buffer` to the parser. Returns true when the parser
/// needs more.
template <typename Parser>
bool Parse(boost::beast::flat_buffer* buffer,
           Parser* parser,
           net::ErrorCode* ec) {
  const auto bytes = buffer->data();
  const bool is_header = !parser->is_header_done();
  const size_t n = parser->put(bytes, *ec);
  if (*ec == bhttp::error::need_more) {
    *ec = {};
    buffer->consume(n);
    return true;
  }
  if (!*ec && is_header &&
      HasFoldedField({static_cast<const char*>(bytes.data()), n})) {
    *ec = bhttp::error::bad_field;
  }
  buffer->consume(n);
  return false;
}

size_t HeaderMemory(const CallerRequest& request) {
  constexpr size_t kBytesPerField = 64;
  size_t n = request.method.size() + request.target.size();
  for (const auto& it : request.fields) {
    n += it.name_string().size() + it.value().size() + kBytesPerField;
  }
  return n * kHeaderCopies;
}

}  // namespace

/// A header or a body that is being received, and the room for it.
struct RequestReader::Reception {
  Reception(CallerRoom* caller_room,
            CallerConnection* caller,
            RoomKind room_kind)
      : room(caller_room), connection(caller), kind(room_kind) {}
  ~Reception() = default;
  Reception(const Reception&) = delete;
  Reception& operator=(const Reception&) = delete;

  /// Begins to hold room, unless it has begun.
  void Hold(std::string owner) {
    if (lease.Id() != 0) {
      return;
    }
    lease = room->Hold(kind, std::move(owner));
    closer = room->CloseOnDemand(lease, [this] {
      is_evicted = true;
      net::ErrorCode ignored;
      connection->Socket().Raw().cancel(ignored);
    });
  }

  base::Millis Deadline(base::Millis now) const {
    const base::Millis transfer_time{static_cast<int64_t>(received) /
                                     kMinimumBodyBytesPerMs};
    return deadline.value_or(
        std::min(now + kBodyPause, began_at + kBodyTimeout + transfer_time));
  }

  /// Returns the body, with which the room is held from now on.
  std::shared_ptr<const std::string> Finish() {
    struct HeldText {
      std::string text;
      intake::RoomLease lease;
    };
    if (text.capacity() > text.size() + text.size() / 4) {
      text.shrink_to_fit();
    }
    const base::Millis now = base::Clock::Now();
    closer.Release();
    lease.Resize(text.capacity(), now);
    lease.SetPace(RoomPace::kSystem, now);
    const auto held = std::make_shared<HeldText>();
    held->text = std::move(text);
    held->lease = std::move(lease);
    return {held, &held->text};
  }

  CallerRoom* room;
  CallerConnection* connection;
  RoomKind kind;
  std::string text;
  intake::RoomLease lease;
  RoomCloser closer;
  /// Set for a header.
  std::optional<base::Millis> deadline;
  base::Millis began_at = base::Clock::Now();
  /// Bytes received, with the framing of chunks.
  size_t received = 0;
  /// True when the room is wanted for others.
  bool is_evicted = false;
};

std::optional<base::Verdict> VerdictForReadError(RequestReadError read_error,
                                                 base::Millis retry_after) {
  const auto refuse = [](base::Reason reason, const char* detail,
                         base::Millis wait = {}) {
    return base::Verdict{base::Execution::kNotRun, reason, detail, wait,
                         base::VerdictScope::kThisAttempt};
  };
  switch (read_error) {
    case RequestReadError::kMalformed:
      return refuse(base::Reason::kBadRequest,
                    "the request can't be read or can be read in two ways");
    case RequestReadError::kUnknownCoding:
      return refuse(base::Reason::kUnknownCoding,
                    "the body has a transfer coding beside the chunks");
    case RequestReadError::kHeaderTooLarge:
      return refuse(base::Reason::kHeaderTooLarge,
                    "the header, a trailer or the framing is too large");
    case RequestReadError::kBodyTooLarge:
      return refuse(base::Reason::kBodyTooLarge, "the body is too large");
    case RequestReadError::kStalled:
      return refuse(base::Reason::kRequestStalled,
                    "the rest of the body did not arrive in time");
    case RequestReadError::kNoRoom:
      return refuse(base::Reason::kNoRoom,
                    "this instance has no room for the request at present",
                    retry_after);
    case RequestReadError::kExceedsRoom:
      return refuse(base::Reason::kNoRoom,
                    "the body exceeds the memory of this instance");
    case RequestReadError::kClosed:
    case RequestReadError::kTimedOut:
      break;
  }
  return std::nullopt;
}

net::asio::awaitable<tl::expected<CallerRequest, RequestReadError>>
RequestReader::Read() {
  Parser parser;
  parser.header_limit(static_cast<uint32_t>(limits_.header_bytes));
  parser.body_limit(limits_.body_bytes);
  // Bytes of the next request may have arrived under larger limits.
  connection_->Buffer().max_size(std::max(limits_.header_bytes + kBufferBytes,
                                          connection_->Buffer().size()));
  Failure failure = co_await ReadHeader(&parser);
  if (failure) {
    co_return tl::unexpected(*failure);
  }
  const RequestFraming framing =
      FramingOf(parser.get(), parser.get().version());
  if (framing == RequestFraming::kUnknownCoding) {
    co_return tl::unexpected(RequestReadError::kUnknownCoding);
  }
  if (framing == RequestFraming::kAmbiguous) {
    co_return tl::unexpected(RequestReadError::kMalformed);
  }
  // The header fields are copied before the body is read, so that the trailer
  // fields of a chunked body are not forwarded.
  CallerRequest request = MakeCallerRequest(parser);
  if (!request.target.starts_with('/') ||
      parser.get().count(bhttp::field::host) != 1) {
    co_return tl::unexpected(RequestReadError::kMalformed);
  }
  if (CountFields(parser.get()) > kMaximumFields) {
    co_return tl::unexpected(RequestReadError::kHeaderTooLarge);
  }
  const std::string owner = owner_of_(&request.fields);
  request.header_room = room_->Hold(RoomKind::kHeader, owner);
  request.header_room.SetPace(RoomPace::kSystem, request.arrived_at);
  const size_t n_header = HeaderMemory(request);
  const bool is_granted =
      co_await room_->Acquire(&request.header_room, n_header);
  if (!is_granted) {
    co_return tl::unexpected(RequestReadError::kNoRoom);
  }
  if (!parser.is_done()) {
    failure = co_await ReadBody(&parser, owner, &request);
    if (failure) {
      co_return tl::unexpected(*failure);
    }
  }
  co_return request;
}

net::asio::awaitable<RequestReader::Failure> RequestReader::ReadHeader(
    Parser* parser) {
  Reception header(room_, connection_, RoomKind::kHeader);
  header.deadline = base::Clock::Now() + limits_.header_timeout;
  net::ErrorCode ec;
  while (connection_->Buffer().size() == 0 ||
         Parse(&connection_->Buffer(), parser, &ec)) {
    const Failure failure = co_await FillBuffer(&header, 0);
    if (failure == RequestReadError::kStalled && !header.is_evicted) {
      co_return RequestReadError::kTimedOut;
    }
    if (failure) {
      co_return failure;
    }
  }
  co_return ec ? Failure(ReadErrorOf(ec)) : std::nullopt;
}

net::asio::awaitable<RequestReader::Failure> RequestReader::ReadBody(
    Parser* parser,
    std::string owner,
    CallerRequest* request) {
  Reception body(room_, connection_, RoomKind::kBody);
  body.Hold(std::move(owner));
  const auto length = parser->content_length();
  const bool is_chunked = !length.has_value();
  const size_t n = is_chunked ? kBufferBytes : static_cast<size_t>(*length);
  Failure failure = co_await Acquire(&body, n);
  if (failure) {
    co_return failure;
  }
  body.text.reserve(n);
  if (boost::beast::iequals(parser->get()[bhttp::field::expect],
                            "100-continue") &&
      !co_await connection_->Write(
          kContinueResponse, base::Clock::Now() + limits_.header_timeout)) {
    co_return RequestReadError::kClosed;
  }
  if (is_chunked) {
    failure = co_await ReadChunkedBody(parser, &body);
  } else {
    failure = co_await ReadAnnouncedBody(n, &body);
  }
  if (failure) {
    co_return failure;
  }
  request->body = body.Finish();
  co_return std::nullopt;
}

net::asio::awaitable<RequestReader::Failure> RequestReader::ReadAnnouncedBody(
    size_t length,
    Reception* body) {
  auto& buffer = connection_->Buffer();
  const size_t n_buffered = std::min(buffer.size(), length);
  body->text.append(static_cast<const char*>(buffer.data().data()), n_buffered);
  buffer.consume(n_buffered);
  size_t n_read = n_buffered;
  while (n_read < length) {
    const size_t n = std::min(length - n_read, kMaximumReadBytes);
    body->text.resize(n_read + n);
    const auto received = co_await Receive(
        net::asio::buffer(body->text.data() + n_read, n), body);
    if (!received) {
      co_return received.error();
    }
    n_read += *received;
  }
  body->text.resize(length);
  co_return std::nullopt;
}

net::asio::awaitable<RequestReader::Failure> RequestReader::ReadChunkedBody(
    Parser* parser,
    Reception* body) {
  std::array<char, kBufferBytes> slice{};
  auto& buffer = connection_->Buffer();
  body->received = buffer.size();
  while (!parser->is_done()) {
    auto& into = parser->get().body();
    into.data = slice.data();
    into.size = slice.size();
    into.more = true;
    net::ErrorCode ec;
    const bool is_more_needed =
        buffer.size() == 0 || Parse(&buffer, parser, &ec);
    if (ec && ec != bhttp::error::need_buffer) {
      co_return ReadErrorOf(ec);
    }
    const std::string_view bytes(slice.data(), slice.size() - into.size);
    Failure failure = co_await Append(bytes, body);
    if (!failure && is_more_needed) {
      failure = co_await FillBuffer(body, body->text.capacity());
    }
    if (failure) {
      co_return failure;
    }
    if (body->received >
        kFramingBytes + body->text.size() * kFramingBytesPerByte) {
      co_return RequestReadError::kHeaderTooLarge;
    }
  }
  const bool has_too_many = CountFields(parser->get()) > kMaximumFields;
  co_return has_too_many ? Failure(RequestReadError::kHeaderTooLarge)
                         : std::nullopt;
}

net::asio::awaitable<RequestReader::Failure> RequestReader::Append(
    std::string_view bytes,
    Reception* body) {
  std::string& text = body->text;
  if (text.size() + bytes.size() > text.capacity()) {
    // Both texts exist while the bytes are moved.
    const size_t capacity =
        std::max(text.size() + bytes.size(),
                 std::min(2 * text.capacity(), limits_.body_bytes));
    const Failure failure = co_await Acquire(body, text.capacity() + capacity);
    if (failure) {
      co_return failure;
    }
    // std::string::reserve() would take twice its capacity at least.
    std::string larger;
    larger.reserve(capacity);
    larger.append(text);
    text = std::move(larger);
    body->lease.Resize(text.capacity(), base::Clock::Now());
  }
  text.append(bytes);
  co_return std::nullopt;
}

net::asio::awaitable<RequestReader::Failure> RequestReader::FillBuffer(
    Reception* reception,
    size_t n_held) {
  auto& buffer = connection_->Buffer();
  const size_t n = boost::beast::read_size(buffer, kMaximumReadBytes);
  if (n == 0) {
    co_return RequestReadError::kHeaderTooLarge;
  }
  if (buffer.size() + n > kBufferBytes) {
    reception->Hold(owner_of_(nullptr));
    const Failure failure = co_await Acquire(
        reception,
        n_held + std::min(2 * (buffer.size() + n), buffer.max_size()));
    if (failure) {
      co_return failure;
    }
  }
  const auto received = co_await Receive(buffer.prepare(n), reception);
  buffer.commit(received.value_or(0));
  co_return received ? std::nullopt : Failure(received.error());
}

net::asio::awaitable<RequestReader::Failure> RequestReader::Acquire(
    Reception* reception,
    size_t bytes) {
  const bool is_granted = co_await room_->Acquire(&reception->lease, bytes);
  if (is_granted) {
    co_return std::nullopt;
  }
  co_return bytes > room_->Ledger().Plan().largest_bytes
      ? RequestReadError::kExceedsRoom
      : RequestReadError::kNoRoom;
}

net::asio::awaitable<tl::expected<size_t, RequestReadError>>
RequestReader::Receive(net::asio::mutable_buffer buf, Reception* reception) {
  if (reception->is_evicted) {
    co_return tl::unexpected(RequestReadError::kStalled);
  }
  net::TimedSocket& socket = connection_->Socket();
  socket.ReadDeadline().Set(reception->Deadline(base::Clock::Now()));
  const auto [ec, n] =
      co_await socket.Raw().async_read_some(buf, socket.ReadDeadline().Token());
  socket.ReadDeadline().Clear();
  if (ec) {
    const bool is_too_slow =
        reception->is_evicted || socket.ReadDeadline().HasPassed();
    if (is_too_slow && !reception->is_evicted) {
      room_->OnClosedForSlowness(base::Clock::Now());
    }
    co_return tl::unexpected(is_too_slow ? RequestReadError::kStalled
                                         : ReadErrorOf(ec));
  }
  reception->received += n;
  reception->lease.OnProgress(n, base::Clock::Now());
  co_return n;
}

}  // namespace daisypond::forward

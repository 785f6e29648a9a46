#ifndef DAISYPOND_FORWARD_REQUEST_FRAMING_H_
#define DAISYPOND_FORWARD_REQUEST_FRAMING_H_

#include <cstdint>

#include <boost/beast/http/fields.hpp>

namespace daisypond::forward {

/// How the end of a request's body is found.
enum class RequestFraming : uint8_t {
  kNoBody,
  kLength,
  kChunked,
  /// Another reader might find another end.
  kAmbiguous,
  /// The body has a transfer coding beside the chunks.
  kUnknownCoding,
};

/// Reads the framing of a request strictly (RFC 9112, section 6): one
/// Content-Length of digits only, or in HTTP/1.1 one Transfer-Encoding that is
/// `chunked`. `version` is 10 for HTTP/1.0, 11 for HTTP/1.1.
RequestFraming FramingOf(const boost::beast::http::fields& fields,
                         unsigned version);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_REQUEST_FRAMING_H_

#ifndef DAISYPOND_FORWARD_HTTP_TEXT_H_
#define DAISYPOND_FORWARD_HTTP_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "base/verdict.h"
#include "forward/caller_connection.h"

namespace daisypond::forward {

/// Removes hop-by-hop header fields (RFC 9110, section 7.6.1).
void RemoveConnectionFields(bhttp::fields* fields);

/// Formats the header of a request to a target, including the final blank line.
std::string FormatRequestHeader(const CallerRequest& request,
                                const bhttp::fields& fields);

/// How the length of a response body is stated: in Content-Length, by chunked
/// encoding, or not at all, for a response without a body.
enum class BodyFraming : uint8_t { kLength, kChunked, kNoBody };

/// Formats the header of a response to the caller, including the final blank
/// line. `fields` are the header fields passed on to the caller.
std::string FormatResponseHeader(unsigned status,
                                 std::string_view reason_phrase,
                                 const bhttp::fields& fields,
                                 BodyFraming framing,
                                 size_t length,
                                 ConnectionReuse reuse);

/// Formats one chunk of a chunked body.
std::string FormatChunk(std::string_view bytes);

/// The empty chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Formats a complete response that reports a verdict to the caller, instead of
/// a response from a target.
std::string FormatVerdictResponse(const base::Verdict& verdict,
                                  ConnectionReuse reuse);

/// Returns the host of a Host header field ("host" or "host:port") in lower
/// case, without the port.
std::string HostWithoutPort(std::string_view field);

/// True if a line of a header or trailer begins with whitespace. That is the
/// obsolete folding of a field's value (RFC 9112, section 5.2), or a field
/// whose name is not valid.
bool HasFoldedLine(std::string_view lines);

/// Returns the path of a request target without the query.
std::string_view PathWithoutQuery(std::string_view target);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_HTTP_TEXT_H_

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

/// Removes fields that concern one connection only (RFC 9110, section 7.6.1).
void RemoveConnectionFields(bhttp::fields* fields);

/// The header of a request as it goes to a target, with the blank line.
std::string FormatRequestHeader(const CallerRequest& request,
                                const bhttp::fields& fields);

/// How the end of an answer's body is told.
enum class BodyFraming : uint8_t { kLength, kChunked, kNoBody };

/// The header of an answer as it goes to the caller, with the blank line.
/// `fields` hold what is passed on.
std::string FormatResponseHeader(unsigned status,
                                 std::string_view reason_phrase,
                                 const bhttp::fields& fields,
                                 BodyFraming framing,
                                 size_t length,
                                 ConnectionReuse after);

/// One chunk of a chunked body.
std::string FormatChunk(std::string_view bytes);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// A whole answer of this system's own.
std::string FormatVerdictResponse(const base::Verdict& verdict,
                                  ConnectionReuse after);

/// "host" or "host:port" in lower case without the port.
std::string HostWithoutPort(std::string_view field);

/// The path of a request target, without the query.
std::string_view PathWithoutQuery(std::string_view target);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_HTTP_TEXT_H_

#ifndef DAISYPOND_TUNNEL_HANDSHAKE_H_
#define DAISYPOND_TUNNEL_HANDSHAKE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "base/name_table.h"
#include "tunnel/connect_request.h"
#include "tunnel/framing.h"
#include "tunnel/status.h"

namespace daisypond::tunnel {

/// Maximum size of a request or answer of the handshake.
inline constexpr size_t kMaximumHandshakeBytes = 1024;
/// Maximum length of a target's id and of an instance's name.
inline constexpr size_t kMaximumNameBytes = 200;

enum class ParseError : uint8_t { kIncomplete, kMalformed };

inline constexpr base::NameTable<ParseError, 2> kParseErrorNames("incomplete",
                                                                 "malformed");

struct ParsedRequest {
  ConnectRequest request;
  /// Number of bytes that belong to the request. Bytes that follow belong to
  /// the tunnelled connection.
  size_t size = 0;
};

struct ParsedAnswer {
  Status status = Status::kRefused;
  /// The form in which the target's bytes follow.
  Framing framing = Framing::kNone;
  /// Number of bytes that belong to the answer. Bytes that follow belong to
  /// the tunnelled connection.
  size_t size = 0;
};

/// Returns the CONNECT request, or nothing if a name is empty, too long or has
/// characters other than visible ASCII.
std::optional<std::string> FormatRequest(const ConnectRequest& request);

/// Parses the request at the start of `bytes`, which are all bytes received so
/// far.
tl::expected<ParsedRequest, ParseError> ParseRequest(std::string_view bytes);

/// Returns the answer to a request. `status` must not be kPeerUnreachable.
/// `framing` is of use only with kOpen.
std::string FormatAnswer(Status status, Framing framing = Framing::kNone);

/// Parses the answer at the start of `bytes`, which are all bytes received so
/// far.
tl::expected<ParsedAnswer, ParseError> ParseAnswer(std::string_view bytes);

}  // namespace daisypond::tunnel

#endif  // DAISYPOND_TUNNEL_HANDSHAKE_H_

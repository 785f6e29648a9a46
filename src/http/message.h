#ifndef DAISYPOND_HTTP_MESSAGE_H_
#define DAISYPOND_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/name_table.h"

namespace daisypond::http {

struct Header {
  std::string name;
  std::string value;
};

/// Compares names of headers (RFC 9110, section 5.1).
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Whether a request may use a connection that was used before. When such a
/// connection turns out to be closed, libcurl sends the request again on its
/// own, so requests that must not be sent twice need a new connection.
enum class ConnectionUse : uint8_t { kReuseAllowed, kNew };

/// A request that a Client sends to `address` ("IP:PORT").
struct ClientRequest {
  std::string method = "POST";
  std::string address;
  std::string path;
  std::vector<Header> headers;
  std::string body;
  base::Millis connect_timeout{1000};
  /// Limit for the whole exchange; zero means no limit.
  base::Millis total_timeout{0};
  ConnectionUse connection_use = ConnectionUse::kReuseAllowed;
};

/// How the transfer of a request and its response ended. Says nothing about
/// the HTTP status.
enum class TransferResult : uint8_t {
  /// A whole response was received.
  kComplete,
  /// No connection was established, so nothing of the request was sent.
  kNotConnected,
  /// The transfer failed in any other way, for example because the connection
  /// was lost. The request may have been sent in part or whole.
  kBroken,
  /// Timed out after the connection was established.
  kTimedOut,
};

/// The response to a ClientRequest, or how its transfer failed.
struct ClientResponse {
  TransferResult transfer_result = TransferResult::kBroken;
  /// The status code; zero when no status line arrived.
  int status = 0;
  std::string body;

  bool IsSuccess() const {
    return transfer_result == TransferResult::kComplete && status >= 200 &&
           status < 300;
  }
};

/// What is known of the body of a request that a Server received.
enum class BodyState : uint8_t {
  /// It has arrived whole, or the request has none.
  kWhole,
  kTooLarge,
  /// Its length is not clear from the header.
  kUnclearLength,
  /// The connection was lost or its framing broken before the end.
  kUnfinished,
  /// The caller was too slow.
  kTimedOut,
  /// It was not read for lack of memory.
  kNoRoom,
  /// It was not read, because too many other bodies are being read.
  kNoThread,
};

inline constexpr base::NameTable<BodyState, 7> kBodyStateNames("whole",
                                                               "too_large",
                                                               "unclear_length",
                                                               "unfinished",
                                                               "timed_out",
                                                               "no_room",
                                                               "no_thread");

/// A request that a Server received. Its body is empty unless `body_state` is
/// kWhole.
struct ServerRequest {
  std::string method;
  std::string path;
  std::string query;
  std::vector<Header> headers;
  std::string body;
  BodyState body_state = BodyState::kWhole;

  /// The value of the first header with this name (case-insensitive); empty
  /// when there is none.
  std::string_view HeaderValue(std::string_view name) const;

  /// The raw value (not percent-decoded) of a query parameter; empty when
  /// there is none.
  std::string QueryValue(std::string_view name) const;
};

struct ServerResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<Header> headers;
  std::string body;
};

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_MESSAGE_H_

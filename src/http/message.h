#ifndef DAISYPOND_HTTP_MESSAGE_H_
#define DAISYPOND_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace daisypond::http {

struct Header {
  std::string name;
  std::string value;
};

/// Whether a request may travel on a connection that has been used before.
/// libcurl sends a request again by itself when a used connection turns out
/// to be closed, so calls that must not be repeated ask for a new one.
enum class ConnectionUse : uint8_t { kReuseAllowed, kNew };

/// A request to `address` ("IP:PORT").
struct ClientRequest {
  std::string method = "POST";
  std::string address;
  std::string path;
  std::vector<Header> headers;
  std::string body;
  base::Millis connect_timeout{1000};
  /// Bound for the whole exchange; zero: none.
  base::Millis total_timeout{0};
  ConnectionUse connection_use = ConnectionUse::kReuseAllowed;
};

/// How an exchange ended on the wire.
enum class TransferResult : uint8_t {
  kComplete,
  /// No byte of the request left this process.
  kNotConnected,
  kBroken,
  kTimedOut,
};

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

/// A request that a server has read whole.
struct ServerRequest {
  std::string method;
  std::string path;
  std::string query;
  std::vector<Header> headers;
  std::string body;
  bool is_body_too_large = false;

  /// The value of the first header with this name, compared without case;
  /// empty when there is none.
  std::string_view HeaderValue(std::string_view name) const;

  /// The value of a query parameter; empty when there is none.
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

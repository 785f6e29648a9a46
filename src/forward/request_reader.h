#ifndef DAISYPOND_FORWARD_REQUEST_READER_H_
#define DAISYPOND_FORWARD_REQUEST_READER_H_

#include <optional>

#include <tl/expected.hpp>

#include "base/name_table.h"
#include "base/verdict.h"
#include "catalog/configuration.h"
#include "forward/caller_connection.h"

namespace daisypond::forward {

/// Why a request could not be read.
enum class RequestReadError : uint8_t {
  kClosed,
  kTimedOut,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

/// Returns the verdict to send to the caller, or nothing when the connection is
/// to be closed without a response.
std::optional<base::Verdict> VerdictForReadError(RequestReadError read_error);

/// Reads one HTTP request from a caller within the configured limits. Refuses
/// requests with ambiguous framing (two lengths, or a length and chunked
/// encoding).
class RequestReader {
 public:
  RequestReader(CallerConnection* connection,
                const catalog::CallerLimits& limits)
      : connection_(connection), limits_(limits) {}

  net::asio::awaitable<tl::expected<CallerRequest, RequestReadError>> Read();

 private:
  CallerConnection* connection_;
  catalog::CallerLimits limits_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_REQUEST_READER_H_

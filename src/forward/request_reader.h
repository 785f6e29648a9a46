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

/// What the caller is told; empty when the connection just ends.
std::optional<base::Verdict> VerdictForReadError(RequestReadError fault);

/// Reads one request from a caller's connection, within the limits. What
/// could be read in two ways (two lengths, a length and chunks) is refused.
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

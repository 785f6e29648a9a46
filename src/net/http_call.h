#ifndef DAISYPOND_NET_HTTP_CALL_H_
#define DAISYPOND_NET_HTTP_CALL_H_

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/name_table.h"
#include "net/timed_socket.h"

namespace daisypond::net {

namespace bhttp = boost::beast::http;

/// Why a call has no answer.
enum class CallFault : uint8_t { kUnreachable, kTimedOut, kBroken };

inline constexpr base::NameTable<CallFault, 3> kCallFaultNames("unreachable",
                                                               "timed_out",
                                                               "broken");

using CallAnswer = bhttp::response<bhttp::string_body>;

/// Makes small HTTP calls to one address, one at a time, over a connection
/// that is kept. A call on a kept connection that turns out closed is made
/// once more on a new one, so calls must be safe to repeat.
class HttpCaller {
 public:
  HttpCaller(const asio::any_io_executor& executor, std::string address);

  /// Sends a GET and reads the whole answer within `timeout`.
  asio::awaitable<tl::expected<CallAnswer, CallFault>> Get(
      const std::string& target,
      base::Millis timeout);

 private:
  asio::awaitable<tl::expected<CallAnswer, CallFault>> Try(
      const bhttp::request<bhttp::empty_body>& request,
      base::Millis limit);
  asio::awaitable<bool> Open(base::Millis limit);
  CallFault Fail();

  asio::any_io_executor executor_;
  std::string address_;
  std::unique_ptr<TimedSocket> socket_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace daisypond::net

#endif  // DAISYPOND_NET_HTTP_CALL_H_

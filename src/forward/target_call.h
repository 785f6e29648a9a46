#ifndef DAISYPOND_FORWARD_TARGET_CALL_H_
#define DAISYPOND_FORWARD_TARGET_CALL_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "forward/forwarder.h"

namespace daisypond::forward {

/// A short HTTP request that this system itself makes to a target, such as a
/// probe.
struct TargetCall {
  /// Id of the target.
  std::string target;
  std::string address;
  std::string method;
  std::string path;
  /// JSON, or empty for a request without a body.
  std::string body;
};

struct TargetAnswer {
  unsigned status = 0;
  boost::beast::http::fields fields;
  std::string body;
};

/// Sends `call` to the target and returns the answer, or nothing if the
/// complete answer has not arrived by `deadline`.
net::asio::awaitable<std::optional<TargetAnswer>>
CallTarget(Forwarder* forwarder, TargetCall call, base::Millis deadline);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_CALL_H_

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
  std::string target;
  std::string address;
  std::string method;
  std::string path;
  /// JSON, or empty for a request without a body.
  std::string body;
};

struct TargetAnswer {
  unsigned status = 0;
  std::string body;
};

/// Makes the call and reads the complete answer by `deadline`. Returns nothing
/// if no complete answer arrived.
net::asio::awaitable<std::optional<TargetAnswer>>
CallTarget(Forwarder* forwarder, TargetCall call, base::Millis deadline);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_CALL_H_

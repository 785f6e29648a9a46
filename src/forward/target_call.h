#ifndef DAISYPOND_FORWARD_TARGET_CALL_H_
#define DAISYPOND_FORWARD_TARGET_CALL_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "forward/forwarder.h"

namespace daisypond::forward {

/// A small call of this system's own to a target.
struct TargetCall {
  std::string target;
  std::string address;
  std::string method;
  std::string path;
  /// JSON; empty: no body.
  std::string body;
};

struct TargetAnswer {
  unsigned status = 0;
  std::string body;
};

/// Makes a call and reads the whole answer by `deadline`. Empty when none came.
net::asio::awaitable<std::optional<TargetAnswer>>
CallTarget(Forwarder* forwarder, TargetCall call, base::Millis deadline);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_CALL_H_

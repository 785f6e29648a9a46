#ifndef DAISYPOND_FORWARD_TARGET_CALL_H_
#define DAISYPOND_FORWARD_TARGET_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/name_table.h"
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

/// How far a call has got.
enum class CallEnd : uint8_t {
  /// The complete answer has arrived.
  kAnswered,
  /// The system of the target has taken the call, but its process has not
  /// answered. Either the process is busy, or it stands still and may go on.
  kUnanswered,
  /// The target could not be connected, has not acknowledged the call, or has
  /// closed the connection.
  kUnreachable,
};

inline constexpr base::NameTable<CallEnd, 3> kCallEndNames("answered",
                                                           "unanswered",
                                                           "unreachable");

struct CallResult {
  CallEnd end = CallEnd::kUnreachable;
  /// Set if the end is kAnswered.
  std::optional<TargetAnswer> answer;
};

/// Sends `call` to the target and waits for the answer until `deadline`.
net::asio::awaitable<CallResult> CallTarget(Forwarder* forwarder,
                                            TargetCall call,
                                            base::Millis deadline);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_CALL_H_

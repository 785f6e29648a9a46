#ifndef DAISYPOND_ENTRY_SERVICE_CALL_HANDLER_H_
#define DAISYPOND_ENTRY_SERVICE_CALL_HANDLER_H_

#include <string>

#include "calls/claim.h"
#include "entry/generation_request.h"
#include "entry/instance.h"
#include "http/server.h"

namespace daisypond::entry {

/// A validated request for POST /v1/services/<service>/<call>.
struct ServiceCallRequest {
  CallerIdentity caller;
  std::string service;
  std::string call;
  intents::ServiceCall settings;
  std::string body;
  uint64_t body_digest = 0;
};

/// Handles calls to plain services. Idempotent calls are retried within the
/// retry budget; other calls run at most once.
class ServiceCallHandler {
 public:
  explicit ServiceCallHandler(Instance* instance) : instance_(instance) {}

  void Handle(const http::ServerRequest& request, http::ResponseStream* stream);

 private:
  /// Waits for admission, then runs the call.
  base::Result<calls::CallAnswer> AdmitAndRunCall(
      const ServiceCallRequest& request);
  /// Sends the call to one target after another until one answers without a
  /// server error, no target is left, the timeout has passed or the retry
  /// budget is spent.
  base::Result<calls::CallAnswer> RunIdempotentCall(
      const ServiceCallRequest& request);
  /// Claims the idempotency key before sending the call and records the answer,
  /// so that no other attempt with this key runs the call again.
  base::Result<calls::CallAnswer> RunCallAtMostOnce(
      const ServiceCallRequest& request);
  /// Sends a claimed call. Sends it to another target only if the connection to
  /// the previous target failed, because then the call cannot have run there.
  base::Result<calls::CallAnswer> DispatchClaimedCall(
      const ServiceCallRequest& request,
      calls::Claim* claim,
      base::Millis deadline);
  /// Marks the claim of a call that was not sent as abandoned and returns
  /// `verdict`. If the mark was stored, the verdict covers all attempts with
  /// the key.
  base::Result<calls::CallAnswer> AbandonClaim(const calls::Claim& claim,
                                               base::Verdict verdict);
  http::ClientResponse SendToTarget(const ServiceCallRequest& request,
                                    const routing::Placement& placement,
                                    base::Millis timeout);

  Instance* instance_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_SERVICE_CALL_HANDLER_H_

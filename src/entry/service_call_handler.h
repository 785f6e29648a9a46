#ifndef DAISYPOND_ENTRY_SERVICE_CALL_HANDLER_H_
#define DAISYPOND_ENTRY_SERVICE_CALL_HANDLER_H_

#include <string>

#include "calls/claim.h"
#include "entry/generation_request.h"
#include "entry/instance.h"
#include "http/server.h"

namespace daisypond::entry {

/// A checked request for POST /v1/services/<service>/<call>.
struct CallRequest {
  CallerIdentity caller;
  std::string service;
  std::string call;
  intents::ServiceCall settings;
  std::string body;
  uint64_t body_digest = 0;
};

/// Serves the plain services. Idempotent calls are tried again within the
/// retry budget; others run at most once.
class CallHandler {
 public:
  explicit CallHandler(Instance* instance) : instance_(instance) {}

  void Handle(const http::ServerRequest& request, http::ResponseStream* stream);

 private:
  base::Result<calls::CallAnswer> Run(const CallRequest& request);
  base::Result<calls::CallAnswer> RunIdempotent(const CallRequest& request);
  base::Result<calls::CallAnswer> RunOnce(const CallRequest& request);
  base::Result<calls::CallAnswer> Dispatch(const CallRequest& request,
                                           calls::Claim* claim,
                                           base::Millis deadline);
  base::Result<calls::CallAnswer> GiveUp(const calls::Claim& claim,
                                         base::Verdict verdict);
  http::ClientResponse Send(const CallRequest& request,
                            const routing::Placement& placement,
                            base::Millis timeout);

  Instance* instance_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_SERVICE_CALL_HANDLER_H_

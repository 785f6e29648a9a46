#ifndef DAISYPOND_GATEWAY_STATUS_SERVER_H_
#define DAISYPOND_GATEWAY_STATUS_SERVER_H_

#include <functional>

#include "base/metrics.h"
#include "gateway/settings.h"
#include "http/server.h"

namespace daisypond::gateway {

/// Serves /readyz for the load balancer and /metrics for operators.
class StatusServer {
 public:
  StatusServer(const Settings& settings,
               const base::Metrics* metrics,
               std::function<bool()> is_ready);

  /// False when an address could not be bound.
  bool IsRunning() const { return server_.IsRunning(); }

 private:
  void Route(const http::ServerRequest& request,
             http::ResponseStream* stream) const;

  const base::Metrics* metrics_;
  std::function<bool()> is_ready_;
  http::Server server_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_STATUS_SERVER_H_

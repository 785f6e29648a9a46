#include "gateway/status_server.h"

#include <string>
#include <utility>

namespace daisypond::gateway {

namespace {

// One thread for the load balancer, one for the metrics scraper, one spare.
constexpr int kThreads = 3;
constexpr base::Millis kRequestTimeout{2000};
// Descriptors of connections that wait are not available to requests.
constexpr int kQueuedConnections = 16;

http::ServerOptions OptionsOf(const Settings& settings) {
  http::ServerOptions options;
  options.address = settings.ready_listen + "," + settings.metrics_listen;
  options.threads = kThreads;
  options.queued_connections = kQueuedConnections;
  options.caller_timeout = kRequestTimeout;
  return options;
}

void SendText(int status, std::string body, http::ResponseStream* stream) {
  http::ServerResponse response;
  response.status = status;
  response.content_type = "text/plain; version=0.0.4";
  response.body = std::move(body);
  stream->Send(response);
}

}  // namespace

StatusServer::StatusServer(const Settings& settings,
                           const base::Metrics* metrics,
                           std::function<bool()> is_ready)
    : metrics_(metrics),
      is_ready_(std::move(is_ready)),
      server_(
          OptionsOf(settings),
          [this](const http::ServerRequest& request,
                 http::ResponseStream& stream) { Route(request, &stream); }) {}

void StatusServer::Route(const http::ServerRequest& request,
                         http::ResponseStream* stream) const {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  if (request.path == "/readyz") {
    const bool is_ready = is_ready_();
    SendText(is_ready ? kOk : kUnavailable,
             is_ready ? "ready\n" : "not ready\n", stream);
  } else if (request.path == "/metrics") {
    SendText(kOk, metrics_->ToPrometheusText(), stream);
  } else {
    SendText(kNotFound, "no such page\n", stream);
  }
}

}  // namespace daisypond::gateway

#include "entry/server.h"

#include <utility>

#include "base/json.h"
#include "base/link_faults.h"
#include "entry/generation_response_writer.h"

namespace daisypond::entry {

namespace {

http::ServerOptions ServerOptionsFor(const Settings& settings) {
  http::ServerOptions options;
  options.address = settings.listen;
  options.threads = settings.threads;
  options.maximum_body_bytes = settings.maximum_body_bytes;
  return options;
}

void SendText(int status,
              const std::string& type,
              const std::string& body,
              http::ResponseStream* stream) {
  http::ServerResponse response;
  response.status = status;
  response.content_type = type;
  response.body = body;
  stream->Send(response);
}

base::Verdict MakeNotFoundVerdict() {
  return {base::Execution::kNotRun,
          base::Reason::kUnknownService,
          "no such page",
          {},
          base::VerdictScope::kAllAttempts};
}

}  // namespace

Server::Server(Instance* instance, ControlPlane* control_plane)
    : instance_(instance),
      control_plane_(control_plane),
      generation_handler_(instance),
      service_call_handler_(instance),
      server_(
          ServerOptionsFor(instance->settings),
          [this](const http::ServerRequest& request,
                 http::ResponseStream& stream) { Route(request, &stream); }) {}

bool Server::IsReady() const {
  return instance_->active_configuration.Version() > 0 &&
         instance_->HasDiscoveredPeers() && !instance_->is_stopping;
}

void Server::Route(const http::ServerRequest& request,
                   http::ResponseStream* stream) {
  if (request.is_body_too_large) {
    instance_->metrics.AddRefusal(base::Reason::kBodyTooLarge);
    SendVerdict({base::Execution::kNotRun,
                 base::Reason::kBodyTooLarge,
                 "the body is larger than this instance takes",
                 {},
                 base::VerdictScope::kAllAttempts},
                stream);
    return;
  }
  if (request.method == "GET") {
    RouteGet(request, stream);
    return;
  }
  if (request.method == "POST" && request.path == "/v1/completions") {
    generation_handler_.Handle(request, stream);
    return;
  }
  if (request.method == "POST" && request.path.starts_with("/v1/services/")) {
    service_call_handler_.Handle(request, stream);
    return;
  }
  if (request.method == "POST" && request.path == "/v1/faults" &&
      instance_->settings.is_fault_endpoint_open) {
    SetLinkFault(request, stream);
    return;
  }
  SendVerdict(MakeNotFoundVerdict(), stream);
}

void Server::RouteGet(const http::ServerRequest& request,
                      http::ResponseStream* stream) {
  if (request.path == "/healthz") {
    SendText(200, "text/plain", "ok\n", stream);
  } else if (request.path == "/readyz") {
    SendText(IsReady() ? 200 : 503, "text/plain",
             IsReady() ? "ready\n" : "not ready\n", stream);
  } else if (request.path == "/metrics") {
    SendText(200, "text/plain; version=0.0.4",
             instance_->metrics.ToPrometheusText(), stream);
  } else if (request.path == "/v1/wall") {
    SendText(
        200, "application/json",
        wall::ToJson(control_plane_->TakeStatusSnapshot(), instance_->metrics),
        stream);
  } else if (request.path == "/wall") {
    SendText(200, "text/html; charset=utf-8", wall::PageHtml(), stream);
  } else {
    SendVerdict(MakeNotFoundVerdict(), stream);
  }
}

void Server::SetLinkFault(const http::ServerRequest& request,
                          http::ResponseStream* stream) {
  const base::Json body = base::ParseJson(request.body);
  const auto state =
      base::kLinkStateNames.ValueOf(base::StringField(body, "state"));
  const std::string address = base::StringField(body, "address");
  if (!state || address.empty()) {
    SendVerdict({base::Execution::kNotRun,
                 base::Reason::kBadRequest,
                 "needs an address and a state",
                 {},
                 base::VerdictScope::kAllAttempts},
                stream);
    return;
  }
  base::LinkFaults::Instance().Set(address, *state);
  SendText(200, "application/json", "{}", stream);
}

}  // namespace daisypond::entry

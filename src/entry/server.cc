#include "entry/server.h"

#include <utility>

#include "base/json.h"
#include "base/link_faults.h"
#include "entry/generation_request.h"
#include "entry/generation_response_writer.h"
#include "intake/room_plan.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kNoRoomRetryAfter{2000};

http::ServerOptions ServerOptionsFor(const Settings& settings) {
  http::ServerOptions options;
  options.address = settings.listen;
  options.threads = settings.threads;
  options.maximum_body_bytes = settings.maximum_body_bytes;
  options.caller_timeout = settings.caller_timeout;
  options.body_timeout = settings.body_timeout;
  options.room = RoomPlanFor(settings);
  return options;
}

// A request whose body was not read has reached no target.
base::Verdict VerdictOnUnreadBody(http::BodyState state) {
  base::Verdict verdict;
  verdict.execution = base::Execution::kNotRun;
  verdict.reason = base::Reason::kBadRequest;
  verdict.scope = base::VerdictScope::kThisAttempt;
  switch (state) {
    case http::BodyState::kWhole:
      break;
    case http::BodyState::kTooLarge:
      verdict.reason = base::Reason::kBodyTooLarge;
      verdict.detail = "the body is larger than this instance takes";
      verdict.scope = base::VerdictScope::kAllAttempts;
      break;
    case http::BodyState::kUnclearLength:
      verdict.detail = "the header states the length of the body twice";
      break;
    case http::BodyState::kUnfinished:
      verdict.detail = "the body is not whole, or its chunks are malformed";
      break;
    case http::BodyState::kTimedOut:
      verdict.reason = base::Reason::kRequestStalled;
      verdict.detail = "the body came too slowly";
      break;
    case http::BodyState::kNoRoom:
      verdict.reason = base::Reason::kNoRoom;
      verdict.detail = "no memory is free for the body";
      verdict.retry_after = kNoRoomRetryAfter;
      break;
    case http::BodyState::kNoThread:
      verdict.reason = base::Reason::kNoRoom;
      verdict.detail = "too many large bodies are being read";
      verdict.retry_after = kNoRoomRetryAfter;
      break;
  }
  return verdict;
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
          OptionsFor(instance),
          [this](const http::ServerRequest& request,
                 http::ResponseStream& stream) { Route(request, &stream); },
          [this](const http::ServerRequest& request,
                 http::ResponseStream& stream) {
            RefuseUnreadBody(request, &stream);
          }) {}

http::ServerOptions Server::OptionsFor(Instance* instance) {
  http::ServerOptions options = ServerOptionsFor(instance->settings);
  options.metrics = &instance->metrics;
  options.owner_of = [instance](const http::ServerRequest& request,
                                std::string_view caller_address) {
    const auto workspace =
        FindWorkspace(request, *instance->active_configuration.Current());
    return workspace ? *workspace : std::string(caller_address);
  };
  return options;
}

bool Server::IsReady() const {
  return instance_->active_configuration.Version() > 0 &&
         instance_->HasDiscoveredPeers() && !instance_->is_stopping;
}

void Server::Route(const http::ServerRequest& request,
                   http::ResponseStream* stream) {
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

void Server::RefuseUnreadBody(const http::ServerRequest& request,
                              http::ResponseStream* stream) {
  const base::Verdict verdict = VerdictOnUnreadBody(request.body_state);
  instance_->metrics.AddRefusal(verdict.reason);
  SendVerdict(
      base::VerdictForAllAttempts(verdict, AttemptNumberFromHeaders(request)),
      stream);
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

#include "peer/peer_server.h"

#include <chrono>
#include <utility>

#include <grpcpp/resource_quota.h>

#include "base/clock.h"
#include "peer/convert.h"

namespace daisypond::peer {

namespace {

constexpr int kMaximumMessageBytes = 32 << 20;
constexpr int kMaximumThreads = 4;
constexpr std::chrono::milliseconds kShutdownBound{500};

}  // namespace

class PeerServer::Service final : public Peers::CallbackService {
 public:
  explicit Service(PeerServerParts parts) : parts_(std::move(parts)) {}

  grpc::ServerUnaryReactor* AppendCopies(grpc::CallbackServerContext* context,
                                         const AppendRequest* request,
                                         AppendReply* reply) override {
    if (parts_.copies == nullptr) {
      return NotServed(context);
    }
    const base::Millis now = base::Clock::Now();
    for (const Append& it : request->appends()) {
      reply->add_outcomes(
          ToMessage(parts_.copies->Append(FromMessage(it), now)));
    }
    return Done(context);
  }

  grpc::ServerUnaryReactor* TakeOver(grpc::CallbackServerContext* context,
                                     const TakeOverRequest* request,
                                     TakeOverReply* reply) override {
    if (parts_.copies == nullptr) {
      return NotServed(context);
    }
    *reply = ToMessage(parts_.copies->TakeOver(
        request->key(), request->body_digest(), request->attempt(),
        static_cast<uint16_t>(request->holder_tag()), base::Clock::Now()));
    return Done(context);
  }

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                     const ExchangeRequest* request,
                                     ExchangeReply* reply) override {
    auto* reactor = context->DefaultReactor();
    parts_.post([this, request, reply, reactor] {
      parts_.on_exchange(*request, [reply, reactor](ExchangeReply answer) {
        *reply = std::move(answer);
        reactor->Finish(grpc::Status::OK);
      });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* ReportDeath(grpc::CallbackServerContext* context,
                                        const ReportDeathRequest* request,
                                        ReportDeathReply* reply) override {
    parts_.post([this, copy = *request] { parts_.on_death(copy); });
    return Done(context);
  }

  grpc::ServerUnaryReactor* FetchConfiguration(
      grpc::CallbackServerContext* context,
      const FetchConfigurationRequest* request,
      FetchConfigurationReply* reply) override {
    if (parts_.follower == nullptr) {
      return NotServed(context);
    }
    reply->set_version(parts_.follower->Version());
    if (reply->version() > request->known_version()) {
      reply->set_bundle(*parts_.follower->CurrentBundleJson());
    }
    return Done(context);
  }

  grpc::ServerUnaryReactor* FetchCatalog(grpc::CallbackServerContext* context,
                                         const FetchCatalogRequest* request,
                                         FetchCatalogReply* reply) override {
    if (!parts_.on_fetch_catalog) {
      return NotServed(context);
    }
    auto* reactor = context->DefaultReactor();
    parts_.post([this, request, reply, reactor] {
      parts_.on_fetch_catalog(*request,
                              [reply, reactor](FetchCatalogReply answer) {
                                *reply = std::move(answer);
                                reactor->Finish(grpc::Status::OK);
                              });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* LendRetries(grpc::CallbackServerContext* context,
                                        const LendRetriesRequest* request,
                                        LendRetriesReply* reply) override {
    if (!parts_.on_lend_retries) {
      return NotServed(context);
    }
    auto* reactor = context->DefaultReactor();
    parts_.post([this, request, reply, reactor] {
      reply->set_granted(parts_.on_lend_retries(*request));
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* ReportRequests(
      grpc::CallbackServerContext* context,
      const ReportRequestsRequest* request,
      ReportRequestsReply* reply) override {
    if (!parts_.on_report_requests) {
      return NotServed(context);
    }
    parts_.post([this, copy = *request] { parts_.on_report_requests(copy); });
    return Done(context);
  }

 private:
  static grpc::ServerUnaryReactor* NotServed(
      grpc::CallbackServerContext* context) {
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status(grpc::StatusCode::UNIMPLEMENTED,
                                 "this instance does not serve the call"));
    return reactor;
  }

  static grpc::ServerUnaryReactor* Done(grpc::CallbackServerContext* context) {
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  PeerServerParts parts_;
};

PeerServer::PeerServer(
    const std::string& address,
    const std::shared_ptr<grpc::ServerCredentials>& credentials,
    PeerServerParts parts)
    : service_(std::make_unique<Service>(std::move(parts))) {
  grpc::ServerBuilder builder;
  grpc::ResourceQuota quota("peers");
  quota.SetMaxThreads(kMaximumThreads);
  builder.SetResourceQuota(quota);
  builder.SetMaxReceiveMessageSize(kMaximumMessageBytes);
  // Two processes on one port would share its connections.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(address, credentials);
  builder.RegisterService(service_.get());
  server_ = builder.BuildAndStart();
}

PeerServer::~PeerServer() {
  Shutdown();
}

void PeerServer::Shutdown() {
  if (server_) {
    server_->Shutdown(std::chrono::system_clock::now() + kShutdownBound);
  }
}

}  // namespace daisypond::peer
